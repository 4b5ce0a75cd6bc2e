"""Queues, pools and tenants, and which queue a request belongs to."""

from galenarill.routing.model import *  # noqa: F403
from galenarill.routing.table import *  # noqa: F403
