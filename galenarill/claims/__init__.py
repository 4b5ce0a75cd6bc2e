"""At-most-once execution through quorum claims on request ids."""

from galenarill.claims.ids import *  # noqa: F403
from galenarill.claims.messages import *  # noqa: F403
from galenarill.claims.round import *  # noqa: F403
from galenarill.claims.table import *  # noqa: F403
