"""Planning of maintenance waves within disruption budgets."""

from galenarill.maintenance_waves.plan import *  # noqa: F403
