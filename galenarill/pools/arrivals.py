"""Capacity that keeps up with the work that arrives."""

import collections

from galenarill.common import PoolId
from galenarill.routing import Resources

__all__ = ["ArrivalRate", "Work", "ARRIVAL_SECONDS"]

# CPU, memory and accelerators, each times the seconds for which it is needed.
Work = tuple[float, float, float]

# Time over which arrivals are counted, in seconds. Shorter than a machine takes
# to move, and long enough for several jobs of a queue's load peak.
ARRIVAL_SECONDS = 0.8


class ArrivalRate:
    """Work that arrived lately, by pool.

    By Little's law, work that arrives at a constant rate keeps as much capacity
    busy as it needs resources, times seconds, in a second. This answers the
    load in which a queue's demand rises at once: the capacity that it will need
    is known from its first jobs, before a backlog has built up. The work of the
    few jobs that arrive within the time varies by a factor of four, so the mean
    of more jobs can take its place: only their count is then recent.

    Example:
        >>> rate = ArrivalRate()
        >>> rate.add("p", (8000.0, 0.0, 0.0), now=10.0)
        >>> rate.capacity("p", now=10.5).cpu, rate.capacity("p", now=11.0).cpu
        (10000, 0)
    """

    def __init__(self, mean_jobs: int = 0):
        """Create a rate without arrivals.

        Args:
            mean_jobs: Number of the latest jobs of a pool over which the mean
                work of a job is taken; 0 for those that count as recent.
        """
        self._mean_jobs = mean_jobs
        # Work of the latest jobs by pool, if the mean is taken over them.
        self._latest: dict[PoolId, collections.deque[Work]] = {}
        self._arrivals: dict[PoolId, collections.deque[tuple[float, Work]]] = {}

    def add(self, pool: PoolId, work: Work, now: float) -> None:
        """Record the work of a job that arrived now."""
        arrivals = self._arrivals.setdefault(pool, collections.deque())
        arrivals.append((now, work))
        if self._mean_jobs:
            self._latest.setdefault(
                pool, collections.deque(maxlen=self._mean_jobs)
            ).append(work)

    def capacity(self, pool: PoolId, now: float) -> Resources:
        """Return the capacity that keeps up with the arrivals of late."""
        arrivals = self._arrivals.get(pool, collections.deque())
        while arrivals and arrivals[0][0] < now - ARRIVAL_SECONDS:
            arrivals.popleft()
        if not arrivals:
            return Resources()
        works = self._latest.get(pool) or [work for _, work in arrivals]
        rate = len(arrivals) / len(works) / ARRIVAL_SECONDS
        return Resources(
            *(int(sum(amounts) * rate) for amounts in zip(*works, strict=True))
        )
