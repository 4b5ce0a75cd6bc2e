"""Remote calls from gateways and coordinators to the leading coordinator."""

from galenarill.cluster.calls import *  # noqa: F403
from galenarill.cluster.messages import *  # noqa: F403
