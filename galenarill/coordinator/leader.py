"""The scheduler that runs while this coordinator leads a term."""

import asyncio
import logging
import math
from collections.abc import Callable

from galenarill.admission import Admission
from galenarill.common import (
    JobId,
    MachineId,
    PoolId,
    TeamId,
    WorkerId,
    monotonic_now,
    wall_now,
)
from galenarill.coordinator.admitting import (
    AdmissionPolicy,
    JobAdmitter,
    MachineInventory,
)
from galenarill.coordinator.advisor import Advisor
from galenarill.coordinator.cordons import CordonReason
from galenarill.coordinator.crashes import CrashMonitor
from galenarill.coordinator.disruptions import DisruptionMonitor
from galenarill.coordinator.endings import RunEndCommitter
from galenarill.coordinator.explaining import JobExplainer
from galenarill.coordinator.options import SchedulerOptions
from galenarill.coordinator.orders import RunOrders
from galenarill.coordinator.placing import Placer
from galenarill.coordinator.progress import ProgressMonitor
from galenarill.coordinator.renewals import LeaseRenewer
from galenarill.coordinator.runs import Phase, RunIndex, TrackedRun
from galenarill.coordinator.term import TermContext
from galenarill.coordinator.throttling import BestEffortThrottle
from galenarill.jobs import (
    ClusterState,
    ForgetJobs,
    Incarnation,
    Job,
    JobSpec,
    JobStatus,
    Step,
)
from galenarill.maintenance_waves import StepKey
from galenarill.placement import RecentUsage, estimated_seconds, objective_at
from galenarill.pools import (
    ARRIVAL_SECONDS,
    MACHINE_ARRIVAL_SECONDS,
    ArrivalRate,
    Machine,
    PoolLoad,
    Work,
    add_work,
    scaled,
)
from galenarill.routing import Queue, Resources
from galenarill.telemetry import meter
from galenarill.workers import (
    AdviceClient,
    KnownWorker,
    WorkerClient,
    WorkerRegistry,
    WorkerSession,
)

__all__ = ["Leader"]

logger = logging.getLogger(__name__)

_TERMS_LED = meter().create_counter("galenarill_terms_led")
# 1 while this coordinator leads. Its other gauges are stale otherwise.
_IS_LEADING = meter().create_gauge("galenarill_leads")
_VERSION = meter().create_gauge("galenarill_configuration_version")
_EVACUATED_ZONES = meter().create_gauge("galenarill_evacuated_zones")
_TENANT_CPU = meter().create_gauge("galenarill_tenant_running_cpu")
_TENANT_RECENT_SHARE = meter().create_gauge("galenarill_tenant_recent_share")

TICK_SECONDS = 0.1
HOUSEKEEPING_SECONDS = 1.0
# Time for which an ended job is kept beyond the configured retention, in
# seconds.
RETENTION_MARGIN_SECONDS = 30.0
# Number of the latest jobs of a pool over which their mean work is taken.
MEAN_WORK_JOBS = 64


class Leader(AdmissionPolicy):
    """Schedules while this coordinator leads the log.

    Orders are sent only while leadership is confirmed, and carry a fencing
    token that rises with the term and with the incarnations of a worker. Starts
    and ends of runs are committed to the log before they take effect on a
    worker.
    """

    def __init__(
        self,
        term: int,
        state: ClusterState,
        registry: WorkerRegistry,
        client: WorkerClient,
        propose: Callable[..., asyncio.Future],
        has_leader_lease: Callable[[], bool],
        retention_seconds: float,
        max_lease_seconds: float,
        advice_client: AdviceClient | None = None,
        options: SchedulerOptions | None = None,
    ):
        """Create the scheduler of a term; `start` starts it.

        Args:
            term: Term number, the upper part of each fencing token.
            state: Replicated state; all entries of earlier terms are applied.
            registry: Registry of worker reports.
            client: Sends orders to workers.
            propose: Proposes commands, and returns a future of their commit.
            has_leader_lease: Returns whether leadership is confirmed.
            retention_seconds: How long the status of ended jobs is kept.
            max_lease_seconds: Longest lease that a worker accepts.
            advice_client: Client of the policy service, or None.
            options: Optional parts that are enabled, or None for none.
        """
        options = options or SchedulerOptions()
        self._state = state
        self._options = options
        # Jobs that are not done, failed or cancelled.
        self._active_jobs: set[JobId] = set()
        # Completion objective of each active job, in Unix seconds.
        self._objective_at: dict[JobId, float] = {}
        # Work of the jobs that arrived lately, by pool.
        self._arrivals = ArrivalRate(
            MEAN_WORK_JOBS if options.anticipates_bursts else 0
        )
        # Active jobs that may have ready tasks because time passes.
        self._timed_jobs: set[JobId] = set()
        self._registry = registry
        self._counts_recent_usage = options.share_half_life_seconds > 0
        self._retention_seconds = retention_seconds + RETENTION_MARGIN_SECONDS
        self._context = TermContext(
            term,
            state,
            client,
            propose,
            has_leader_lease,
            max_lease_seconds,
            options.timeouts,
        )
        self._progress_monitor = ProgressMonitor(self._context)
        self._crash_monitor = CrashMonitor(self._context)
        self._end_committer = RunEndCommitter(
            self._context, self._progress_monitor, self._crash_monitor
        )
        self._disruptions = DisruptionMonitor(
            self._context, self._end_committer.is_ending
        )
        self._advisor = Advisor(self._context, advice_client)
        self._run_orders = RunOrders(
            self._context,
            self._end_committer,
            self._advisor,
            self._disruptions,
        )
        self._lease_renewer = LeaseRenewer(
            self._context,
            self._run_orders,
            self._end_committer,
            self._progress_monitor,
            self._crash_monitor,
            BestEffortThrottle(self._context),
        )
        self._placer = Placer(
            self._context,
            self._run_orders,
            self._progress_monitor,
            self._crash_monitor,
            self._advisor,
            self._disruptions,
            RecentUsage(options.share_half_life_seconds)
            if self._counts_recent_usage
            else None,
            looks_ahead=options.looks_ahead,
        )
        self._admitter = JobAdmitter(
            self._context, self._placer, registry, options.useful_lateness
        )
        self._explainer = JobExplainer(
            self._context, self._placer, self._admitter, self._progress_monitor
        )

    def start(self) -> None:
        """Adopt the runs in the replicated state and start scheduling."""
        _TERMS_LED.add(1)
        _IS_LEADING.set(1)
        logger.info(
            "leading",
            extra={
                "term": self.term,
                "evacuated_zones": sorted(self._state.evacuated_zones),
            },
        )
        now = monotonic_now()
        for job_id, job in self._state.jobs.items():
            self.runs.update(self._state, job_id, Phase.INHERITED, now)
            self._crash_monitor.adopt_job(job_id)
            self._placer.refresh_ready_tasks(job_id)
            self._index_job(job_id, job)
        for known in self._registry.workers.values():
            self.note_report(known)
        self._context.spawn_loop(self._placer.run_next_round, "placement")
        self._context.spawn_loop(self._tick, "tick")
        self._context.spawn_loop(self._do_housekeeping, "housekeeping")

    def stop(self) -> None:
        """Stop scheduling, because another coordinator may lead."""
        _IS_LEADING.set(0)
        logger.info("no longer leading", extra={"term": self.term})
        self._context.stop()

    @property
    def term(self) -> int:
        """Number of the term."""
        return self._context.term_number

    @property
    def anticipates_bursts(self) -> bool:
        """Whether pools are sized by their backlog and by past bursts."""
        return self._options.anticipates_bursts

    def occupancy_ratio(self, pool: PoolId) -> float:
        """Return how long runs occupy workers in relation to estimates."""
        return self._end_committer.occupancy.of(pool)

    @property
    def runs(self) -> RunIndex:
        """Index of the runs that may be in progress."""
        return self._context.runs

    @property
    def sessions(self) -> dict[WorkerId, WorkerSession]:
        """Session with the current incarnation of each worker."""
        return self._context.sessions

    @property
    def disruptions(self) -> DisruptionMonitor:
        """Monitor of the disruption budgets of long-running steps."""
        return self._disruptions

    def note_report(self, known: KnownWorker) -> None:
        """Handle the latest report of a worker."""
        self._lease_renewer.note_report(known)

    def note_left(self, incarnation: Incarnation) -> None:
        """Handle the notice that an incarnation of a worker has left."""
        if self.incarnation_of(incarnation.worker) == incarnation:
            self._lease_renewer.note_departure(
                self.sessions[incarnation.worker]
            )

    def note_applied(self, changed_jobs: set[JobId]) -> None:
        """Handle changes to the state of jobs."""
        now = monotonic_now()
        for job_id in changed_jobs:
            added = self.runs.update(self._state, job_id, Phase.STARTING, now)
            for run in added:
                self._context.spawn(self._run_orders.start(run))
            job = self._state.jobs.get(job_id)
            self._index_job(job_id, job)
            for run in self.runs.runs_of(job_id) if job else ():
                # The job was cancelled or has failed, or another copy of the
                # task finished first.
                if job.status is not JobStatus.ACTIVE or (
                    run.step.is_speculative and job.tasks[run.key].is_done
                ):
                    self._run_orders.request_stop(run)
            if job is None or job.status is not JobStatus.ACTIVE:
                self._progress_monitor.forget_job(job_id)
                self._crash_monitor.forget_job(job_id)
                self._advisor.forget_job(job_id)
            self._placer.refresh_ready_tasks(job_id)
        if changed_jobs:
            self._context.wake.set()

    def decide_admission(
        self, job_id: JobId, spec: JobSpec, queue: Queue, tenant: TeamId
    ) -> Admission:
        """Decide on a new job; see `AdmissionPolicy`."""
        return self._admitter.decide_admission(job_id, spec, queue, tenant)

    def explain_job(self, spec: JobSpec, queue: Queue, tenant: TeamId) -> dict:
        """Explain where a job would go now; see `JobExplainer`."""
        return self._explainer.explain(spec, queue, tenant)

    def count_machines(self, machines: MachineInventory) -> None:
        """Count listed machines toward the capacity that could join a pool."""
        self._admitter.count_machines(machines)

    def _index_job(self, job_id: JobId, job: Job | None) -> None:
        if job is None or job.status is not JobStatus.ACTIVE:
            self._active_jobs.discard(job_id)
            self._objective_at.pop(job_id, None)
            self._timed_jobs.discard(job_id)
            return
        if job_id not in self._active_jobs:
            self._active_jobs.add(job_id)
            self._note_new_job(job)
        if job.spec.repeat_count or any(
            step.is_speculative for step in job.spec.steps
        ):
            self._timed_jobs.add(job_id)

    def _note_new_job(self, job: Job) -> None:
        """Record the objective of a job, and its work if it is recent."""
        queue = job.queue_settings
        if queue is None:
            return
        last = job.spec.occurrences - 1
        self._objective_at[job.id] = objective_at(job, last, queue)
        age = wall_now() - job.accepted_at
        if job.spec.repeat_count or age > ARRIVAL_SECONDS:
            return
        work = _work(job)
        if any(work):
            self._arrivals.add(queue.pool, work, monotonic_now())

    def is_idle(self, worker: WorkerId) -> bool:
        """Return whether a worker has no runs and no proposed starts."""
        return not (
            self.runs.by_worker.get(worker)
            or self._placer.is_proposed_on(worker)
        )

    def is_answering(self, worker: WorkerId) -> bool:
        """Return whether a worker is known and answers."""
        session = self.sessions.get(worker)
        return session is not None and self._context.is_answering(session)

    def is_starting_on(self, worker: WorkerId) -> bool:
        """Return whether a start on a worker is being proposed."""
        return self._placer.is_proposed_on(worker)

    def cordon(self, machine: MachineId, reason: CordonReason) -> None:
        """Exclude a machine from new starts."""
        self._placer.cordon(machine, reason)

    def uncordon(self, machine: MachineId, reason: CordonReason) -> None:
        """Remove a reason for which a machine is excluded from new starts."""
        self._placer.uncordon(machine, reason)

    def incarnation_of(self, worker: WorkerId) -> Incarnation | None:
        """Return the current incarnation of a worker, or None."""
        session = self.sessions.get(worker)
        return session and Incarnation(worker, session.report.born)

    def end_incarnation(
        self, incarnation: Incarnation | None, why: str
    ) -> None:
        """Handle the end of an incarnation through our own machine order."""
        if (
            incarnation is None
            or self.incarnation_of(incarnation.worker) != incarnation
        ):
            return
        self._crash_monitor.note_left(incarnation)
        session = self.sessions[incarnation.worker]
        self._registry.note_left(*incarnation)
        self._lease_renewer.drop_session(session, why)
        self._context.spawn(
            self._end_committer.end_lost_runs_later(session.report)
        )

    def evict(self, machine: Machine, step_key: StepKey) -> None:
        """Stop one task of a step on a machine, to restart it elsewhere."""
        for run in self.runs_on(machine):
            if run.step_key == step_key and self._disruptions.is_serving(run):
                logger.info(
                    "task evicted",
                    extra={
                        "task": run.name,
                        "run": run.number,
                        "worker": run.incarnation.worker,
                        "disrupts": self._disruptions.describe([run]),
                    },
                )
                self._run_orders.request_restart(run)
                return

    def workers_by_machine(self) -> dict[MachineId, set[WorkerId]]:
        """Return the workers that report each machine."""
        workers: dict[MachineId, set[WorkerId]] = {}
        for worker, session in self.sessions.items():
            workers.setdefault(session.report.machine, set()).add(worker)
        return workers

    def workers_on(self, machine: Machine) -> set[WorkerId]:
        """Return the workers on a machine by its list and by their reports.

        The list may still name the worker before the current one.
        """
        workers = self.workers_by_machine().get(machine.id, set())
        return workers | {machine.worker} if machine.worker else workers

    def runs_on(self, machine: Machine) -> list[TrackedRun]:
        """Return the runs on all workers of a machine."""
        return [
            run
            for worker in self.workers_on(machine)
            for run in self.runs.on_worker(worker)
        ]

    def unplaced_count(self, pool: PoolId) -> int:
        """Return the number of ready tasks of a pool without a worker."""
        return sum(
            waiting.count for waiting in self._placer.unplaced.get(pool, ())
        )

    def add_load(self, loads: dict[PoolId, PoolLoad]) -> None:
        """Add running and waiting tasks to the load of each pool.

        Runs in evacuated zones need none of the machines that count.
        """
        evacuated = self._evacuated_workers()
        wall_time = wall_now()
        late_jobs = {
            waiting.job
            for steps in self._placer.unplaced.values()
            for waiting in steps
            if waiting.is_late
        }
        for job_id in self._active_jobs.union(self.runs.jobs):
            job = self._state.jobs[job_id]
            queue = job.queue_settings
            load = loads.get(queue.pool) if queue is not None else None
            if load is None:
                continue
            is_late = job_id in late_jobs or wall_time > self._objective_at.get(
                job_id, math.inf
            )
            for run in self.runs.runs_of(job_id):
                if evacuated and run.incarnation.worker in evacuated:
                    continue
                if run.step.is_long_running:
                    load.lasting = load.lasting.plus(run.step.reserved)
                elif is_late:
                    load.late = load.late.plus(run.step.reserved)
                    continue
                load.running = load.running.plus(run.step.reserved)
            if job_id in self._active_jobs:
                load.hard_minimum = max(load.hard_minimum, _min_workers(job))
                load.soft_minimum = max(load.soft_minimum, load.hard_minimum)
        for pool, steps in self._placer.unplaced.items():
            if pool in loads:
                load = loads[pool]
                for waiting in steps:
                    demand = _demand_at_arrival(waiting.step).times(
                        waiting.count
                    )
                    if waiting.is_late:
                        load.late = load.late.plus(demand)
                        continue
                    load.waiting = load.waiting.plus(demand)
                    if waiting.step.is_long_running:
                        load.waiting_lasting = load.waiting_lasting.plus(demand)
                    else:
                        load.unplaced += waiting.count
        now = monotonic_now()
        for pool, load in loads.items():
            load.arriving = self._arrivals.capacity(pool, now)
            if self.anticipates_bursts:
                self._add_backlog(load)

    def _add_backlog(self, load: PoolLoad) -> None:
        """Add the work that waits, and count the occupancy of workers."""
        ratio = self.occupancy_ratio(load.pool)
        load.arriving = scaled(load.arriving, ratio)
        for waiting in self._placer.unplaced.get(load.pool, ()):
            if waiting.step.is_long_running or waiting.is_late:
                continue
            seconds = ratio * waiting.count * estimated_seconds(waiting.step)
            need = waiting.step.reserved
            work = need.cpu * seconds, need.mem_mb * seconds, need.gpu * seconds
            load.waiting_work = add_work(load.waiting_work, work)

    def _evacuated_workers(self) -> frozenset[WorkerId]:
        zones = self._state.evacuated_zones
        if not zones:
            return frozenset()
        return frozenset(
            worker
            for worker, session in self.sessions.items()
            if session.report.zone in zones
        )

    async def _tick(self) -> None:
        planned_at = monotonic_now() + TICK_SECONDS
        await asyncio.sleep(TICK_SECONDS)
        self._context.note_loop_delay(monotonic_now() - planned_at)
        if not self._context.has_leader_lease():
            return
        now = monotonic_now()
        self._end_committer.end_runs_with_expired_lease(now)
        self._crash_monitor.resolve_open_crashes(now)
        for job_id in list(self._timed_jobs):
            self._placer.refresh_ready_tasks(job_id)
        self._context.wake.set()

    async def _do_housekeeping(self) -> None:
        _VERSION.set(self._state.routing.configuration.version)
        recent_shares = self._placer.recent_shares()
        _EVACUATED_ZONES.set(len(self._state.evacuated_zones))
        for tenant, used in self.runs.used_by_tenant.items():
            _TENANT_CPU.set(used.cpu, {"tenant": tenant})
            if self._counts_recent_usage:
                share = recent_shares.get(tenant, 0.0)
                _TENANT_RECENT_SHARE.set(share, {"tenant": tenant})
        self._progress_monitor.durations.forget_old(monotonic_now())
        if self._context.has_leader_lease():
            self._forget_old_jobs()
        await asyncio.sleep(HOUSEKEEPING_SECONDS)

    def _forget_old_jobs(self) -> None:
        limit = wall_now() - self._retention_seconds
        old = tuple(
            job_id
            for job_id, job in self._state.jobs.items()
            if job.ended_at
            and job.ended_at < limit
            and not self.runs.runs_of(job_id)
        )
        if old or self._state.withdrawn.has_any_before(limit):
            self._context.propose(ForgetJobs(old, limit))


def _work(job: Job) -> Work:
    """Return the work of a job's finite tasks."""
    cpu, mem_mb, gpu = 0.0, 0.0, 0.0
    for step in job.spec.steps:
        if not step.is_long_running:
            seconds = step.count * estimated_seconds(step)
            cpu += step.reserved.cpu * seconds
            mem_mb += step.reserved.mem_mb * seconds
            gpu += step.reserved.gpu * seconds
    return cpu, mem_mb, gpu


def _demand_at_arrival(step: Step) -> Resources:
    """Return the expected demand of a waiting task when a machine arrives."""
    share = min(1.0, estimated_seconds(step) / MACHINE_ARRIVAL_SECONDS)
    if step.is_long_running:
        share = 1.0
    need = step.reserved
    return Resources(
        math.ceil(need.cpu * share), math.ceil(need.mem_mb * share), need.gpu
    )


def _min_workers(job: Job) -> int:
    """Return the least number of workers for a job's long-running tasks."""
    return max(
        (
            -(-step.count // step.max_per_worker)
            for step in job.spec.steps
            if step.is_long_running and step.max_per_worker
        ),
        default=0,
    )
