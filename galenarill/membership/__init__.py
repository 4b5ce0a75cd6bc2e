"""Which entry VMs are alive, and how fresh their view is."""

from galenarill.membership.freshness import *  # noqa: F403
from galenarill.membership.messages import *  # noqa: F403
