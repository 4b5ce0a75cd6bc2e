"""Expected wait of a request in a queue."""

import math

__all__ = ["WaitEstimate"]

# Time in which the weight of a start falls to one half.
HALF_LIFE_SECONDS = 2.0
# A busy period is judged once it has lasted this long and seen this much.
MIN_BUSY_SECONDS = 0.5
MIN_STARTS = 10.0


class WaitEstimate:
    """Rate at which waiting requests start, while there are any.

    Only busy periods count: the rate of starts while nothing waits is the rate
    of requests, which says nothing of the capacity.

    Example:
        >>> estimate = WaitEstimate()
        >>> estimate.begin_busy(now=0.0)
        >>> for n in range(100):
        ...     estimate.count_start(now=n / 50)
        >>> round(estimate.expected_wait(waiting=500, now=2.0))
        10
    """

    def __init__(self):
        """Make an estimate that expects no wait."""
        self._starts = 0.0
        self._updated_at = 0.0
        self._busy_since = math.inf

    def begin_busy(self, now: float) -> None:
        """Note that the queue is no longer empty."""
        self._starts = 0.0
        self._updated_at = self._busy_since = now

    def count_start(self, now: float) -> None:
        """Note that a waiting request has started."""
        self._decay(now)
        self._starts += 1

    def expected_wait(self, waiting: int, now: float) -> float:
        """Return seconds until a request behind `waiting` others starts.

        Args:
            waiting: Requests that wait.
            now: Time in seconds.

        Returns:
            The expected wait; 0 while too little is known.
        """
        busy = now - self._busy_since
        self._decay(now)
        if not waiting or busy < MIN_BUSY_SECONDS or self._starts < MIN_STARTS:
            return 0.0
        # A steady rate r, seen for a time t, has the decayed count
        # r * half_life / ln 2 * (1 - 2 ** (-t / half_life)).
        window = HALF_LIFE_SECONDS / math.log(2)
        window *= 1.0 - 0.5 ** (busy / HALF_LIFE_SECONDS)
        return waiting * window / self._starts

    def _decay(self, now: float) -> None:
        self._starts *= 0.5 ** ((now - self._updated_at) / HALF_LIFE_SECONDS)
        self._updated_at = now
