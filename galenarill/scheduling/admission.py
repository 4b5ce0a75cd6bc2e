"""Estimators of queueing delay and service time for admission control."""

import math

__all__ = ["QueueWaitEstimator", "ServiceTimeEstimator"]

# Half-life of the weight of a start in the exponentially decayed count.
HALF_LIFE_SECONDS = 2.0
# A busy period yields an estimate after this time and this many starts.
MIN_BUSY_SECONDS = 0.5
MIN_STARTS = 10.0
# Gains of the smoothed mean and deviation of service times, and the number of
# deviations added to the mean, as in TCP's retransmission timer (RFC 6298).
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_MULTIPLIER = 4.0
# Largest fraction of a request's remaining time reserved for its service.
MAX_SERVICE_FRACTION = 0.5


class QueueWaitEstimator:
    """Estimates queueing delay from the rate at which waiting requests start.

    Only busy periods are measured: while the queue is empty, the start rate
    equals the arrival rate and doesn't reflect capacity.

    Example:
        >>> estimate = QueueWaitEstimator()
        >>> estimate.begin_busy_period(now=0.0)
        >>> for n in range(100):
        ...     estimate.record_start(now=n / 50)
        >>> round(estimate.expected_wait(waiting=500, now=2.0))
        10
    """

    def __init__(self):
        """Initialize an estimator without samples, which expects no wait."""
        self._decayed_starts = 0.0
        self._updated_at = 0.0
        self._busy_since = math.inf

    def begin_busy_period(self, now: float) -> None:
        """Start a busy period: the queue is no longer empty."""
        self._decayed_starts = 0.0
        self._updated_at = self._busy_since = now

    def record_start(self, now: float) -> None:
        """Count a start of a waiting request."""
        self._decay(now)
        self._decayed_starts += 1

    def expected_wait(self, waiting: int, now: float) -> float:
        """Return the expected wait of a request behind `waiting` others.

        Args:
            waiting: Number of requests in the queue.
            now: Monotonic time in seconds.

        Returns:
            The expected wait in seconds; 0 while there are too few samples.
        """
        busy = now - self._busy_since
        self._decay(now)
        if (
            not waiting
            or busy < MIN_BUSY_SECONDS
            or self._decayed_starts < MIN_STARTS
        ):
            return 0.0
        # At a constant rate r, the decayed count after time t is
        # r * half_life / ln 2 * (1 - 2 ** (-t / half_life)).
        window = HALF_LIFE_SECONDS / math.log(2)
        window *= 1.0 - 0.5 ** (busy / HALF_LIFE_SECONDS)
        return waiting * window / self._decayed_starts

    def _decay(self, now: float) -> None:
        self._decayed_starts *= 0.5 ** (
            (now - self._updated_at) / HALF_LIFE_SECONDS
        )
        self._updated_at = now


class ServiceTimeEstimator:
    """Estimates the service time of one queue's requests on a backend server.

    Keeps a smoothed mean and mean deviation of the measured service times.

    References:
        V. Jacobson. Congestion Avoidance and Control. SIGCOMM 1988.

    Example:
        >>> service = ServiceTimeEstimator()
        >>> for _ in range(100):
        ...     service.count(0.2)
        >>> round(service.start_deadline(deadline=10.0, now=8.0), 2)
        9.8
        >>> service.start_deadline(deadline=8.2, now=8.0)
        8.1
    """

    def __init__(self):
        """Initialize an estimator without samples, which expects 0 s."""
        self._mean = 0.0
        self._deviation = 0.0

    def count(self, seconds: float) -> None:
        """Add the measured service time of one request."""
        error = seconds - self._mean
        self._mean += MEAN_GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    def start_deadline(self, deadline: float, now: float) -> float:
        """Return the latest start time that still meets `deadline`.

        Args:
            deadline: Time by which the response must have begun.
            now: Monotonic time in seconds.

        Returns:
            The latest start time; at least half of the remaining time is left
            for queueing.
        """
        expected = self._mean + DEVIATION_MULTIPLIER * self._deviation
        max_reserved = MAX_SERVICE_FRACTION * (deadline - now)
        return deadline - min(expected, max_reserved)
