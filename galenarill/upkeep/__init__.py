"""Waves of upkeep, within their limits and the tasks' budgets."""

from galenarill.upkeep.plan import *  # noqa: F403
