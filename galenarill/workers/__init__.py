"""Workers: their reports, incarnations, leases and health."""

from galenarill.workers.advice import *  # noqa: F403
from galenarill.workers.health import *  # noqa: F403
from galenarill.workers.orders import *  # noqa: F403
from galenarill.workers.registry import *  # noqa: F403
from galenarill.workers.report import *  # noqa: F403
from galenarill.workers.session import *  # noqa: F403
from galenarill.workers.throttling import *  # noqa: F403
from galenarill.workers.timeouts import *  # noqa: F403
