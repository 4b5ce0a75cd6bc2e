"""Capacity that is kept for tasks that have waited for a while."""

import abc
import dataclasses
import itertools
import logging
import math
from collections.abc import Callable, Iterator

from galenarill.common import (
    JobId,
    PoolId,
    TeamId,
    WorkerId,
    monotonic_now,
    wall_now,
)
from galenarill.coordinator.progress import ProgressMonitor
from galenarill.coordinator.term import TermContext
from galenarill.coordinator.turns import Turns
from galenarill.jobs import Step, TaskKey
from galenarill.placement import (
    AvailableWorker,
    Candidate,
    ExpectedRelease,
    Horizon,
    Quota,
    Reservation,
    ReservationBook,
    StepId,
    TaskGroup,
    TenantUsage,
    choose_reservations,
    choose_workers_to_hold,
)
from galenarill.routing import Resources
from galenarill.telemetry import meter

__all__ = ["CapacityKeeper", "WorkerHolds", "WorkerReservations"]

logger = logging.getLogger(__name__)

_RESERVED_WORKERS = meter().create_gauge("galenarill_reserved_workers")

# Time that a long-running task waits before a worker is held for it, in
# seconds.
# Longer than most finite tasks run, and than a machine takes to move.
HOLD_DELAY_SECONDS = 2.0
# Most workers that are held at a time.
MAX_HELD_WORKERS = 8
# Time that a finite task waits before capacity is reserved for it, in seconds.
# About the time in which a preemption or an arriving machine helps.
RESERVATION_DELAY_SECONDS = 0.5
# Most tasks of a pool with a reservation. With 8, up to 3 points fewer of all
# tasks start in time, since each reservation keeps small tasks waiting.
MAX_RESERVED_TASKS = 1
# Maximum steps per pool that fitted on no worker and are retried when its
# reservations are recomputed.
MAX_RETRIED_STEPS = 8
# Time for which the reservations of a pool are kept while its workers accept
# starts and the tasks wait, in seconds. Bounds the cost with all pools full,
# and is shorter than the time between two readings of progress.
RESERVATION_SECONDS = 0.1


class CapacityKeeper(abc.ABC):
    """Keeps capacity for tasks that have found no worker for some time."""

    @property
    @abc.abstractmethod
    def workers(self) -> frozenset[WorkerId]:
        """Workers that get long-running tasks only."""

    @abc.abstractmethod
    def usable_by(
        self, step: Step, members: list[AvailableWorker]
    ) -> list[AvailableWorker]:
        """Return the workers that tasks of a step may use."""

    @abc.abstractmethod
    def clear(self) -> None:
        """Keep no capacity, because no task waits."""

    @abc.abstractmethod
    def reserve(self, facts: "PlacementFacts") -> ReservationBook | None:
        """Return the reservations for a round, before its placements."""

    def latest_reservations(self) -> ReservationBook | None:
        """Return a copy of the reservations of the latest round, if any."""
        return None

    @abc.abstractmethod
    def update(
        self,
        waiting: list[TaskGroup],
        make_candidate: Callable[[TaskGroup, TaskKey], Candidate],
        available: dict[PoolId, list[AvailableWorker]],
    ) -> None:
        """Record the tasks that found no worker in a round.

        Args:
            waiting: Groups of these tasks.
            make_candidate: Returns the candidate for a task of a group.
            available: Workers that accept starts, by pool.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementFacts:
    """What reservations depend on in one round.

    Attributes:
        groups: Groups of ready tasks, without suspects.
        available: Workers that accept starts, by pool.
        quotas: Upper limit and usage of each tenant.
        usage: Usage of the tenants.
        proposed: Expected releases of starts that are not in the state yet, by
            worker.
        make_candidate: Returns the candidate for a task of a group.
    """

    groups: list[TaskGroup]
    available: dict[PoolId, list[AvailableWorker]]
    quotas: dict[TeamId, Quota]
    usage: TenantUsage
    proposed: dict[WorkerId, list[ExpectedRelease]]
    make_candidate: Callable[[TaskGroup, TaskKey], Candidate]


class WorkerHolds(CapacityKeeper):
    """Keeps finite tasks off workers until a waiting long-running task fits."""

    def __init__(self, context: TermContext):
        """Hold no workers in the term of `context`."""
        self._context = context
        # Since when long-running tasks have found no worker, and the workers
        # that are held for them.
        self._waiting_since: dict[tuple[JobId, TaskKey], float] = {}
        self._turns = Turns(MAX_HELD_WORKERS)
        self._held: dict[tuple[JobId, TaskKey], WorkerId] = {}

    @property
    def workers(self) -> frozenset[WorkerId]:
        """Workers that get long-running tasks only."""
        return frozenset(self._held.values())

    def usable_by(
        self, step: Step, members: list[AvailableWorker]
    ) -> list[AvailableWorker]:
        """Return the workers that are not held, or all for a lasting step."""
        if step.is_long_running or not self._held:
            return members
        held = self.workers
        return [w for w in members if w.report.worker not in held]

    def clear(self) -> None:
        """Hold no workers, because no task waits."""
        self._waiting_since, self._held = {}, {}

    def reserve(self, facts: PlacementFacts) -> ReservationBook | None:
        """Return None: whole workers are held instead."""
        return None

    def update(
        self,
        waiting: list[TaskGroup],
        make_candidate: Callable[[TaskGroup, TaskKey], Candidate],
        available: dict[PoolId, list[AvailableWorker]],
    ) -> None:
        """Hold workers for long-running tasks that have waited for a while.

        Args:
            waiting: Groups of tasks that found no worker in this round.
            make_candidate: Returns the candidate for a task of a group.
            available: Workers that accept starts, by pool.
        """
        now = monotonic_now()
        tasks = {
            (group.job, key): group
            for group in waiting
            if group.step.is_long_running
            for key in group.keys
        }
        self._waiting_since = {
            task_id: self._waiting_since.get(task_id, now) for task_id in tasks
        }
        overdue = [
            task_id
            for task_id in tasks
            if now >= self._waiting_since[task_id] + HOLD_DELAY_SECONDS
        ]
        # Tasks with a held worker keep it. The others take turns.
        holding = [task_id for task_id in overdue if task_id in self._held]
        others = [task_id for task_id in overdue if task_id not in self._held]
        most = max(0, MAX_HELD_WORKERS - len(holding))
        turns = self._turns.take(others)[:most]
        delayed = [
            (task_id, make_candidate(tasks[task_id], task_id[1]))
            for task_id in holding + turns
        ]
        if not delayed:
            self._held = {}
            return
        pools = {candidate.pool for _, candidate in delayed}
        held = choose_workers_to_hold(
            delayed,
            available,
            {
                available_worker.report.worker: self._releasable(
                    available_worker.report.worker
                )
                for pool in pools
                for available_worker in available.get(pool, [])
            },
            self._held,
        )
        for job_id, key in held.keys() - self._held.keys():
            logger.info(
                "worker held",
                extra={
                    "job": job_id,
                    "task": list(key),
                    "worker": held[job_id, key],
                },
            )
        for task_id in turns:
            if task_id not in held:
                self._turns.pass_over(task_id)
        self._held = held

    def _releasable(self, worker: WorkerId) -> Resources:
        """Return the capacity that a worker's finite runs will release."""
        total = Resources()
        for run in self._context.runs.on_worker(worker):
            if not run.step.is_long_running:
                total = total.plus(run.step.reserved)
        return total


@dataclasses.dataclass(slots=True)
class _PoolReservations:
    """Reservations in one pool.

    Attributes:
        reservations: Reservations, in the order in which they were made.
        expires_at: When they are chosen anew, on the monotonic clock.
        unfitting: Steps that fitted on no worker when last looked at.
        turns: Turns of these steps.
    """

    reservations: list[Reservation] = dataclasses.field(default_factory=list)
    expires_at: float = -math.inf
    unfitting: set[StepId] = dataclasses.field(default_factory=set)
    turns: Turns = dataclasses.field(
        default_factory=lambda: Turns(MAX_RETRIED_STEPS)
    )


class WorkerReservations(CapacityKeeper):
    """Reserves capacity where tasks that have waited fit earliest.

    Nothing outlives the facts that it was chosen for: the reservations of a
    pool are chosen anew after `RESERVATION_SECONDS`, and at once if a worker
    no longer accepts starts or a task no longer waits.
    """

    def __init__(self, context: TermContext, progress_monitor: ProgressMonitor):
        """Reserve nothing in the term of `context`."""
        self._context = context
        self._progress_monitor = progress_monitor
        # Since when tasks of each step have found no worker.
        self._waiting_since: dict[StepId, float] = {}
        self._pools: dict[PoolId, _PoolReservations] = {}
        # Reservations of the latest round, less those that it used.
        self._book = ReservationBook()
        # Worker of each reservation that has been logged.
        self._logged: set[tuple[StepId, WorkerId]] = set()
        # It still has the number of an earlier term of this process.
        _RESERVED_WORKERS.set(0)

    @property
    def workers(self) -> frozenset[WorkerId]:
        """No workers: other tasks may use what isn't reserved."""
        return frozenset()

    def latest_reservations(self) -> ReservationBook | None:
        """Return a copy of the reservations of the latest round, if any."""
        return ReservationBook(
            dataclasses.replace(reservation)
            for chosen in self._pools.values()
            for reservation in chosen.reservations
            if reservation in self._book
        )

    def usable_by(
        self, step: Step, members: list[AvailableWorker]
    ) -> list[AvailableWorker]:
        """Return all workers."""
        return members

    def clear(self) -> None:
        """Reserve nothing, because no task waits."""
        self._waiting_since, self._pools = {}, {}
        self._log([])

    def update(
        self,
        waiting: list[TaskGroup],
        make_candidate: Callable[[TaskGroup, TaskKey], Candidate],
        available: dict[PoolId, list[AvailableWorker]],
    ) -> None:
        """Record since when tasks have found no worker."""
        now = monotonic_now()
        since = self._waiting_since
        self._waiting_since = {
            step_id: since.get(step_id, now)
            for step_id in (group.step_id for group in waiting)
        }

    def reserve(self, facts: PlacementFacts) -> ReservationBook | None:
        """Return the reservations for a round, before its placements."""
        now = monotonic_now()
        overdue: dict[PoolId, list[TaskGroup]] = {}
        for group in facts.groups:
            if self._is_overdue(group, now) and _is_allowed(group, facts):
                overdue.setdefault(group.pool, []).append(group)
        self._pools = {
            pool: self._keep_or_choose(pool, groups, facts, now)
            for pool, groups in overdue.items()
        }
        reservations = [
            reservation
            for chosen in self._pools.values()
            for reservation in chosen.reservations
        ]
        self._log(reservations)
        self._book = ReservationBook(reservations)
        return self._book

    def _is_overdue(self, group: TaskGroup, now: float) -> bool:
        since = self._waiting_since.get(group.step_id)
        delay = (
            HOLD_DELAY_SECONDS
            if group.step.is_long_running
            else RESERVATION_DELAY_SECONDS
        )
        return since is not None and now >= since + delay

    def _keep_or_choose(
        self,
        pool: PoolId,
        groups: list[TaskGroup],
        facts: PlacementFacts,
        now: float,
    ) -> _PoolReservations:
        """Return the reservations of a pool with overdue groups."""
        known = self._pools.get(pool, _PoolReservations())
        members = facts.available.get(pool, [])
        if now < known.expires_at:
            known.reservations = [
                reservation
                for reservation in known.reservations
                if reservation in self._book
            ]
            workers = {w.report.worker for w in members}
            owners = {group.step_id for group in groups}
            if all(
                reservation.worker in workers and reservation.owner in owners
                for reservation in known.reservations
            ):
                return known
        self._choose(known, {pool: members}, groups, facts, now)
        known.expires_at = now + RESERVATION_SECONDS
        return known

    def _choose(
        self,
        known: _PoolReservations,
        available: dict[PoolId, list[AvailableWorker]],
        groups: list[TaskGroup],
        facts: PlacementFacts,
        now: float,
    ) -> None:
        """Choose the reservations of a pool anew.

        Steps that fitted nowhere are looked at in turns, in addition to the
        first others. Neither keeps the other from a reservation.
        """
        wall_time = wall_now()
        owners = {owner for owner, _ in self._logged}
        groups.sort(
            key=lambda group: _order(group, owners, facts.usage, wall_time)
        )
        by_id = {group.step_id: group for group in groups}
        known.unfitting &= by_id.keys()
        retried = known.turns.take(
            step_id for step_id in by_id if step_id in known.unfitting
        )
        others = (s for s in by_id if s not in known.unfitting)
        taken = {*retried, *itertools.islice(others, MAX_RESERVED_TASKS)}
        examined: set[StepId] = set()

        def candidates() -> Iterator[Candidate]:
            for step_id, group in by_id.items():
                if step_id in taken:
                    for key in group.keys[:MAX_RESERVED_TASKS]:
                        examined.add(step_id)
                        yield facts.make_candidate(group, key)

        known.reservations = choose_reservations(
            candidates(),
            available,
            Horizon(now, lambda worker: self._releases(worker, facts, now)),
            self._logged,
            MAX_RESERVED_TASKS,
        )
        helped = {reservation.owner for reservation in known.reservations}
        for step_id in retried:
            if step_id in examined - helped:
                known.turns.pass_over(step_id)
        known.unfitting = (known.unfitting | examined) - helped

    def _releases(
        self, worker: WorkerId, facts: PlacementFacts, now: float
    ) -> list[ExpectedRelease]:
        """Return what the finite runs of a worker will release."""
        releases = list(facts.proposed.get(worker, ()))
        for run in self._context.runs.on_worker(worker):
            if not run.step.is_long_running:
                ends_at = self._progress_monitor.expected_end(run, now)
                releases.append((ends_at, run.step.reserved))
        return releases

    def _log(self, reservations: list[Reservation]) -> None:
        """Log reservations that are new, and set the gauge."""
        now = monotonic_now()
        pairs = set()
        for reservation in reservations:
            pair = reservation.owner, reservation.worker
            pairs.add(pair)
            if pair not in self._logged:
                job_id, occurrence, step = reservation.owner
                logger.info(
                    "worker reserved",
                    extra={
                        "job": job_id,
                        "task": [occurrence, step],
                        "worker": reservation.worker,
                        "seconds": round(reservation.begins_at - now, 3),
                        "cpu": reservation.need.cpu,
                        "spare_cpu": reservation.spare.cpu,
                    },
                )
        if pairs != self._logged:
            self._logged = pairs
            _RESERVED_WORKERS.set(len({worker for _, worker in pairs}))


def _is_allowed(group: TaskGroup, facts: PlacementFacts) -> bool:
    """Return whether the tenant's quota allows a task, or the whole gang."""
    quota = facts.quotas.get(group.tenant)
    return quota is None or quota.allows(group.step)


def _order(
    group: TaskGroup,
    owners: set[StepId],
    usage: TenantUsage,
    wall_time: float,
) -> tuple:
    """Return the sort key of a group; the smallest gets a reservation first.

    In a rank class, a step that has a reservation comes before the others, so
    that tasks that arrive later don't take it. Late tasks don't keep theirs
    from tasks in time: under overload, late ones would always have them all.
    Tenants share the capacity of a class.
    """
    rank = group.rank(wall_time)
    return (
        *rank[:2],
        group.step_id not in owners,
        usage.weighted_share(group.tenant),
        rank[2:],
    )
