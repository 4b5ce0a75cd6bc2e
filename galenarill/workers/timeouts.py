"""Times after which an order to a worker is given up and repeated."""

import dataclasses

__all__ = ["OrderTimeouts", "order_timeouts", "MAX_ORDER_DELAY_SECONDS"]

# Time after which an order that got no answer is no longer carried out, in
# seconds. The platform may hold an order up for 12 seconds.
MAX_ORDER_DELAY_SECONDS = 13.0

# Time after which an order counts as unanswered, in seconds. Covers a slow link
# and a lost packet.
ANSWER_TIMEOUT_SECONDS = 0.7
# How long a worker may hold a renewal open until a run ends, in milliseconds.
# A fifth of the lease, so that it survives the loss of several renewals.
RENEWAL_HOLD_MS = 600
# The same for a worker with many finite runs, one of which is likely to end
# before, so that the shorter time costs few renewals.
BUSY_RENEWAL_HOLD_MS = 200
BUSY_RUNS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class OrderTimeouts:
    """Timeouts of the attempts of an order.

    This answers the load in which workers leave a part of the orders
    unanswered, and carry them out seconds later or never. A start that is
    given up late delays its whole job, and a renewal that is given up late
    hides the ends of all runs of its worker.

    Attributes:
        first_seconds: Timeout of the first attempt.
        repeated_seconds: Timeout of each later attempt.
        shortens_holds: Whether busy workers hold renewals for a shorter time.
    """

    first_seconds: float = ANSWER_TIMEOUT_SECONDS
    repeated_seconds: float = ANSWER_TIMEOUT_SECONDS
    shortens_holds: bool = False

    @property
    def repeats_at_once(self) -> bool:
        """Whether the second attempt follows the first one without a pause."""
        return self.first_seconds < self.repeated_seconds

    @property
    def second_renewal_seconds(self) -> float:
        """Timeout of the second attempt of a renewal.

        A worker that is gone is noticed as soon as with a single attempt.
        """
        return self.repeated_seconds - self.first_seconds

    def renewal_hold_ms(self, finite_runs: int) -> int:
        """Return how long a worker may hold a renewal open.

        Args:
            finite_runs: Number of its runs that end by themselves.

        Returns:
            The time in milliseconds.
        """
        if self.shortens_holds and finite_runs >= BUSY_RUNS:
            return BUSY_RENEWAL_HOLD_MS
        return RENEWAL_HOLD_MS


def order_timeouts(repeat_ms: float) -> OrderTimeouts:
    """Return the timeouts of orders.

    Args:
        repeat_ms: Time without an answer after which an order is repeated for
            the first time, in milliseconds; 0 for the timeout of all attempts.

    Example:
        >>> order_timeouts(250).first_seconds
        0.25
        >>> order_timeouts(0).repeats_at_once
        False
    """
    if not repeat_ms:
        return OrderTimeouts()
    return OrderTimeouts(
        min(repeat_ms / 1000, ANSWER_TIMEOUT_SECONDS), shortens_holds=True
    )
