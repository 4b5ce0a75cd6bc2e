"""Places ready tasks on workers and proposes their starts."""

import asyncio
import collections
import dataclasses
import enum
import functools
import itertools
import logging
import math
from collections.abc import Callable, Iterator

from galenarill.common import (
    JobId,
    MachineId,
    PoolId,
    TeamId,
    WorkerId,
    monotonic_now,
    wall_now,
)
from galenarill.coordinator.advice_requests import AdviceRequests
from galenarill.coordinator.advisor import Advisor
from galenarill.coordinator.cordons import CordonReason, Cordons
from galenarill.coordinator.crashes import CrashMonitor
from galenarill.coordinator.disruptions import DisruptionMonitor
from galenarill.coordinator.holding import (
    PlacementFacts,
    WorkerHolds,
    WorkerReservations,
)
from galenarill.coordinator.limits import LimitMonitor, make_quotas
from galenarill.coordinator.orders import RunOrders
from galenarill.coordinator.preempting import Preemptor
from galenarill.coordinator.progress import ProgressMonitor
from galenarill.coordinator.runs import Phase, TrackedRun, ready_tasks
from galenarill.coordinator.term import ANSWER_SECONDS, TermContext
from galenarill.coordinator.trials import TrialPlacer
from galenarill.jobs import (
    Job,
    JobStatus,
    StartRun,
    Step,
    TaskKey,
    task_name,
)
from galenarill.placement import (
    AvailableWorker,
    Candidate,
    ExpectedRelease,
    Packer,
    Placement,
    Quota,
    RecentUsage,
    ReservationBook,
    TaskGroup,
    TenantUsage,
    duration_key,
    make_group,
    place_groups,
)
from galenarill.routing import Resources
from galenarill.telemetry import meter
from galenarill.workers import WorkerSession

__all__ = ["Obstacle", "Placer", "PlacementSnapshot"]

logger = logging.getLogger(__name__)

_FIRST_START_SECONDS = meter().create_histogram(
    "galenarill_first_start_seconds", unit="s"
)

# Pause between two placement rounds, in seconds. Starts of one burst then share
# one sync of the log.
PLACEMENT_PAUSE_SECONDS = 0.01
# Time without an answer from a worker after which its speculative tasks get a
# copy, in seconds. Longer than a worker holds a renewal open.
SPECULATION_SILENCE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _ProposedStart:
    """The proposed start of one member.

    Attributes:
        worker: Worker that is to run it.
        step: Step that the task belongs to.
        tenant: Tenant, or "".
        run: Name of the task, and number of the run.
        is_trial: Whether the task may crash its worker.
        ends_at: Expected end, on the monotonic clock.
    """

    worker: WorkerId
    step: Step
    tenant: TeamId
    run: tuple[str, int]
    is_trial: bool
    ends_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class UnplacedTasks:
    """Tasks of one step that found no worker.

    Attributes:
        job: Id of the job.
        step: Step.
        count: Number of tasks.
        is_late: Whether their job can no longer meet its objective.
    """

    job: JobId
    step: Step
    count: int
    is_late: bool


class Obstacle(enum.Enum):
    """Why a worker gets no starts, whatever its capacity."""

    NOT_SYNCED = "runs not known yet"
    LEAVING = "leaving"
    NOT_ANSWERING = "not answering"
    DRAINING = "draining"
    CORDONED = "cordoned"
    IN_BACKOFF = "in backoff"


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementSnapshot:
    """Copies of what a placement round decides from.

    Attributes:
        groups: Groups of ready tasks, without suspects.
        available: Workers that accept starts, by pool, without cold workers
            of pools with warm ones.
        cold: These cold workers, by pool.
        trial_workers: Workers that are reserved for a trial.
        held: Workers that get long-running tasks only.
        reservations: Reservations of the latest round, or None.
        usage: Usage of the tenants.
        quotas: Quotas by tenant.
        make_candidate: Returns the candidate for a task of a group.
    """

    groups: list[TaskGroup]
    available: dict[PoolId, list[AvailableWorker]]
    cold: dict[PoolId, list[AvailableWorker]]
    trial_workers: set[WorkerId]
    held: frozenset[WorkerId]
    reservations: ReservationBook | None
    usage: TenantUsage
    quotas: dict[TeamId, Quota]
    make_candidate: Callable[[TaskGroup, TaskKey], Candidate]


class Placer:
    """Assigns ready tasks to workers and proposes their starts."""

    def __init__(
        self,
        context: TermContext,
        run_orders: RunOrders,
        progress_monitor: ProgressMonitor,
        crash_monitor: CrashMonitor,
        advisor: Advisor,
        disruptions: DisruptionMonitor,
        recent_usage: RecentUsage | None = None,
        *,
        looks_ahead: bool = False,
    ):
        """Create a placer for the term of `context`.

        If `recent_usage` is given, it counts in the order between tenants.
        Expected ends of runs are used if `looks_ahead`.
        """
        self._context = context
        self._recent_usage = recent_usage
        self._looks_ahead = looks_ahead
        self._disruptions = disruptions
        self._advisor = advisor
        self._run_orders = run_orders
        self._progress_monitor = progress_monitor
        self._crash_monitor = crash_monitor
        self._preemptor = Preemptor(context, run_orders)
        self._trial_placer = TrialPlacer(crash_monitor)
        self._capacity_keeper = (
            WorkerReservations(context, progress_monitor)
            if looks_ahead
            else WorkerHolds(context)
        )
        self._limit_monitor = LimitMonitor()
        self._advice_requests = AdviceRequests(
            context, advisor, self._preemptor, self._capacity_keeper
        )
        # Ready tasks without a proposed start, by job.
        self._groups: dict[JobId, list[TaskGroup]] = {}
        # Configuration that the groups were made for.
        self._routing = context.state.routing
        # Proposed starts by task, until their proposal succeeds or fails.
        self._proposed: dict[tuple[JobId, TaskKey], list[_ProposedStart]] = {}
        self._proposed_by_worker: collections.Counter[WorkerId] = (
            collections.Counter()
        )
        self._cordons = Cordons()
        # Tasks that found no worker in the latest round, by pool.
        self.unplaced: dict[PoolId, list[UnplacedTasks]] = {}

    async def run_next_round(self) -> None:
        """Wait for a change, run a placement round, and pause."""
        await self._context.wake.wait()
        self._context.wake.clear()
        if self._context.has_leader_lease():
            try:
                self._place()
            except Exception:
                # Tasks that were placed but not proposed are ready again.
                self._refresh_all_jobs()
                raise
        await asyncio.sleep(PLACEMENT_PAUSE_SECONDS)

    def cordon(self, machine: MachineId, reason: CordonReason) -> None:
        """Exclude a machine from new starts."""
        self._cordons.add(machine, reason)

    def uncordon(self, machine: MachineId, reason: CordonReason) -> None:
        """Remove a reason for which a machine is excluded from new starts."""
        self._cordons.remove(machine, reason)
        self._context.wake.set()

    def is_proposed_on(self, worker: WorkerId) -> bool:
        """Return whether a start is being proposed for a worker."""
        return self._proposed_by_worker[worker] > 0

    def recent_shares(self) -> dict[TeamId, float]:
        """Return the recent share of tenants; empty if it does not count."""
        if self._recent_usage is None:
            return {}
        return self._recent_usage.shares(self._total_capacity())

    @property
    def waiting_groups(self) -> Iterator[TaskGroup]:
        """Groups of ready tasks without a proposed start."""
        for groups in self._groups.values():
            for group in groups:
                if group.keys:
                    yield group

    def tenant_usage(self) -> tuple[TenantUsage, dict[TeamId, Quota]]:
        """Return the usage of tenants, and their quotas."""
        return self._tenant_usage(self._uncommitted_starts())

    def expected_seconds(self, job: Job, step: Step) -> float:
        """Return how long a task will probably run.

        Negative infinity if durations aren't used.
        """
        return (
            self._expected_seconds(job, step)
            if self._looks_ahead
            else -math.inf
        )

    def snapshot(self, pool: PoolId) -> PlacementSnapshot:
        """Return copies of what a round decides from, for a dry run.

        Args:
            pool: Pool whose workers are included even if no task waits for it.
        """
        now = monotonic_now()
        groups = [
            dataclasses.replace(group, keys=list(group.keys))
            for group in self.waiting_groups
            if not group.is_trial
        ]
        proposed = self._uncommitted_starts()
        available = self._available_workers(
            {pool, *(group.pool for group in groups)}, proposed
        )
        cold = self._take_cold_workers(available, proposed)
        trial_workers = self._crash_monitor.trial_workers() | {
            start.worker for _, start in proposed if start.is_trial
        }
        for members in available.values():
            members[:] = [
                w for w in members if w.report.worker not in trial_workers
            ]
        usage, quotas = self._tenant_usage(proposed)
        return PlacementSnapshot(
            groups,
            available,
            cold,
            trial_workers,
            self._capacity_keeper.workers,
            self._capacity_keeper.latest_reservations(),
            usage,
            quotas,
            functools.partial(
                self._candidate,
                unsettled=self._disruptions.unsettled_workers(),
                step_tasks_by_worker={},
                proposed=proposed,
                now=now,
            ),
        )

    def refresh_ready_tasks(self, job_id: JobId) -> None:
        """Recompute which tasks of a job are ready to start."""
        job = self._context.state.jobs.get(job_id)
        groups = self._ready_groups(job) if job is not None else []
        if groups:
            self._groups[job_id] = groups
        else:
            self._groups.pop(job_id, None)

    def _refresh_all_jobs(self) -> None:
        for job_id in self._context.state.jobs:
            self.refresh_ready_tasks(job_id)

    def _ready_groups(self, job: Job) -> list[TaskGroup]:
        queue = job.queue_settings
        if queue is None or job.status is not JobStatus.ACTIVE:
            return []
        keys = ready_tasks(job, wall_now()) + self._tasks_to_copy(job)
        # Occurrence and step of each key, and whether it needs a trial.
        kinds = {
            key: (*key[:2], self._crash_monitor.needs_trial(job.id, key))
            for key in keys
            if (job.id, key) not in self._proposed
            and self._crash_monitor.may_start(job.id, key)
        }
        groups = [
            make_group(job, queue, list(members), is_trial)
            for (*_, is_trial), members in itertools.groupby(
                sorted(kinds, key=lambda key: (kinds[key], key)), kinds.get
            )
        ]
        if self._looks_ahead:
            for group in groups:
                group.expected_seconds = self._expected_seconds(job, group.step)
        return groups

    def _expected_seconds(self, job: Job, step: Step) -> float:
        """Return how long a task will probably run."""
        if step.is_long_running:
            return math.inf
        return self._progress_monitor.durations.expected_seconds(
            duration_key(job, step), step
        )

    def _tasks_to_copy(self, job: Job) -> list[TaskKey]:
        """Return tasks that need a speculative copy."""
        if not any(step.is_speculative for step in job.spec.steps):
            return []
        return [
            run.key
            for run in self._context.runs.runs_of(job.id)
            if run.step.is_speculative
            and not run.step.is_gang
            and not job.tasks[run.key].is_done
            and len(job.tasks[run.key].runs) == 1
            and not job.tasks[run.key].crashes
            and self._needs_copy(run)
        ]

    def _needs_copy(self, run: TrackedRun) -> bool:
        session = self._context.session_of(run)
        limit = monotonic_now() - SPECULATION_SILENCE_SECONDS
        if session is None or session.answered_at < limit:
            return True
        return run.is_slow and run.phase is Phase.RUNNING

    def _place(self) -> None:
        if self._recent_usage is not None:
            self._recent_usage.record(
                self._context.runs.used_by_tenant, monotonic_now()
            )
        if self._routing is not self._context.state.routing:
            self._routing = self._context.state.routing
            self._refresh_all_jobs()
        self.unplaced = {}
        if not self._groups:
            self._capacity_keeper.clear()
            self._limit_monitor.update([], {})
            return
        groups = [group for job in self._groups.values() for group in job]
        self._context.runs.drop_started()
        proposed = self._uncommitted_starts()
        available = self._available_workers(
            {group.pool for group in groups}, proposed
        )
        cold = self._take_cold_workers(available, proposed)
        usage, quotas = self._tenant_usage(proposed)
        wall_time, now = wall_now(), monotonic_now()
        # Number of tasks on each worker, by job, occurrence and step.
        step_tasks_by_worker: dict[tuple, dict[WorkerId, int]] = {}
        unsettled = (
            self._disruptions.unsettled_workers()
            if any(group.step.is_long_running for group in groups)
            else frozenset()
        )
        make_candidate = functools.partial(
            self._candidate,
            unsettled=unsettled,
            step_tasks_by_worker=step_tasks_by_worker,
            proposed=proposed,
            now=now,
        )
        held = self._capacity_keeper.workers
        placements = self._trial_placer.place(
            groups,
            available,
            [(start.worker, start.is_trial) for _, start in proposed],
            held,
            quotas,
            make_candidate,
        )
        for placement in placements:
            usage.add(
                placement.candidate.tenant,
                placement.candidate.step.need.times(len(placement.members)),
            )
        others = [group for group in groups if not group.is_trial]
        releases: dict[WorkerId, list[ExpectedRelease]] = {}
        for _, start in proposed:
            if start.ends_at < math.inf:
                releases.setdefault(start.worker, []).append(
                    (start.ends_at, start.step.reserved)
                )
        reservations = self._capacity_keeper.reserve(
            PlacementFacts(
                others, available, quotas, usage, releases, make_candidate
            )
        )
        overdue = self._limit_monitor.overdue_steps(others)
        placements += place_groups(
            others,
            Packer(available, quotas, held, reservations, now, overdue),
            usage,
            wall_time,
            make_candidate,
        )
        waiting = [group for group in groups if group.keys]
        if cold:
            for pool, members in cold.items():
                available[pool] += members
            placements += place_groups(
                [group for group in waiting if not group.is_trial],
                Packer(available, quotas, held, reservations, now, overdue),
                usage,
                wall_time,
                make_candidate,
            )
            waiting = [group for group in waiting if group.keys]
        for group in waiting:
            self.unplaced.setdefault(group.pool, []).append(
                UnplacedTasks(
                    group.job,
                    group.step,
                    len(group.keys),
                    group.is_late(wall_time),
                )
            )
        held_by_limit = self._limit_monitor.update(waiting, quotas)
        self._advice_requests.send(waiting, available, make_candidate)
        self._preemptor.preempt(
            [group for group in waiting if not group.is_trial],
            make_candidate,
            available,
            quotas,
        )
        self._capacity_keeper.update(
            [group for group in waiting if group.step_id not in held_by_limit],
            make_candidate,
            available,
        )
        if placements:
            self._start(placements, sum(len(group.keys) for group in waiting))

    def _start(self, placements: list[Placement], waiting: int) -> None:
        commands = [
            self._propose(placement, waiting) for placement in placements
        ]
        task_ids = [(p.candidate.job, p.candidate.key) for p in placements]
        for job_id in {job_id for job_id, _ in task_ids}:
            groups = [group for group in self._groups[job_id] if group.keys]
            if groups:
                self._groups[job_id] = groups
            else:
                del self._groups[job_id]
        future = self._context.propose(*commands)
        future.add_done_callback(lambda _: self._clear_proposed(task_ids))

    def _propose(self, placement: Placement, waiting: int) -> StartRun:
        candidate = placement.candidate
        job = self._context.state.jobs[candidate.job]
        task = job.tasks.get(candidate.key)
        is_trial = self._crash_monitor.needs_trial(job.id, candidate.key)
        if is_trial:
            self._crash_monitor.note_trial(job.id, candidate.key)
        number = (task.last_run if task else 0) + 1
        if not job.has_started:
            _FIRST_START_SECONDS.record(max(0.0, wall_now() - job.accepted_at))
        self._proposed[candidate.job, candidate.key] = [
            _ProposedStart(
                incarnation.worker,
                candidate.step,
                candidate.tenant,
                (task_name(candidate.job, candidate.key, member), number),
                is_trial,
                candidate.ends_at,
            )
            for member, incarnation in placement.members
        ]
        workers = [incarnation.worker for _, incarnation in placement.members]
        self._proposed_by_worker.update(workers)
        logger.info(
            "task placed",
            extra={
                "job": candidate.job,
                "task": list(candidate.key),
                "run": number,
                "workers": workers,
                "pool": candidate.pool,
                "cpu": candidate.step.need.cpu,
                "estimate_ms": candidate.step.estimate_ms,
                "is_trial": is_trial,
                "waiting": waiting,
            },
        )
        members = tuple(
            (member, incarnation.worker, incarnation.born)
            for member, incarnation in placement.members
        )
        return StartRun(candidate.job, *candidate.key, number, members)

    def _clear_proposed(self, task_ids: list[tuple[JobId, TaskKey]]) -> None:
        uncommitted_jobs = set()
        for job_id, key in task_ids:
            for start in self._proposed.pop((job_id, key), ()):
                self._proposed_by_worker[start.worker] -= 1
                if start.run not in self._context.runs.by_name:
                    uncommitted_jobs.add(job_id)
        for job_id in uncommitted_jobs:
            self.refresh_ready_tasks(job_id)
        self._context.wake.set()

    def _uncommitted_starts(
        self,
    ) -> list[tuple[tuple[JobId, TaskKey], _ProposedStart]]:
        """Return the proposed starts that are not in the state yet."""
        return [
            (task_id, start)
            for task_id, starts in self._proposed.items()
            for start in starts
            if start.run not in self._context.runs.by_name
        ]

    def _tenant_usage(
        self, proposed: list
    ) -> tuple[TenantUsage, dict[TeamId, Quota]]:
        """Return the usage of tenants, and their quotas."""
        total = self._total_capacity()
        runs = self._context.runs
        used = dict(runs.used_by_tenant)
        for _, start in proposed:
            _add(used, start.tenant, start.step.need)
        state = self._context.state
        tenants = (*state.removed_tenants, *state.routing.configuration.tenants)
        quotas = make_quotas(
            tenants, runs, [(start.tenant, start.step) for _, start in proposed]
        )
        weights = {tenant.name: tenant.weight for tenant in tenants}
        recent = (
            self._recent_usage.shares(total)
            if self._recent_usage is not None
            else {}
        )
        return TenantUsage(used, weights, total, recent), quotas

    def _total_capacity(self) -> Resources:
        total = Resources()
        for session in self._context.sessions.values():
            total = total.plus(session.report.capacity)
        return total

    def _candidate(
        self,
        group: TaskGroup,
        key: TaskKey,
        unsettled: frozenset[WorkerId],
        step_tasks_by_worker: dict,
        proposed: list,
        now: float,
    ) -> Candidate:
        step, job = group.step, self._context.state.jobs[group.job]
        step_key = (group.job, *key[:2])
        if step.max_per_worker and step_key not in step_tasks_by_worker:
            step_tasks_by_worker[step_key] = self._count_step_tasks_by_worker(
                group.job, key, proposed
            )
        return Candidate(
            group.job,
            key,
            step,
            group.pool,
            group.tenant,
            self._workers_to_avoid(job, key),
            step_tasks_by_worker.get(step_key, {}),
            self._advisor.tickets_for(group.job, key)
            if job.queue_settings.advice is not None
            else None,
            unsettled if step.is_long_running else frozenset(),
            now + group.expected_seconds,
        )

    def _workers_to_avoid(self, job: Job, key: TaskKey) -> frozenset[WorkerId]:
        """Return the workers where a task failed or already has a run.

        So are those of a machine that may be the cause of the task's crashes.
        """
        avoid = self._progress_monitor.workers_failed_on(job.id, key)
        avoid |= self._crash_monitor.suspect_workers(job.id, key)
        task = job.tasks.get(key)
        for run in task.runs if task is not None else ():
            avoid.update(
                incarnation.worker for incarnation in run.members.values()
            )
        return frozenset(avoid)

    def _count_step_tasks_by_worker(
        self, job: JobId, key: TaskKey, proposed: list
    ) -> dict[WorkerId, int]:
        """Return the number of tasks of a step on each worker."""
        counts: dict[WorkerId, int] = {}
        for run in self._context.runs.runs_of(job):
            if run.key[:2] == key[:2]:
                worker = run.incarnation.worker
                counts[worker] = counts.get(worker, 0) + 1
        for (other_job, other_key), start in proposed:
            if other_job == job and other_key[:2] == key[:2]:
                counts[start.worker] = counts.get(start.worker, 0) + 1
        return counts

    def _available_workers(
        self, pools: set[PoolId], proposed: list
    ) -> dict[PoolId, list[AvailableWorker]]:
        now = monotonic_now()
        reserved = self._context.runs.reserved_by_worker
        proposed_by_worker: dict[WorkerId, Resources] = {}
        proposed_ends: dict[WorkerId, float] = {}
        for _, start in proposed:
            _add(proposed_by_worker, start.worker, start.step.reserved)
            proposed_ends[start.worker] = max(
                start.ends_at, proposed_ends.get(start.worker, now)
            )
        available: dict[PoolId, list[AvailableWorker]] = {}
        for worker, session in self._context.usable_sessions():
            report = session.report
            if (
                report.pool not in pools
                or self.obstacle_to_starts(session, now) is not None
            ):
                continue
            free = report.capacity
            if worker in reserved:
                free = free.minus(reserved[worker])
            if worker in proposed_by_worker:
                free = free.minus(proposed_by_worker[worker])
            is_suspect = self._progress_monitor.health.is_quarantined(
                worker, now
            )
            available_worker = AvailableWorker(report, free, is_suspect)
            if self._looks_ahead:
                available_worker.idle_at = max(
                    self._progress_monitor.idle_at(worker, now),
                    proposed_ends.get(worker, now),
                )
            available.setdefault(report.pool, []).append(available_worker)
        return available

    def _take_cold_workers(
        self, available: dict[PoolId, list[AvailableWorker]], proposed: list
    ) -> dict[PoolId, list[AvailableWorker]]:
        """Remove and return the cold workers of pools with warm ones.

        They answer the load after a zone is restored: its workers start tasks
        slowly at first, so they get only what fits on no other worker.
        """
        restored = self._context.state.restored_zones
        if not restored:
            return {}
        # Workers with a trial stay, since they are reserved for it.
        trial_workers = self._crash_monitor.trial_workers()
        trial_workers |= {
            start.worker for _, start in proposed if start.is_trial
        }
        cold: dict[PoolId, list[AvailableWorker]] = {}
        for pool, members in available.items():
            warm: list[AvailableWorker] = []
            others: list[AvailableWorker] = []
            for available_worker in members:
                report = available_worker.report
                is_cold = (
                    report.cold_left_ms > 0
                    and report.zone in restored
                    and report.worker not in trial_workers
                )
                (others if is_cold else warm).append(available_worker)
            if others and any(not w.is_suspect for w in warm):
                available[pool], cold[pool] = warm, others
        return cold

    def obstacle_to_starts(
        self, session: WorkerSession, now: float
    ) -> Obstacle | None:
        """Return why a worker gets no starts, or None if it accepts them."""
        report = session.report
        if (
            not session.is_synced
            or session.has_unknown_runs
            or session.is_provisional
        ):
            return Obstacle.NOT_SYNCED
        if session.departure_noted_at is not None:
            return Obstacle.LEAVING
        if session.answered_at <= now - ANSWER_SECONDS:
            return Obstacle.NOT_ANSWERING
        if self._context.is_draining(session):
            return Obstacle.DRAINING
        if report.machine in self._cordons:
            return Obstacle.CORDONED
        if self._run_orders.has_recently_refused(report.worker, now):
            return Obstacle.IN_BACKOFF
        return None


def _add(amounts: dict, key, amount: Resources) -> None:
    amounts[key] = amounts.get(key, Resources()).plus(amount)
