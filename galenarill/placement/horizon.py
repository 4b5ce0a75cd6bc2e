"""Capacity that workers will probably have as their runs end."""

import bisect
import math
from collections.abc import Callable, Iterable

from galenarill.common import WorkerId
from galenarill.placement.plan import AvailableWorker
from galenarill.routing import Resources

__all__ = ["Horizon", "ExpectedRelease"]

# When a run will probably end, on the monotonic clock, and what it releases.
# Long-running runs release nothing.
ExpectedRelease = tuple[float, Resources]


class Horizon:
    """Free capacity of workers over time, less what is reserved.

    This answers the load in which tasks of different durations share workers:
    the worker on which a large task fits first is often not the one on which
    the least is missing now.

    Example:
        >>> from galenarill.workers import WorkerReport
        >>> worker = AvailableWorker(
        ...     WorkerReport(
        ...         "w", 1, 1, "p", "", "", "", "", (), Resources(7)
        ...     ),
        ...     Resources(2),
        ... )
        >>> ends = [(7.0, Resources(4)), (3.0, Resources(1))]
        >>> horizon = Horizon(1.0, lambda worker: ends)
        >>> horizon.fits_at(worker, Resources(3))
        3.0
    """

    def __init__(
        self,
        now: float,
        releases_of: Callable[[WorkerId], Iterable[ExpectedRelease]],
    ):
        """Create a horizon that looks at each worker when it is first asked.

        Args:
            now: Time on the monotonic clock.
            releases_of: Returns what the finite runs of a worker will release.
        """
        self._now = now
        self._releases_of = releases_of
        # Times, and the free capacity from each of them on, which only grows.
        self._profiles: dict[WorkerId, tuple[list[float], list[Resources]]] = {}

    def fits_at(
        self, available_worker: AvailableWorker, need: Resources
    ) -> float:
        """Return the earliest time at which `need` fits, or infinity."""
        times, free = self._profile(available_worker)
        if not need.fits(free[-1]):
            return math.inf
        return next(
            at
            for at, amount in zip(times, free, strict=True)
            if need.fits(amount)
        )

    def free_at(
        self, available_worker: AvailableWorker, at: float
    ) -> Resources:
        """Return the capacity that is free at a time from now on."""
        times, free = self._profile(available_worker)
        return free[max(0, bisect.bisect_right(times, at) - 1)]

    def times(self, available_worker: AvailableWorker) -> list[float]:
        """Return the times at which a worker's free capacity grows."""
        return self._profile(available_worker)[0]

    def reserve(
        self, available_worker: AvailableWorker, need: Resources
    ) -> None:
        """Subtract capacity that is reserved, without an end."""
        _, free = self._profile(available_worker)
        free[:] = [amount.minus(need) for amount in free]

    def _profile(
        self, available_worker: AvailableWorker
    ) -> tuple[list[float], list[Resources]]:
        worker = available_worker.report.worker
        profile = self._profiles.get(worker)
        if profile is None:
            times, free = [self._now], [available_worker.free]
            for at, amount in sorted(
                self._releases_of(worker), key=lambda release: release[0]
            ):
                times.append(at)
                free.append(free[-1].plus(amount))
            profile = self._profiles[worker] = times, free
        return profile
