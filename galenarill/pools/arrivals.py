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
    is known from its first jobs, before a backlog has built up.

    Example:
        >>> rate = ArrivalRate()
        >>> rate.add("p", (8000.0, 0.0, 0.0), now=10.0)
        >>> rate.capacity("p", now=10.5).cpu, rate.capacity("p", now=11.0).cpu
        (10000, 0)
    """

    def __init__(self):
        """Create a rate without arrivals."""
        self._arrivals: dict[PoolId, collections.deque[tuple[float, Work]]] = {}

    def add(self, pool: PoolId, work: Work, now: float) -> None:
        """Record the work of a job that arrived now."""
        arrivals = self._arrivals.setdefault(pool, collections.deque())
        arrivals.append((now, work))

    def capacity(self, pool: PoolId, now: float) -> Resources:
        """Return the capacity that keeps up with the arrivals of late."""
        arrivals = self._arrivals.get(pool, collections.deque())
        while arrivals and arrivals[0][0] < now - ARRIVAL_SECONDS:
            arrivals.popleft()
        if not arrivals:
            return Resources()
        return Resources(
            *(
                int(sum(amounts) / ARRIVAL_SECONDS)
                for amounts in zip(*(work for _, work in arrivals), strict=True)
            )
        )
