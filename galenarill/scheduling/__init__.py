"""Slot scheduling: leases, permits, fair sharing, retries, quarantine."""

from galenarill.scheduling.admission import *  # noqa: F403
from galenarill.scheduling.broken_requests import *  # noqa: F403
from galenarill.scheduling.evacuation import *  # noqa: F403
from galenarill.scheduling.lease import *  # noqa: F403
from galenarill.scheduling.permits import *  # noqa: F403
from galenarill.scheduling.policy import *  # noqa: F403
from galenarill.scheduling.quarantine import *  # noqa: F403
from galenarill.scheduling.retries import *  # noqa: F403
from galenarill.scheduling.scheduler import *  # noqa: F403
from galenarill.scheduling.servers import *  # noqa: F403
from galenarill.scheduling.shares import *  # noqa: F403
