"""Task scheduling: order, fair sharing, bin packing and preemption."""

from galenarill.placement.backlog import *  # noqa: F403
from galenarill.placement.durations import *  # noqa: F403
from galenarill.placement.holding import *  # noqa: F403
from galenarill.placement.horizon import *  # noqa: F403
from galenarill.placement.order import *  # noqa: F403
from galenarill.placement.plan import *  # noqa: F403
from galenarill.placement.preemption import *  # noqa: F403
from galenarill.placement.quota import *  # noqa: F403
from galenarill.placement.recent_usage import *  # noqa: F403
from galenarill.placement.reservation_book import *  # noqa: F403
from galenarill.placement.reservations import *  # noqa: F403
from galenarill.placement.shares import *  # noqa: F403
from galenarill.placement.trials import *  # noqa: F403
