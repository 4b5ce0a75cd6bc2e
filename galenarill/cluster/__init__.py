"""Remote calls from gateways and coordinators to the leading coordinator."""

from galenarill.cluster.leader_client import *  # noqa: F403
from galenarill.cluster.messages import *  # noqa: F403
