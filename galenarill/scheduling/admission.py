"""Expected wait and run time of a request."""

import math

__all__ = ["WaitEstimate", "ServiceTime"]

# Time in which the weight of a start falls to one half.
HALF_LIFE_SECONDS = 2.0
# A busy period is judged once it has lasted this long and seen this much.
MIN_BUSY_SECONDS = 0.5
MIN_STARTS = 10.0
# Gains of the mean and the deviation of service times, and the deviations
# above the mean that are allowed for, as in the retransmission timer of TCP.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_MULTIPLIER = 4.0
# Part of a request's time that may be kept for its service at the most.
MAX_SERVICE_FRACTION = 0.5


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
        self._decayed_starts = 0.0
        self._updated_at = 0.0
        self._busy_since = math.inf

    def begin_busy(self, now: float) -> None:
        """Note that the queue is no longer empty."""
        self._decayed_starts = 0.0
        self._updated_at = self._busy_since = now

    def count_start(self, now: float) -> None:
        """Note that a waiting request has started."""
        self._decay(now)
        self._decayed_starts += 1

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
        if (
            not waiting
            or busy < MIN_BUSY_SECONDS
            or self._decayed_starts < MIN_STARTS
        ):
            return 0.0
        # A steady rate r, seen for a time t, has the decayed count
        # r * half_life / ln 2 * (1 - 2 ** (-t / half_life)).
        window = HALF_LIFE_SECONDS / math.log(2)
        window *= 1.0 - 0.5 ** (busy / HALF_LIFE_SECONDS)
        return waiting * window / self._decayed_starts

    def _decay(self, now: float) -> None:
        self._decayed_starts *= 0.5 ** (
            (now - self._updated_at) / HALF_LIFE_SECONDS
        )
        self._updated_at = now


class ServiceTime:
    """Time that a backend server takes for a request of one queue.

    References:
        V. Jacobson. Congestion Avoidance and Control. SIGCOMM 1988.

    Example:
        >>> service = ServiceTime()
        >>> for _ in range(100):
        ...     service.count(0.2)
        >>> round(service.start_deadline(deadline=10.0, now=8.0), 2)
        9.8
        >>> service.start_deadline(deadline=8.2, now=8.0)
        8.1
    """

    def __init__(self):
        """Make an estimate that expects no service time."""
        self._mean = 0.0
        self._deviation = 0.0

    def count(self, seconds: float) -> None:
        """Take in the time that one request took."""
        error = seconds - self._mean
        self._mean += MEAN_GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    def start_deadline(self, deadline: float, now: float) -> float:
        """Return until when a request has to start to end in time.

        Args:
            deadline: Time by which its answer must have begun.
            now: Time in seconds.

        Returns:
            The latest start; at least half of the time is left for waiting.
        """
        expected = self._mean + DEVIATION_MULTIPLIER * self._deviation
        max_reserved = MAX_SERVICE_FRACTION * (deadline - now)
        return deadline - min(expected, max_reserved)
