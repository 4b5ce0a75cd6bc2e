"""Calls between gateways and coordinators."""

from galenarill.cluster.calls import *  # noqa: F403
from galenarill.cluster.messages import *  # noqa: F403
