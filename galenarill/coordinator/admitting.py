"""Decides at the leader which submitted jobs are accepted."""

import abc
import collections
import copy
import logging
from typing import Protocol

from galenarill.admission import (
    Admission,
    DurationBounds,
    PoolBacklog,
    RetrySchedule,
    Submission,
    WaitingTasks,
    decide_admission,
    estimate_bounds,
    surely_precedes_smaller_needs,
)
from galenarill.common import (
    JobId,
    MachineId,
    PoolId,
    TeamId,
    monotonic_now,
    wall_now,
)
from galenarill.coordinator.placing import Placer
from galenarill.coordinator.term import TermContext
from galenarill.jobs import JobSpec
from galenarill.placement import Quota, TaskGroup, TenantUsage
from galenarill.pools import Machine
from galenarill.routing import Queue, Resources
from galenarill.telemetry import meter
from galenarill.workers import WorkerRegistry

__all__ = ["AdmissionPolicy", "JobAdmitter", "MachineInventory"]

logger = logging.getLogger(__name__)

_REJECTED = meter().create_counter("galenarill_jobs_rejected")

# Time at the beginning of a term in which no job is rejected, in seconds. The
# workers' lists and the runs of the last term are known after it.
SETTLING_SECONDS = 3.0
# Shortest time between two readings of what waits, in seconds, and the time
# for each group of tasks and each worker. A reading costs 4 to 9 us for each
# of them, so that all readings together take at most a twentieth of the thread.
READING_SECONDS = 0.1
READING_SECONDS_PER_ENTRY = 0.0002
# Time for which the largest capacity is kept, in seconds. A worker that
# restarts or is moved is back long before.
CAPACITY_SECONDS = 30.0


class AdmissionPolicy(abc.ABC):
    """Decides which new jobs are accepted."""

    @abc.abstractmethod
    def decide_admission(
        self, job_id: JobId, spec: JobSpec, queue: Queue, tenant: TeamId
    ) -> Admission:
        """Decide whether a job that is not known yet is accepted.

        Args:
            job_id: Id of the job.
            spec: Specification.
            queue: Queue.
            tenant: Tenant, or "".
        """


class MachineInventory(Protocol):
    """Machines of the platform, also those that are switched off.

    Attributes:
        machines: Machines as last read, by id.
        read_at: When they were read, or minus infinity if they never were.
    """

    machines: dict[MachineId, Machine]
    read_at: float


class JobAdmitter(AdmissionPolicy):
    """Decides from the tasks that the placer of one term knows.

    What waits is read at most each `READING_SECONDS`, or after a change of the
    configuration, and only when a job is submitted; a decision costs by the
    number of different needs of a tenant's waiting tasks, not by their number.
    """

    def __init__(
        self,
        context: TermContext,
        placer: Placer,
        registry: WorkerRegistry,
        useful_lateness: float,
        bounds: DurationBounds = estimate_bounds,
    ):
        """Create an admitter for the term of `context`.

        Args:
            context: State of the term.
            placer: Knows the waiting tasks.
            registry: Registry of worker reports.
            useful_lateness: Multiple of its objective for which a job is
                useful, or 0 to reject none.
            bounds: Returns bounds of the duration of a step's tasks.
        """
        self._context = context
        self._placer = placer
        self._registry = registry
        self._useful_lateness = useful_lateness
        self._bounds = bounds
        self._schedule = RetrySchedule()
        self._is_dry_run = False
        self._machines: MachineInventory | None = None
        self._read_again_at = float("-inf")
        # Configuration that the limits were read from.
        self._routing = context.state.routing
        self._backlogs: dict[PoolId, PoolBacklog] = {}
        self._usage = TenantUsage({}, {}, Resources())
        self._quotas: dict[TeamId, Quota] = {}
        self._unlimited_tenants: frozenset[TeamId] = frozenset()
        # Capacities of all workers, with the time of each reading.
        self._capacities: collections.deque[tuple[float, Resources]] = (
            collections.deque()
        )

    def count_machines(self, machines: MachineInventory) -> None:
        """Count listed machines toward the capacity that could join a pool."""
        self._machines = machines

    def decide_admission(
        self, job_id: JobId, spec: JobSpec, queue: Queue, tenant: TeamId
    ) -> Admission:
        """Decide on a new job; see `AdmissionPolicy`."""
        now = monotonic_now()
        if (
            not self._useful_lateness
            or now < self._context.began_at + SETTLING_SECONDS
            or not self._context.has_leader_lease()
            or not self._are_machines_known()
        ):
            return Admission()
        routing = self._context.state.routing
        if self._routing is routing and self._schedule.was_just_rejected(
            job_id, now
        ):
            return Admission(retry_after_seconds=1)
        if now >= self._read_again_at or self._routing is not routing:
            self._routing = routing
            self._read(now)
        backlog = self._backlogs.get(queue.pool)
        if backlog is None:
            self._schedule.forget(job_id)
            return Admission()
        quota = self._quotas.get(tenant)
        admission = decide_admission(
            Submission(
                job_id,
                spec,
                queue,
                tenant,
                wall_now(),
                quota.limit if quota is not None else Resources(),
                self._unlimited_tenants,
                self._usage.weighted_share(tenant),
            ),
            backlog,
            self._schedule,
            self._bounds,
            self._useful_lateness,
            now,
        )
        if not admission.is_accepted and not self._is_dry_run:
            self._note_rejection(job_id, queue, tenant, backlog, admission)
        return admission

    def preview_admission(
        self, spec: JobSpec, queue: Queue, tenant: TeamId
    ) -> Admission:
        """Return the decision on an unknown job without recording it."""
        # The copy replaces its attributes by those of its own reading.
        dry_run = copy.copy(self)
        dry_run._is_dry_run = True
        dry_run._schedule = self._schedule.copy()
        dry_run._capacities = self._capacities.copy()
        return dry_run.decide_admission(JobId(""), spec, queue, tenant)

    def _note_rejection(
        self,
        job_id: JobId,
        queue: Queue,
        tenant: TeamId,
        backlog: PoolBacklog,
        admission: Admission,
    ) -> None:
        _REJECTED.add(
            1, {"bound": "tenant" if admission.is_tenant_bound else "pool"}
        )
        logger.info(
            "job rejected",
            extra={
                "job": job_id,
                "queue": queue.name,
                "pool": queue.pool,
                "tenant": tenant,
                "is_tenant_bound": admission.is_tenant_bound,
                "core_seconds_ahead": round(admission.cpu_seconds_ahead, 1),
                "capacity_cpu": admission.capacity.cpu,
                "pool_cpu": backlog.capacity.cpu,
                "wait_seconds": round(admission.wait_seconds, 3),
                "objective_seconds": round(admission.objective_seconds, 3),
                "retry_after": admission.retry_after_seconds,
            },
        )

    def _read(self, now: float) -> None:
        """Read what waits, and the capacities."""
        groups = list(self._placer.waiting_groups)
        entries = len(groups) + len(self._registry.workers)
        period = max(READING_SECONDS, entries * READING_SECONDS_PER_ENTRY)
        self._read_again_at = now + period
        self._usage, self._quotas = self._placer.tenant_usage()
        self._unlimited_tenants = frozenset(
            tenant
            for tenant, quota in self._quotas.items()
            if quota.limit == Resources()
        ) | {TeamId("")}
        max_capacity = self._max_capacity(now)
        capacities: dict[PoolId, Resources] = {}
        for session in self._context.sessions.values():
            report = session.report
            total = capacities.get(report.pool, Resources())
            capacities[report.pool] = total.plus(report.capacity)
        self._backlogs = {}
        for group in groups:
            if not self._is_counted(group):
                continue
            if group.pool not in self._backlogs:
                self._backlogs[group.pool] = PoolBacklog(
                    group.pool,
                    capacities.get(group.pool, Resources()),
                    max_capacity,
                    now,
                )
            self._backlogs[group.pool].add(
                WaitingTasks(
                    group.tenant,
                    group.priority,
                    group.step.need,
                    group.step.label,
                    len(group.keys),
                    self._bounds(group.step)[0],
                    group.objective_at,
                    group.latest_start_at,
                )
            )

    def _is_counted(self, group: TaskGroup) -> bool:
        """Return whether tasks certainly take their time and can't be passed.

        Those that need a trial or advice may have to wait for it, and those
        with a checkpoint may have little left to do. A speculative copy is not
        needed any more once the first run ends.
        """
        job = self._context.state.jobs.get(group.job)
        step = group.step
        may_be_short = step.is_checkpointing or step.is_speculative
        return (
            job is not None
            and not group.is_trial
            and surely_precedes_smaller_needs(step)
            and not (may_be_short and job.has_started)
            and job.queue_settings.advice is None
        )

    def _are_machines_known(self) -> bool:
        """Return whether the machines were read, if the platform lists any."""
        return self._machines is None or self._machines.read_at > float("-inf")

    def _max_capacity(self, now: float) -> Resources:
        """Return the largest capacity of late that could join one pool."""
        machines = self._machines.machines if self._machines else {}
        listed_workers = {machine.worker for machine in machines.values()}
        reports = [known.report for known in self._registry.workers.values()]
        workers = _total(report.capacity for report in reports)
        # Workers need not run on a machine of the platform.
        listed = _total(machine.capacity for machine in machines.values())
        unlisted = _total(
            report.capacity
            for report in reports
            if report.machine not in machines
            and report.worker not in listed_workers
        )
        capacity = _larger(workers, listed.plus(unlisted))
        self._capacities.append((now, capacity))
        while self._capacities[0][0] < now - CAPACITY_SECONDS:
            self._capacities.popleft()
        largest = Resources()
        for _, capacity in self._capacities:
            largest = _larger(largest, capacity)
        return largest


def _total(capacities) -> Resources:
    total = Resources()
    for capacity in capacities:
        total = total.plus(capacity)
    return total


def _larger(one: Resources, other: Resources) -> Resources:
    """Return the larger amount of each resource."""
    return Resources(
        max(one.cpu, other.cpu),
        max(one.mem_mb, other.mem_mb),
        max(one.gpu, other.gpu),
    )
