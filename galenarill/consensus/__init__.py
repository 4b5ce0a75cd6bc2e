"""A replicated log after Raft: elections, replication and storage."""

from galenarill.consensus.driver import *  # noqa: F403
from galenarill.consensus.journal import *  # noqa: F403
from galenarill.consensus.log import *  # noqa: F403
from galenarill.consensus.messages import *  # noqa: F403
from galenarill.consensus.replica import *  # noqa: F403
