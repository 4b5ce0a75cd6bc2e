"""Optional parts of the scheduler, as the settings enable them."""

import dataclasses

from galenarill.settings import NodeSettings
from galenarill.workers import OrderTimeouts, order_timeouts

__all__ = ["SchedulerOptions", "scheduler_options"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SchedulerOptions:
    """Which optional parts of the scheduler are enabled; none by default.

    Attributes:
        timeouts: Timeouts of orders to workers.
        share_half_life_seconds: Half-life of the usage of tenants in the order
            between them; 0 if only current usage counts.
        useful_lateness: Multiple of its objective for which a job is useful,
            or 0 to reject none.
        looks_ahead: Whether placement uses expected ends of runs.
        anticipates_bursts: Whether pools are sized by their backlog and by how
            long runs occupy workers.
    """

    timeouts: OrderTimeouts = dataclasses.field(default_factory=OrderTimeouts)
    share_half_life_seconds: float = 0.0
    useful_lateness: float = 0.0
    looks_ahead: bool = False
    anticipates_bursts: bool = False


def scheduler_options(settings: NodeSettings) -> SchedulerOptions:
    """Return the options that the settings of a process ask for."""
    return SchedulerOptions(
        timeouts=order_timeouts(settings.order_repeat_ms),
        share_half_life_seconds=settings.share_half_life_seconds,
        useful_lateness=settings.useful_lateness,
        looks_ahead=settings.looks_ahead,
        anticipates_bursts=settings.anticipates_bursts,
    )
