"""Configured queues, pools and tenants, and the routing of requests."""

from galenarill.routing.model import *  # noqa: F403
from galenarill.routing.table import *  # noqa: F403
