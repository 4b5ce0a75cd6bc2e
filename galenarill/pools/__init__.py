"""Machines and their distribution over the pools."""

from galenarill.pools.arrivals import *  # noqa: F403
from galenarill.pools.demand import *  # noqa: F403
from galenarill.pools.division import *  # noqa: F403
from galenarill.pools.machines import *  # noqa: F403
from galenarill.pools.plan import *  # noqa: F403
from galenarill.pools.reserves import *  # noqa: F403
