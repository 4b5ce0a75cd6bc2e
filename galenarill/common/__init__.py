"""Basic types and functions shared by the other packages.

Clocks, rendezvous hashing, identifiers and keys.
"""

from galenarill.common.clocks import *  # noqa: F403
from galenarill.common.hashing import *  # noqa: F403
from galenarill.common.ids import *  # noqa: F403
from galenarill.common.keys import *  # noqa: F403
