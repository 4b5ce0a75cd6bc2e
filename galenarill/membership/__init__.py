"""Heartbeats between entry VMs and freshness of their withdrawn keys."""

from galenarill.membership.freshness import *  # noqa: F403
from galenarill.membership.messages import *  # noqa: F403
