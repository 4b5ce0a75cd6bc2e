"""Workers: their reports, incarnations, leases and health."""

from galenarill.workers.advice import *  # noqa: F403
from galenarill.workers.contact import *  # noqa: F403
from galenarill.workers.health import *  # noqa: F403
from galenarill.workers.orders import *  # noqa: F403
from galenarill.workers.pacing import *  # noqa: F403
from galenarill.workers.registry import *  # noqa: F403
from galenarill.workers.report import *  # noqa: F403
