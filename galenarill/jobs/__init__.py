"""Jobs, tasks, runs, and the replicated state machine that holds them."""

from galenarill.jobs.commands import *  # noqa: F403
from galenarill.jobs.model import *  # noqa: F403
from galenarill.jobs.state import *  # noqa: F403
from galenarill.jobs.withdrawals import *  # noqa: F403
