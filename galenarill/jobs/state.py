"""The replicated state machine of configuration, jobs, waves and machines."""

import cbor2
import msgspec

from galenarill.common import (
    AvailabilityZoneId,
    JobId,
    MachineId,
    PoolId,
    TeamId,
    WorkerId,
)
from galenarill.jobs import commands as cmd
from galenarill.jobs.model import (
    GANG,
    Blame,
    Crash,
    Incarnation,
    Job,
    JobStatus,
    Run,
    RunOutcome,
    Task,
    TaskKey,
    make_job,
)
from galenarill.jobs.withdrawals import WithdrawnJobs
from galenarill.routing import Configuration, RoutingTable, Tenant

__all__ = ["ClusterState", "MachineOrder", "Wave", "ZoneEvacuation"]

# Number of restored zones that are remembered, the latest ones. A platform has
# a few zones; the bound is against reports that invent names.
MAX_RESTORED_ZONES = 64


class Wave(msgspec.Struct, array_like=True):
    """A maintenance wave.

    Attributes:
        machines: Machines to maintain.
        max_machines_down: Maximum number of machines down at a time.
        deadline_at: Time by which the wave should be completed, Unix seconds.
        ordered: Time of the maintenance order by machine, Unix seconds.
        finished: Machines that were maintained or have been removed.
    """

    machines: tuple[MachineId, ...]
    max_machines_down: int
    deadline_at: float
    ordered: dict[MachineId, float] = {}
    finished: set[MachineId] = set()

    @property
    def is_completed(self) -> bool:
        """Whether every machine was maintained or has been removed."""
        return self.finished.issuperset(self.machines)


class MachineOrder(msgspec.Struct, array_like=True, frozen=True):
    """The latest order on a machine.

    Attributes:
        holder: Coordinator that gave the order.
        at: Time of the order, Unix seconds.
        pool: Destination of a move, or None for maintenance.
    """

    holder: str
    at: float
    pool: PoolId | None = None


class ZoneEvacuation(msgspec.Struct, array_like=True, frozen=True):
    """An evacuation of a zone that is in force.

    Attributes:
        at: Time of the order, Unix seconds.
        index: Index of its log entry.
    """

    at: float
    index: int


class _Snapshot(msgspec.Struct, array_like=True):
    """Content of a snapshot."""

    version: int = 0
    configuration: Configuration = Configuration(0)
    jobs: list[Job] = []
    draining: dict[WorkerId, int] = {}
    waves: dict[int, Wave] = {}
    orders: dict[MachineId, MachineOrder] = {}
    removed_tenants: list[Tenant] = []
    evacuated_zones: dict[AvailabilityZoneId, ZoneEvacuation] = {}
    restored_zones: dict[AvailabilityZoneId, float] = {}
    withdrawn: dict[tuple[str, str], dict[TeamId, dict[JobId, float]]] = {}


class ClusterState:
    """State machine that every coordinator builds by applying the log.

    Applying is deterministic: it reads no clock, all times are part of the
    commands.
    """

    def __init__(self):
        """Initialize an empty state."""
        self._restore_snapshot(_Snapshot())

    @property
    def version(self) -> int:
        """Index of the last applied log entry."""
        return self._version

    @property
    def routing(self) -> RoutingTable:
        """The configuration in force."""
        return self._routing

    def encode(self) -> bytes:
        """Encode the state for a snapshot."""
        snapshot = _Snapshot(
            self._version,
            self._routing.configuration,
            list(self.jobs.values()),
            self.draining,
            self.waves,
            self.orders,
            self.removed_tenants,
            self.evacuated_zones,
            self.restored_zones,
            self.withdrawn.times,
        )
        return cbor2.dumps(
            msgspec.to_builtins(
                snapshot, builtin_types=(bytes,), str_keys=False
            )
        )

    def restore(self, data: bytes, index: int) -> None:
        """Replace the state with the one of a snapshot.

        Args:
            data: Encoded snapshot, or empty for the empty state.
            index: Index of the last log entry that the snapshot covers.
        """
        snapshot = _Snapshot()
        if data:
            snapshot = msgspec.convert(
                _hashable_keys(cbor2.loads(data)),
                _Snapshot,
                builtin_types=(bytes,),
            )
        self._restore_snapshot(snapshot)
        self._version = index

    def apply(self, index: int, commands: list[msgspec.Struct]) -> set[JobId]:
        """Apply the commands of one log entry.

        Args:
            index: Index of the entry.
            commands: Commands of the entry; may be empty.

        Returns:
            Ids of the jobs that may have changed.
        """
        self._version = index
        changed_jobs: set[JobId] = set()
        for command in commands:
            match command:
                case cmd.Configure():
                    changed_jobs |= self._configure(command.configuration)
                case cmd.AcceptJob():
                    self._accept(command)
                    changed_jobs.add(command.job)
                case cmd.CancelJob():
                    if self._cancel(command):
                        changed_jobs.add(command.job)
                case cmd.StartRun():
                    self._start_run(command)
                    changed_jobs.add(command.job)
                case cmd.EndRun():
                    self._end_run(command)
                    changed_jobs.add(command.job)
                case cmd.ForgetJobs():
                    for job in command.jobs:
                        self.jobs.pop(job, None)
                        changed_jobs.add(job)
                    self.withdrawn.forget_before(command.withdrawn_before)
                case cmd.DrainWorker():
                    self._drain(command)
                case cmd.StartWave():
                    self.waves.setdefault(
                        command.wave,
                        Wave(
                            command.machines,
                            command.max_machines_down,
                            command.deadline_at,
                            {},
                            set(),
                        ),
                    )
                case cmd.OrderMaintenance():
                    self._order_maintenance(command)
                case cmd.FinishMaintenance():
                    if command.wave in self.waves:
                        wave = self.waves[command.wave]
                        wave.finished.add(command.machine)
                case cmd.MoveMachine():
                    self._record_order(command, command.pool)
                case cmd.EvacuateZone():
                    self.restored_zones.pop(command.zone, None)
                    self.evacuated_zones.setdefault(
                        command.zone, ZoneEvacuation(command.at, index)
                    )
                case cmd.RestoreZone():
                    self._restore_zone(command)
        return changed_jobs

    def _restore_snapshot(self, snapshot: _Snapshot) -> None:
        self._version = snapshot.version
        self._routing = RoutingTable(snapshot.configuration)
        self.jobs: dict[JobId, Job] = {job.id: job for job in snapshot.jobs}
        for job in self.jobs.values():
            # Snapshots of earlier releases hold only the name.
            if job.queue_settings is None:
                job.queue_settings = self._routing.queue(job.queue)
        self.draining = snapshot.draining
        self.waves = snapshot.waves
        # Latest order by machine.
        self.orders = snapshot.orders
        # Last settings of the tenants that only jobs refer to.
        self.removed_tenants = snapshot.removed_tenants
        # Zones in which no run may start.
        self.evacuated_zones = snapshot.evacuated_zones
        # When each zone was restored, Unix seconds, the latest last. An order
        # for such a zone is known as valid if its workers are gone.
        self.restored_zones = snapshot.restored_zones
        # Ids that were cancelled before a job with them was accepted.
        self.withdrawn = WithdrawnJobs(snapshot.withdrawn)

    def _restore_zone(self, command: cmd.RestoreZone) -> None:
        self.evacuated_zones.pop(command.zone, None)
        self.restored_zones.setdefault(command.zone, command.at)
        while len(self.restored_zones) > MAX_RESTORED_ZONES:
            del self.restored_zones[next(iter(self.restored_zones))]

    def _drain(self, command: cmd.DrainWorker) -> None:
        born = self.draining.get(command.worker, command.born)
        self.draining[command.worker] = max(born, command.born)

    def _order_maintenance(self, command: cmd.OrderMaintenance) -> None:
        # An error here would end every coordinator that applies the entry.
        if command.wave in self.waves:
            self.waves[command.wave].ordered[command.machine] = command.at
        self._record_order(command)

    def _record_order(
        self,
        command: cmd.OrderMaintenance | cmd.MoveMachine,
        pool: PoolId | None = None,
    ) -> None:
        self.orders[command.machine] = MachineOrder(
            command.holder, command.at, pool
        )

    def _configure(self, configuration: Configuration) -> set[JobId]:
        """Apply a configuration; return the jobs whose tenant has changed."""
        earlier = self._routing.configuration
        if configuration.version <= earlier.version:
            return set()
        self._routing = RoutingTable(configuration)
        tenants = (*self.removed_tenants, *earlier.tenants)
        renamed = self._routing.renamed_tenants(tenants)
        changed_jobs = set()
        for job in self.jobs.values():
            self._update_queue(job)
            if job.tenant in renamed:
                job.tenant = renamed[job.tenant]
                changed_jobs.add(job.id)
        self.withdrawn.rename_tenants(renamed)
        in_use = {job.tenant for job in self.jobs.values()}
        in_use |= self.withdrawn.tenants
        self.removed_tenants = [
            tenant
            for tenant in tenants
            if tenant.name in in_use
            and self._routing.tenant(tenant.name) is None
        ]
        return changed_jobs

    def _update_queue(self, job: Job) -> None:
        """Take a job's queue from the configuration, if it is still there.

        An accepted job outlives its queue, with the queue's last settings.
        """
        if job.queue_settings is None:
            queue = self._routing.queue(job.queue)
        else:
            queue = self._routing.successor_of(job.queue_settings)
        if queue is not None:
            job.queue, job.queue_settings = queue.name, queue

    def _accept(self, command: cmd.AcceptJob) -> None:
        if command.job in self.jobs:
            return
        queue = command.queue_settings
        if queue is not None and self.withdrawn.covers(
            command.job, queue.path, command.tenant
        ):
            return
        job = make_job(
            command.job,
            command.queue,
            command.tenant,
            command.spec,
            command.at,
            command.queue_settings,
        )
        self._update_queue(job)
        self.jobs[command.job] = job

    def is_visible(
        self, job: Job, path: tuple[str, str], tenant: TeamId
    ) -> bool:
        """Return whether a job belongs to a caller's queue and tenant.

        A caller without a key may see all jobs of a queue that allows it. The
        job of a removed queue may be reached through another with a key only.

        Args:
            job: Job.
            path: Host and prefix of the caller's queue.
            tenant: Tenant of the caller, or "".
        """
        if job.tenant and tenant and job.tenant != tenant:
            return False
        own = job.queue_settings
        if own is not None and self.routing.queue(own.name) == own:
            return own.path == path
        return bool(tenant) or not job.tenant

    def _cancel(self, command: cmd.CancelJob) -> bool:
        """Apply a cancellation; return whether it may have changed a job."""
        job = self.jobs.get(command.job)
        path, tenant = command.path, command.tenant
        if path is not None and (
            job is None or not self.is_visible(job, path, tenant)
        ):
            self.withdrawn.add(command.job, path, tenant, command.at)
            return False
        if job is not None and job.status is JobStatus.ACTIVE:
            job.status = JobStatus.CANCELLED
            job.ended_at = command.at
        return job is not None

    def _start_run(self, command: cmd.StartRun) -> None:
        job = self.jobs.get(command.job)
        if job is None or job.status is not JobStatus.ACTIVE:
            return
        key = TaskKey(command.occurrence, command.step, command.index)
        task = job.tasks.setdefault(key, Task(runs=[], crashes=[]))
        if command.run <= task.last_run or task.is_done:
            return
        task.last_run = command.run
        members = {
            member: Incarnation(worker, born)
            for member, worker, born in command.members
        }
        task.runs.append(Run(command.run, members))
        job.has_started = True

    def _end_run(self, command: cmd.EndRun) -> None:
        job = self.jobs.get(command.job)
        key = TaskKey(command.occurrence, command.step, command.index)
        task = job.tasks.get(key) if job is not None else None
        run = task and next(
            (run for run in task.runs if run.number == command.run), None
        )
        if run is None or command.member not in run.members:
            if task:
                self._revise_crash(job, task, command)
            return
        incarnation = run.members.pop(command.member)
        if not run.members:
            task.runs.remove(run)
        if command.checkpoint:
            task.checkpoint = command.checkpoint
        how = RunOutcome(command.how)
        if how is RunOutcome.DONE:
            self._record_completion(job, key, task, command.at)
        elif how is RunOutcome.FAILED and task.failed_run < command.run:
            task.failed_run = command.run
            task.failures += 1
            self._record_failure(job, key, task, command.at)
        elif how is RunOutcome.LOST and command.blame is not Blame.NONE:
            task.crashes.append(
                Crash(
                    command.run,
                    command.member,
                    incarnation,
                    command.survived_ms,
                    command.lost_within_ms,
                    command.is_sole,
                    command.blame is Blame.CONFIRMED,
                    command.machine,
                )
            )
            self._fail_crashing_job(job, task, command.at)

    def _revise_crash(self, job: Job, task: Task, command: cmd.EndRun) -> None:
        """Confirm or withdraw the blame for a crash."""
        for position, crash in enumerate(task.crashes):
            if (crash.run, crash.member) != (command.run, command.member):
                continue
            if command.blame is Blame.NONE:
                del task.crashes[position]
            elif command.blame is Blame.CONFIRMED:
                task.crashes[position] = msgspec.structs.replace(
                    crash, is_confirmed=True
                )
                self._fail_crashing_job(job, task, command.at)
            return

    def _fail_crashing_job(self, job: Job, task: Task, at: float) -> None:
        if (
            task.crashes_workers
            and not task.is_done
            and job.status is JobStatus.ACTIVE
        ):
            job.status = JobStatus.FAILED
            job.ended_at = at

    def _record_completion(
        self, job: Job, key: TaskKey, task: Task, at: float
    ) -> None:
        step = job.spec.steps[key.step]
        if task.is_done or step.is_long_running:
            return
        task.is_done = True
        step_key = (key.occurrence, key.step)
        count = step.count if key.index == GANG else 1
        job.done[step_key] = job.done.get(step_key, 0) + count
        if job.status is JobStatus.ACTIVE and all(
            job.is_occurrence_done(occurrence)
            for occurrence in range(job.spec.occurrences)
        ):
            job.status = JobStatus.COMPLETED
            job.ended_at = at

    def _record_failure(
        self, job: Job, key: TaskKey, task: Task, at: float
    ) -> None:
        queue = job.queue_settings
        if (
            job.spec.steps[key.step].is_long_running
            or queue is None
            or task.is_done
        ):
            return
        if (
            task.failures >= queue.max_attempts
            and job.status is JobStatus.ACTIVE
        ):
            job.status = JobStatus.FAILED
            job.ended_at = at


def _hashable_keys(value):
    """Return `value` with list keys of maps converted to tuples.

    CBOR has arrays only, and keys of a dict have to be hashable.
    """
    if isinstance(value, dict):
        return {
            tuple(key) if isinstance(key, list) else key: _hashable_keys(item)
            for key, item in value.items()
        }
    if isinstance(value, list):
        return [_hashable_keys(item) for item in value]
    return value
