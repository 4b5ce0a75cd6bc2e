"""Work that waits in a pool and is placed before a new job."""

import bisect
import dataclasses
import itertools
from collections.abc import Iterator
from typing import NamedTuple

from galenarill.common import PoolId, TeamId
from galenarill.jobs import Step
from galenarill.routing import Resources

__all__ = [
    "ESTIMATE_ERROR_FACTOR",
    "PoolBacklog",
    "WaitingTasks",
    "Work",
    "WorkAhead",
    "estimate_bounds",
    "surely_precedes_smaller_needs",
]

# Factor by which an estimated duration may be wrong, according to the platform.
ESTIMATE_ERROR_FACTOR = 4.0
# Number of different needs of one tenant and priority for which work is kept.
# Work of further ones is not counted, so that fewer jobs are rejected.
MAX_NEEDS = 64

# CPU, memory and accelerators, each times the seconds for which it is needed.
Work = tuple[float, float, float]
NO_WORK: Work = (0.0, 0.0, 0.0)


class WorkAhead(NamedTuple):
    """Work of tasks that start before a task.

    Attributes:
        work: The work.
        longest_seconds: Upper bound of the tasks' shortest durations. Those
            that start last still run when the task starts.
    """

    work: Work = NO_WORK
    longest_seconds: float = 0.0

    def plus(self, work: Work, longest_seconds: float) -> "WorkAhead":
        """Return the sum of both."""
        return WorkAhead(
            _plus(self.work, work),
            max(self.longest_seconds, longest_seconds),
        )


def estimate_bounds(step: Step) -> tuple[float, float]:
    """Return the shortest and longest duration of a task by its estimate.

    Both are in seconds. Without an estimate, nothing is known.

    Example:
        >>> estimate_bounds(Step(1, Resources(1), estimate_ms=2000))
        (0.5, 8.0)
    """
    if not step.estimate_ms:
        return 0.0, float("inf")
    seconds = step.estimate_ms / 1000
    return seconds / ESTIMATE_ERROR_FACTOR, seconds * ESTIMATE_ERROR_FACTOR


def surely_precedes_smaller_needs(step: Step) -> bool:
    """Return whether a task fits wherever one that needs no less fits.

    Such a task can't be passed over in favour of a task of lower rank that
    needs no less. Tasks that need several workers at once, or are limited on
    each worker, can be passed over. A long-running task has no duration, and a
    best-effort task takes only what others leave.
    """
    return not (
        step.is_gang
        or step.max_per_worker
        or step.is_long_running
        or step.is_best_effort
    )


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingTasks:
    """Ready tasks of one step.

    Attributes:
        tenant: Tenant, or "".
        priority: Priority of the queue; 0 is the most urgent.
        need: Resources of each task.
        label: Label that the worker must have, or "".
        count: Number of tasks.
        seconds: Shortest duration of each task.
        objective_at: Completion objective of the job, in Unix seconds.
        latest_start_at: Latest time to start the tasks so that the job can
            meet its objective, in Unix seconds.
    """

    tenant: TeamId
    priority: int
    need: Resources
    label: str
    count: int
    seconds: float
    objective_at: float
    latest_start_at: float

    @property
    def work(self) -> Work:
        """Resources times the shortest duration, of all tasks."""
        seconds = self.count * self.seconds
        return (
            self.need.cpu * seconds,
            self.need.mem_mb * seconds,
            self.need.gpu * seconds,
        )


class _WorkUntil:
    """Work up to a time, as a sum over entries that each have a time."""

    def __init__(self, entries: list[tuple[float, Work]]):
        entries.sort()
        self._times = [at for at, _ in entries]
        self._sums = list(
            itertools.accumulate(
                (work for _, work in entries), _plus, initial=NO_WORK
            )
        )

    def until(self, at: float) -> Work:
        return self._sums[bisect.bisect_right(self._times, at)]

    def total(self) -> Work:
        return self._sums[-1]


class _WorkOfNeed:
    """Work of tasks of the same need."""

    def __init__(self):
        self.longest_seconds = 0.0
        self._tasks: list[WaitingTasks] = []
        # The work by objective and by latest start; made when first needed.
        self._by_objective: _WorkUntil | None = None
        self._by_latest_start: _WorkUntil | None = None

    def add(self, tasks: WaitingTasks) -> None:
        self.longest_seconds = max(self.longest_seconds, tasks.seconds)
        self._tasks.append(tasks)
        self._by_objective = self._by_latest_start = None

    def in_time_until(self, objective_at: float, wall_time: float) -> Work:
        """Return at most the work of tasks in time with no later objective.

        All late work is deducted, also that with a later objective.
        """
        self._index()
        ahead = self._by_objective.until(objective_at)
        late = self._by_latest_start.until(wall_time)
        return tuple(
            max(0.0, amount - less)
            for amount, less in zip(ahead, late, strict=True)
        )

    def total(self) -> Work:
        """Return the work of all tasks."""
        self._index()
        return self._by_objective.total()

    def _index(self) -> None:
        if self._by_objective is None:
            works = [(tasks, tasks.work) for tasks in self._tasks]
            self._by_objective = _WorkUntil(
                [(tasks.objective_at, work) for tasks, work in works]
            )
            self._by_latest_start = _WorkUntil(
                [(tasks.latest_start_at, work) for tasks, work in works]
            )


class PoolBacklog:
    """Work that waits in one pool, by rank class and tenant.

    The rank classes are those of placement: by priority of the queue, and
    within a priority, jobs that can meet their objective before late ones.

    Attributes:
        pool: Pool.
        capacity: Capacity of the pool's workers.
        max_capacity: Capacity of all workers that could join the pool.
        made_at: When the backlog was read, on the monotonic clock.
    """

    def __init__(
        self,
        pool: PoolId,
        capacity: Resources,
        max_capacity: Resources,
        made_at: float,
    ):
        """Create a backlog without tasks."""
        self.pool = pool
        self.capacity = capacity
        self.max_capacity = max_capacity
        self.made_at = made_at
        self._work: dict[
            tuple[int, TeamId],
            dict[tuple[Resources, str], _WorkOfNeed],
        ] = {}

    def add(self, tasks: WaitingTasks) -> None:
        """Add waiting tasks."""
        by_need = self._work.setdefault((tasks.priority, tasks.tenant), {})
        key = tasks.need, tasks.label
        if key not in by_need:
            if len(by_need) >= MAX_NEEDS:
                return
            by_need[key] = _WorkOfNeed()
        by_need[key].add(tasks)

    def work_before(
        self,
        tenant: TeamId,
        step: Step,
        priority: int,
        objective_at: float,
        wall_time: float,
    ) -> WorkAhead:
        """Return the work of a tenant that is placed before a task of `step`.

        This is all work of more urgent queues, and in queues of the same
        priority that of jobs in time with no later objective. Only tasks that
        need no more than one of `step` are counted, because a larger one may
        not fit where that one does.

        Args:
            tenant: Tenant whose work is counted.
            step: Step of a new job of the same tenant.
            priority: Priority of the new job's queue.
            objective_at: Objective of the new job, in Unix seconds.
            wall_time: Current time in Unix seconds.
        """
        total = WorkAhead()
        for (other_priority, other), by_need in self._work.items():
            if other != tenant or other_priority > priority:
                continue
            for tasks in _no_larger(by_need, step):
                ahead = (
                    tasks.total()
                    if other_priority < priority
                    else tasks.in_time_until(objective_at, wall_time)
                )
                if any(ahead):
                    total = total.plus(ahead, tasks.longest_seconds)
        return total

    def more_urgent_work(
        self, step: Step, priority: int, tenants: frozenset[TeamId]
    ) -> WorkAhead:
        """Return the work of some tenants in queues of higher priority.

        Args:
            step: Step of a new job; only tasks that need no more are counted.
            priority: Priority of the new job's queue.
            tenants: Tenants whose work is counted.
        """
        total = WorkAhead()
        for (other_priority, other), by_need in self._work.items():
            if other_priority < priority and other in tenants:
                for tasks in _no_larger(by_need, step):
                    total = total.plus(tasks.total(), tasks.longest_seconds)
        return total


def _no_larger(
    by_need: dict[tuple[Resources, str], _WorkOfNeed], step: Step
) -> Iterator[_WorkOfNeed]:
    for (need, label), tasks in by_need.items():
        if need.fits(step.reserved) and label in ("", step.label):
            yield tasks


def _plus(work: Work, other: Work) -> Work:
    return work[0] + other[0], work[1] + other[1], work[2] + other[2]
