"""Machines, and how many of them each pool gets."""

from galenarill.pools.machines import *  # noqa: F403
from galenarill.pools.plan import *  # noqa: F403
