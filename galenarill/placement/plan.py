"""Bin packing of ready tasks onto workers."""

import bisect
import dataclasses
import math
from collections.abc import Collection

from galenarill.common import JobId, PoolId, TeamId, WorkerId
from galenarill.jobs import GANG, Incarnation, Step, TaskKey
from galenarill.placement.quota import OverdueSteps, Quota, QuotaGate
from galenarill.placement.reservation_book import ReservationBook, StepId
from galenarill.routing import Resources
from galenarill.workers import WorkerReport

__all__ = [
    "Candidate",
    "AvailableWorker",
    "Placement",
    "Packer",
    "Shape",
    "shape_of",
    "is_eligible",
    "prefer_healthy",
    "assign_workers",
    "extension_steps",
]

# Extensions of a worker's busy time that differ by less count as equal, in
# seconds. A sixth of the 1.5 s that the move of a machine takes.
EXTENSION_STEP_SECONDS = 0.25


@dataclasses.dataclass(slots=True)
class Candidate:
    """A task, or a whole gang, that is ready to start.

    Attributes:
        job: Id of the job.
        key: Key of the task in its job.
        step: Step that the task belongs to.
        pool: Pool whose workers may run it.
        tenant: Tenant, or "".
        avoided: Workers that are used only if no other worker has capacity.
        siblings: Number of tasks of the same step and occurrence by worker.
        tickets: Policy tickets by worker that may run it, or None if every
            worker may.
        excluded: Workers that are not used.
        ends_at: Expected end if it starts now, on the monotonic clock:
            infinity if it is long-running, negative infinity if unknown.
    """

    job: JobId
    key: TaskKey
    step: Step
    pool: PoolId
    tenant: TeamId
    avoided: frozenset[WorkerId] = frozenset()
    siblings: dict[WorkerId, int] = dataclasses.field(default_factory=dict)
    tickets: dict[WorkerId, str] | None = None
    excluded: frozenset[WorkerId] = frozenset()
    ends_at: float = -math.inf

    @property
    def step_id(self) -> StepId:
        """Job, occurrence and number of the step."""
        return self.job, self.key.occurrence, self.key.step


@dataclasses.dataclass(slots=True)
class AvailableWorker:
    """A worker that accepts new runs, and its free capacity.

    Attributes:
        report: Latest report of the worker.
        free: Unreserved capacity.
        is_suspect: Whether tasks fail or stall on it. It gets no task while
            its pool has a worker that is not suspect.
        idle_at: When all its runs have probably ended, on the monotonic clock:
            infinity with a long-running run, the current time if it is idle.
    """

    report: WorkerReport
    free: Resources
    is_suspect: bool = False
    idle_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The workers assigned to a task or gang.

    Attributes:
        candidate: Task or gang to start.
        members: Pairs of member index and incarnation of the worker that is
            to run it.
    """

    candidate: Candidate
    members: tuple[tuple[int, Incarnation], ...]


# What decides on which workers a task fits: pool, reserved capacity, label,
# rack of the data and whether it is long-running.
Shape = tuple[PoolId, Resources, str, str, bool]


def shape_of(pool: PoolId, step: Step) -> Shape:
    """Return the shape of the tasks of a step."""
    return (
        pool,
        step.reserved,
        step.label,
        step.data_rack,
        step.is_long_running,
    )


class Packer:
    """Assigns tasks to workers one at a time.

    Of the workers with enough free capacity, the one is chosen whose busy time
    the task extends least, then the one with the least free CPU (best fit).
    Best fit alone answers the load of a full pool. The busy time answers the
    load of a pool whose burst ends: short and long tasks that share each worker
    keep all of them busy until the last one ends, and no machine is free to
    move to the pool whose burst begins. Tasks whose end isn't known extend
    nothing.
    """

    def __init__(
        self,
        available: dict[PoolId, list[AvailableWorker]],
        quotas: dict[TeamId, Quota],
        held: Collection[WorkerId] = (),
        reservations: ReservationBook | None = None,
        now: float = 0.0,
        overdue: OverdueSteps | None = None,
    ):
        """Create a packer; placing updates `available` and `quotas`.

        Args:
            available: Workers by pool.
            quotas: Quotas by tenant. A tenant without an entry has no limit.
            held: Workers that get long-running tasks only.
            reservations: Reservations for waiting tasks; placing updates them.
            now: Time on the monotonic clock.
            overdue: Steps that quotas have kept waiting for too long.
        """
        self._held = held
        self._reservations = reservations or None
        self._now = now
        self._available = {
            pool: prefer_healthy(members) for pool, members in available.items()
        }
        self._quotas = quotas
        self._quota_gate = QuotaGate(quotas, overdue or {})
        # Free CPU, id and worker, in this order.
        self._by_free_cpu = {
            pool: sorted(map(_sort_entry, members))
            for pool, members in self._available.items()
        }
        # Time at which the last worker of each pool becomes idle.
        self._last_idle_at = {
            pool: max((w.idle_at for w in members), default=-math.inf)
            for pool, members in self._available.items()
        }
        # Shapes that fit nowhere. No capacity is released while packing.
        self._exhausted: set[Shape] = set()
        # Earliest end of tasks of a shape that only reservations exclude. Tasks
        # that end later are excluded, too.
        self._excluded_from: dict[Shape, float] = {}

    def is_exhausted(
        self,
        shape: Shape,
        seconds: float = -math.inf,
        owner: StepId | None = None,
    ) -> bool:
        """Return whether no worker has capacity for another task of a shape.

        Args:
            shape: Shape of the task.
            seconds: Expected duration, or negative infinity if unknown.
            owner: Step of the task, which may have reservations.
        """
        if shape in self._exhausted:
            return True
        ends_at = self._now + seconds
        return (
            self._find_preferred(shape, ends_at, owner, accepts_any=True)
            is None
        )

    def allows(self, tenant: TeamId, step: Step, step_id: StepId) -> bool:
        """Return whether a tenant's quota allows a task, or the whole gang."""
        return self._quota_gate.allows(tenant, step, step_id)

    def place(self, candidate: Candidate) -> Placement | None:
        """Assign a task or gang, or return None if it can't be placed."""
        step = candidate.step
        count = step.count if candidate.key.index == GANG else 1
        if not self.allows(candidate.tenant, step, candidate.step_id):
            return None
        preferred = self._find_preferred(
            shape_of(candidate.pool, step), candidate.ends_at, candidate.step_id
        )
        if preferred is None:
            return None
        if (
            count == 1
            and candidate.tickets is None
            and preferred.report.worker not in candidate.avoided
            and preferred.report.worker not in candidate.excluded
            and _within_spread_limit(candidate, preferred, 0)
        ):
            workers = [preferred]
        else:
            workers = assign_workers(
                candidate, count, self._members(candidate, count)
            )
        if workers is None:
            return None
        quota = self._quotas.get(candidate.tenant)
        if quota is not None:
            quota.add(step)
        members = []
        for member, available_worker in enumerate(workers):
            self._reserve(candidate, available_worker)
            report = available_worker.report
            worker = report.worker
            candidate.siblings[worker] = candidate.siblings.get(worker, 0) + 1
            members.append((member, Incarnation(worker, report.born)))
        if self._reservations is not None and (
            self._reservations.record_placement(
                (incarnation.worker for _, incarnation in members),
                step.reserved,
                candidate.ends_at,
                candidate.step_id,
            )
        ):
            self._excluded_from.clear()
        return Placement(candidate, tuple(members))

    def _members(
        self, candidate: Candidate, count: int
    ) -> list[AvailableWorker]:
        members = self._available[candidate.pool]
        if self._held and not candidate.step.is_long_running:
            members = [w for w in members if w.report.worker not in self._held]
        if self._reservations is not None:
            # All members of a gang may get the same worker.
            need = candidate.step.reserved.times(count)
            members = [
                w
                for w in members
                if self._reservations.admits(
                    w.report.worker, need, candidate.ends_at, candidate.step_id
                )
            ]
        return members

    def _find_preferred(
        self,
        shape: Shape,
        ends_at: float,
        owner: StepId | None,
        *,
        accepts_any: bool = False,
    ) -> AvailableWorker | None:
        """Return the preferred worker for a shape, or None if it fits nowhere.

        Prefers the rack that holds the task's data, then the smallest extension
        of the worker's busy time, then the least free CPU. Returns the first
        one found if `accepts_any`.
        """
        if shape in self._exhausted:
            return None
        reservations = self._reservations
        is_owner = reservations is not None and reservations.has_owner(owner)
        if (
            not is_owner
            and shape in self._excluded_from
            and ends_at >= self._excluded_from[shape]
        ):
            return None
        pool, reserved, label, rack, is_long_running = shape
        entries = self._by_free_cpu.get(pool, [])
        # No worker is extended less than the last one to become idle.
        least = extension_steps(ends_at, self._last_idle_at.get(pool, 0.0))
        best, best_key = None, (True, math.inf)
        has_capacity = False
        for position in range(
            bisect.bisect_left(entries, (reserved.cpu,)), len(entries)
        ):
            available_worker = entries[position][2]
            report = available_worker.report
            labels = report.labels
            if report.worker in self._held and not is_long_running:
                continue
            if not reserved.fits(available_worker.free) or (
                label and label not in labels
            ):
                continue
            has_capacity = True
            if reservations is not None and not reservations.admits(
                report.worker, reserved, ends_at, owner
            ):
                continue
            if accepts_any:
                return available_worker
            is_off_rack = bool(rack) and rack not in labels
            steps = extension_steps(ends_at, available_worker.idle_at)
            if not is_off_rack and steps <= least:
                return available_worker
            if best is None or (is_off_rack, steps) < best_key:
                best, best_key = available_worker, (is_off_rack, steps)
        if not has_capacity:
            self._exhausted.add(shape)
        elif best is None and not is_owner:
            self._excluded_from[shape] = ends_at
        return best

    def _reserve(
        self, candidate: Candidate, available_worker: AvailableWorker
    ) -> None:
        pool, need = candidate.pool, candidate.step.reserved
        if candidate.ends_at > available_worker.idle_at:
            available_worker.idle_at = candidate.ends_at
            self._last_idle_at[pool] = max(
                self._last_idle_at[pool], candidate.ends_at
            )
        entries = self._by_free_cpu[pool]
        entry = _sort_entry(available_worker)
        available_worker.free = available_worker.free.minus(need)
        if need.cpu:
            del entries[bisect.bisect_left(entries, entry[:2])]
            bisect.insort(entries, _sort_entry(available_worker))


def extension_steps(ends_at: float, idle_at: float) -> float:
    """Return by how many whole steps a task extends a worker's busy time.

    Args:
        ends_at: Expected end of the task.
        idle_at: When the worker's runs have probably ended.
    """
    if ends_at <= idle_at:
        return 0.0
    if ends_at == math.inf:
        return math.inf
    return (ends_at - idle_at) // EXTENSION_STEP_SECONDS


def _sort_entry(available_worker: AvailableWorker) -> tuple:
    return (
        available_worker.free.cpu,
        available_worker.report.worker,
        available_worker,
    )


def is_eligible(
    candidate: Candidate, available_worker: AvailableWorker
) -> bool:
    """Return whether a worker may run the task, regardless of its capacity."""
    return _meets_constraints(
        candidate, available_worker
    ) and _within_spread_limit(candidate, available_worker, 0)


def prefer_healthy(available: list[AvailableWorker]) -> list[AvailableWorker]:
    """Return the workers that are not suspect, or all if there are none."""
    return [
        available_worker
        for available_worker in available
        if not available_worker.is_suspect
    ] or available


def assign_workers(
    candidate: Candidate, count: int, available: list[AvailableWorker]
) -> list[AvailableWorker] | None:
    """Return a worker for each member, or None unless all members fit."""
    step = candidate.step
    suitable = [
        available_worker
        for available_worker in available
        if _meets_constraints(candidate, available_worker)
        and step.reserved.fits(available_worker.free)
    ]
    if count == 1:
        allowed = [r for r in suitable if _within_spread_limit(candidate, r, 0)]
        best = min(
            allowed, key=lambda r: _preference_key(candidate, r), default=None
        )
        return None if best is None else [best]
    if step.wants_same_rack:
        by_rack: dict[str, list[AvailableWorker]] = {}
        for available_worker in suitable:
            by_rack.setdefault(available_worker.report.rack, []).append(
                available_worker
            )
        for rack in sorted(by_rack):
            if chosen := _pack_gang(candidate, count, by_rack[rack]):
                return chosen
    return _pack_gang(candidate, count, suitable)


def _pack_gang(
    candidate: Candidate, count: int, available: list[AvailableWorker]
) -> list[AvailableWorker] | None:
    """Fill workers in order of preference; return None unless all fit."""
    chosen: list[AvailableWorker] = []
    reserved = candidate.step.reserved
    for available_worker in sorted(
        available, key=lambda r: _preference_key(candidate, r)
    ):
        free, added = available_worker.free, 0
        while (
            len(chosen) < count
            and reserved.fits(free)
            and _within_spread_limit(candidate, available_worker, added)
        ):
            chosen.append(available_worker)
            free, added = free.minus(reserved), added + 1
    return chosen if len(chosen) == count else None


def _meets_constraints(
    candidate: Candidate, available_worker: AvailableWorker
) -> bool:
    label, worker = candidate.step.label, available_worker.report.worker
    return (
        (not label or label in available_worker.report.labels)
        and worker not in candidate.excluded
        and (candidate.tickets is None or worker in candidate.tickets)
    )


def _within_spread_limit(
    candidate: Candidate, available_worker: AvailableWorker, added: int
) -> bool:
    most = candidate.step.max_per_worker
    siblings = candidate.siblings.get(available_worker.report.worker, 0) + added
    return not most or siblings < most


def _preference_key(
    candidate: Candidate, available_worker: AvailableWorker
) -> tuple:
    """Return the sort key of a worker; the smallest key is preferred.

    Prefers the rack that holds the task's data, then the worker whose busy time
    the task extends least, then the one with the least free CPU (best fit).
    Both keep whole machines empty so that they can be moved to another pool or
    switched off.
    """
    report = available_worker.report
    rack = candidate.step.data_rack
    return (
        report.worker in candidate.avoided,
        bool(rack) and rack not in report.labels,
        extension_steps(candidate.ends_at, available_worker.idle_at),
        available_worker.free.cpu,
        report.worker,
    )
