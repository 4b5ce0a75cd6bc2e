"""Capacity that a pool needs to keep up with its work."""

import collections

from galenarill.common import PoolId
from galenarill.pools.arrivals import Work
from galenarill.routing import Resources

__all__ = [
    "MACHINE_ARRIVAL_SECONDS",
    "NO_WORK",
    "OccupancyRatio",
    "add_work",
    "catch_up_capacity",
    "scaled",
]

# Time from the decision to move a machine until its worker accepts starts, in
# seconds. Most of it is the platform's move.
MACHINE_ARRIVAL_SECONDS = 2.0
# Time in which machines should clear a backlog once they have arrived, in
# seconds. About the slack that the objective leaves to a job of one second.
CLEARING_SECONDS = 1.0
# Number of the latest runs of a pool that count, and the least number.
MAX_RUNS = 300
MIN_RUNS = 30
# Bounds of the ratio, so that a few odd runs don't claim or free a whole fleet.
MIN_RATIO = 0.5
MAX_RATIO = 3.0

NO_WORK: Work = (0.0, 0.0, 0.0)


class _Runs:
    """The latest runs of a pool, and the sums over them.

    Attributes:
        latest: Estimated and occupied CPU seconds of each run.
        estimated: Sum of the estimates.
        occupied: Sum of the occupied CPU seconds.
    """

    def __init__(self):
        self.latest: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self.estimated = 0.0
        self.occupied = 0.0

    def add(self, estimated: float, occupied: float) -> None:
        self.latest.append((estimated, occupied))
        self.estimated += estimated
        self.occupied += occupied
        if len(self.latest) > MAX_RUNS:
            estimated, occupied = self.latest.popleft()
            self.estimated -= estimated
            self.occupied -= occupied


class OccupancyRatio:
    """Ratio of the time that runs occupy workers to their estimates, by pool.

    A run occupies its worker also while its start and its end are committed,
    and the estimates of a queue may be wrong by a factor. This answers the load
    of many short tasks, of which a pool sized by estimates serves a part only.

    Example:
        >>> ratio = OccupancyRatio()
        >>> for _ in range(30):
        ...     ratio.add("p", 1000, 0.5, 0.75)
        >>> ratio.of("p"), ratio.of("other")
        (1.5, 1.0)
    """

    def __init__(self):
        """Create a ratio that knows no runs."""
        self._runs: dict[PoolId, _Runs] = {}

    def add(
        self,
        pool: PoolId,
        cpu: int,
        estimated_seconds: float,
        occupied_seconds: float,
    ) -> None:
        """Record a run that was done.

        Args:
            pool: Pool of its worker.
            cpu: CPU that it reserved, in millicores.
            estimated_seconds: Its estimated duration.
            occupied_seconds: Time from its placement until its end was known.
        """
        runs = self._runs.setdefault(pool, _Runs())
        runs.add(cpu * estimated_seconds, cpu * occupied_seconds)

    def of(self, pool: PoolId) -> float:
        """Return the ratio in a pool, or 1 while too few runs are known."""
        runs = self._runs.get(pool)
        if runs is None or len(runs.latest) < MIN_RUNS or runs.estimated <= 0:
            return 1.0
        return min(max(runs.occupied / runs.estimated, MIN_RATIO), MAX_RATIO)


def catch_up_capacity(
    work: Work, arriving: Resources, available: Resources
) -> Resources:
    """Return the capacity, beyond that for arrivals, that clears a backlog.

    The backlog at the arrival of further machines is what waits now, and what
    arrives until then beyond what the present machines do. This answers the
    beginning of a burst: a pool that keeps up with arrivals only carries the
    backlog of its first seconds along, so that all later jobs are late, too.

    Args:
        work: Work that waits, in resources times seconds.
        arriving: Capacity that keeps up with the arrivals.
        available: Capacity of the present machines for finite tasks.

    Example:
        >>> waiting, arriving = (4000.0, 0.0, 0.0), Resources(3000)
        >>> catch_up_capacity(waiting, arriving, Resources(2000)).cpu
        6000
    """
    if not any(work):
        return Resources()

    def amount(waiting: float, rate: int, present: int) -> int:
        backlog = waiting + MACHINE_ARRIVAL_SECONDS * (rate - present)
        return max(0, int(backlog / CLEARING_SECONDS))

    return Resources(
        amount(work[0], arriving.cpu, available.cpu),
        amount(work[1], arriving.mem_mb, available.mem_mb),
        amount(work[2], arriving.gpu, available.gpu),
    )


def add_work(one: Work, other: Work) -> Work:
    """Return the sum of two amounts of work.

    Example:
        >>> add_work((1.0, 0.0, 0.0), (2.0, 5.0, 0.0))
        (3.0, 5.0, 0.0)
    """
    return one[0] + other[0], one[1] + other[1], one[2] + other[2]


def scaled(amount: Resources, factor: float) -> Resources:
    """Return an amount of resources times a factor."""
    return Resources(
        int(amount.cpu * factor),
        int(amount.mem_mb * factor),
        int(amount.gpu * factor),
    )
