"""Basic types and functions shared by the other packages.

Clocks, rendezvous hashing, identifiers and keys.
"""

from galenarill.world.clocks import *  # noqa: F403
from galenarill.world.hashing import *  # noqa: F403
from galenarill.world.ids import *  # noqa: F403
from galenarill.world.keys import *  # noqa: F403
