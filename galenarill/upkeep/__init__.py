"""Planning of maintenance waves within disruption budgets."""

from galenarill.upkeep.plan import *  # noqa: F403
