"""The leader's index of the runs in the replicated state."""

import dataclasses
import enum

from galenarill.common import JobId, MachineId, TeamId, WorkerId
from galenarill.jobs import (
    Blame,
    ClusterState,
    Incarnation,
    Job,
    JobStatus,
    Step,
    TaskKey,
    task_name,
)
from galenarill.routing import Resources
from galenarill.workers import RunningRow, RunProgress

__all__ = [
    "NO_MACHINE",
    "UNKNOWN_START",
    "Phase",
    "TrackedRun",
    "RunIndex",
    "ready_tasks",
]

# Machine of a worker that is not known.
NO_MACHINE = MachineId("")
# Time of a start order that an earlier leader may have sent at any time.
UNKNOWN_START = float("-inf")


class Phase(enum.Enum):
    """Phase of a run as the leader sees it."""

    # Committed by an earlier leader; the worker has not answered yet.
    INHERITED = "inherited"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    # The worker confirmed the stop.
    STOPPED = "stopped"


@dataclasses.dataclass(slots=True)
class TrackedRun:
    """The part of one member in a run.

    Attributes:
        job: Id of the job.
        key: Key of the task or gang.
        number: Number of the run.
        member: Number of the member.
        incarnation: Incarnation of the worker that it is assigned to.
        name: Name of the task on the worker.
        step: Step of the job that the task belongs to.
        tenant: Tenant, or "".
        phase: Current phase.
        phase_since: When the phase was entered, on the monotonic clock.
        row: Latest row of the run in the worker's list, or None.
        row_requested_at: When that list was requested, on the monotonic clock.
        has_unanswered_start: Whether a start order got no answer, so that the
            worker may still carry it out.
        is_start_awaited: Whether the answer to a start order is awaited.
        ordered_at: When it was ordered, or adopted from an earlier leader, on
            the monotonic clock.
        progress: Measured progress, or None before the first reading.
        is_slow: Whether it is a straggler compared with its siblings.
        next_comparison_at: When it is compared with them next, on the monotonic
            clock.
        covers_whole_task: Whether the time since `phase_since` is the task's
            whole duration: its start was acknowledged, at the first try
            and without a checkpoint.
        speed_percent: Last speed set, in percent of full speed.
        is_confirmed: Whether its incarnation itself has listed it.
        is_start_acknowledged: Whether a start order was acknowledged. The
            answer doesn't name the incarnation that it comes from.
        is_displaced: Whether its worker has restarted, and the later
            incarnation may have received its start order.
        start_sent_at: When its start order was first sent, on the monotonic
            clock, or None. `UNKNOWN_START` for a run of an earlier leader.
        seen_from_ms: First reading of its worker's clock that shows it as
            started, or None.
        survived_ms: Time from its start for which its worker is known to have
            worked, in milliseconds on the worker's clock.
        silent_since: When the first renewal since its worker's last answer
            failed, on the monotonic clock, or None. Outlives the session.
        lost_within_ms: Time from its start by which its worker was silent, in
            milliseconds, once the worker is lost.
        blame: Whether it may have crashed the worker that it was lost with.
        machine: Machine of its worker, or "" if unknown. Outlives the session.
        ends_at: Expected end on the monotonic clock, or None if neither a
            reading nor an estimate has been used yet.
        is_sole_suspect: Whether it was on probation, none of another job was,
            and it is known to have started.
    """

    job: JobId
    key: TaskKey
    number: int
    member: int
    incarnation: Incarnation
    name: str
    step: Step
    tenant: TeamId
    phase: Phase
    phase_since: float
    row: RunningRow | None = None
    row_requested_at: float = float("-inf")
    has_unanswered_start: bool = False
    is_start_awaited: bool = False
    ordered_at: float = 0.0
    progress: RunProgress | None = None
    is_slow: bool = False
    next_comparison_at: float = float("-inf")
    covers_whole_task: bool = False
    speed_percent: int = 100
    is_confirmed: bool = False
    is_start_acknowledged: bool = False
    is_displaced: bool = False
    start_sent_at: float | None = None
    seen_from_ms: float | None = None
    survived_ms: float = 0.0
    silent_since: float | None = None
    lost_within_ms: float = 0.0
    blame: Blame = Blame.NONE
    machine: MachineId = NO_MACHINE
    is_sole_suspect: bool = False
    ends_at: float | None = None

    @property
    def step_key(self) -> tuple[JobId, int, int]:
        """Job, occurrence and number of its step."""
        return self.job, self.key.occurrence, self.key.step

    @property
    def is_starting(self) -> bool:
        """Whether its worker may still be about to start it."""
        return self.phase in (Phase.STARTING, Phase.INHERITED) or (
            self.phase is not Phase.RUNNING
            and (self.has_unanswered_start or self.is_start_awaited)
        )

    @property
    def is_start_known(self) -> bool:
        """Whether this leader sent its start order."""
        return self.start_sent_at not in (None, UNKNOWN_START)

    def note_alive(self, clock_ms: float) -> None:
        """Record that its worker's clock shows it as started."""
        if self.seen_from_ms is None:
            self.seen_from_ms = clock_ms
        self.survived_ms = max(self.survived_ms, clock_ms - self.seen_from_ms)


class RunIndex:
    """Runs of all jobs by worker and by name, with the resources in use."""

    def __init__(self):
        """Create an empty index."""
        self.by_worker: dict[WorkerId, dict[tuple, TrackedRun]] = {}
        self.by_name: dict[tuple[str, int], TrackedRun] = {}
        self._by_job: dict[JobId, dict[tuple, TrackedRun]] = {}
        self.reserved_by_worker: dict[WorkerId, Resources] = {}
        self.used_by_tenant: dict[TeamId, Resources] = {}
        # The part of it that long-running tasks have.
        self.long_running_by_tenant: dict[TeamId, Resources] = {}
        # Runs that were starting when last looked at.
        self._starting: dict[tuple[str, int], TrackedRun] = {}
        # Expected end of the last run on each worker. An entry is dropped when
        # a run is added, removed or read.
        self.idle_at_by_worker: dict[WorkerId, float] = {}

    @property
    def jobs(self) -> list[JobId]:
        """Jobs with runs."""
        return list(self._by_job)

    def runs_of(self, job: JobId) -> list[TrackedRun]:
        """Return the runs of a job."""
        return list(self._by_job.get(job, {}).values())

    def on_worker(self, worker: WorkerId) -> list[TrackedRun]:
        """Return the runs on all incarnations of a worker."""
        return list(self.by_worker.get(worker, {}).values())

    def starting_runs(self) -> list[TrackedRun]:
        """Return the runs that are starting."""
        return [run for run in self._starting.values() if run.is_starting]

    def note_starting(self, run: TrackedRun) -> None:
        """Record that a run is to be started, or may start anew."""
        self._starting[run.name, run.number] = run

    def drop_started(self) -> None:
        """Drop the record of runs that are not starting any more."""
        self._starting = {
            name: run for name, run in self._starting.items() if run.is_starting
        }

    def update(
        self, state: ClusterState, job_id: JobId, phase: Phase, now: float
    ) -> list[TrackedRun]:
        """Update the index after a change to a job.

        Args:
            state: Replicated state.
            job_id: Id of the job.
            phase: Initial phase of new runs.
            now: Time on the monotonic clock.

        Returns:
            The new runs.
        """
        job = state.jobs.get(job_id)
        known = self._by_job.setdefault(job_id, {})
        current = _run_members(job) if job is not None else {}
        added = []
        for member_id, run in list(known.items()):
            if member_id not in current:
                del known[member_id]
                self._remove(run)
            elif run.tenant != job.tenant:
                self._change_tenant(run, job.tenant)
        for member_id, incarnation in current.items():
            if member_id not in known:
                key, number, member = member_id
                run = TrackedRun(
                    job_id,
                    key,
                    number,
                    member,
                    incarnation,
                    task_name(job_id, key, member),
                    job.spec.steps[key.step],
                    job.tenant,
                    phase,
                    now,
                    ordered_at=now,
                    start_sent_at=(
                        UNKNOWN_START if phase is Phase.INHERITED else None
                    ),
                )
                known[member_id] = run
                self._add(run)
                added.append(run)
        if not known:
            self._by_job.pop(job_id, None)
        return added

    def _add(self, run: TrackedRun) -> None:
        worker = run.incarnation.worker
        self.by_worker.setdefault(worker, {})[(run.name, run.number)] = run
        self.by_name[(run.name, run.number)] = run
        self.idle_at_by_worker.pop(worker, None)
        self.reserved_by_worker[worker] = self.reserved_by_worker.get(
            worker, Resources()
        ).plus(run.step.reserved)
        self._add_usage(run)
        self.note_starting(run)

    def _add_usage(self, run: TrackedRun) -> None:
        for usage in self._usages(run):
            used = usage.get(run.tenant, Resources())
            usage[run.tenant] = used.plus(run.step.need)

    def _remove_usage(self, run: TrackedRun) -> None:
        for usage in self._usages(run):
            usage[run.tenant] = usage[run.tenant].minus(run.step.need)

    def _usages(self, run: TrackedRun) -> list[dict[TeamId, Resources]]:
        """Return the usages by tenant that a run is part of."""
        if run.step.is_long_running:
            return [self.used_by_tenant, self.long_running_by_tenant]
        return [self.used_by_tenant]

    def _change_tenant(self, run: TrackedRun, tenant: TeamId) -> None:
        self._remove_usage(run)
        run.tenant = tenant
        self._add_usage(run)

    def _remove(self, run: TrackedRun) -> None:
        worker = run.incarnation.worker
        del self.by_worker[worker][(run.name, run.number)]
        del self.by_name[(run.name, run.number)]
        self._starting.pop((run.name, run.number), None)
        self.idle_at_by_worker.pop(worker, None)
        self.reserved_by_worker[worker] = self.reserved_by_worker[worker].minus(
            run.step.reserved
        )
        self._remove_usage(run)


def _run_members(job: Job) -> dict[tuple, Incarnation]:
    return {
        (key, run.number, member): incarnation
        for key, task in job.tasks.items()
        for run in task.runs
        for member, incarnation in run.members.items()
    }


def ready_tasks(job: Job, wall_time: float) -> list[TaskKey]:
    """Return the unfinished tasks of a job that are due and have no run.

    Args:
        job: Job.
        wall_time: Current time in Unix seconds.
    """
    if job.status is not JobStatus.ACTIVE:
        return []
    ready = []
    for occurrence in range(job.spec.occurrences):
        if job.spec.due_at(occurrence) > wall_time:
            break
        for step in range(len(job.spec.steps)):
            if job.is_step_done(occurrence, step):
                continue
            if not job.is_step_ready(occurrence, step):
                continue
            for key in job.task_keys(occurrence, step):
                task = job.tasks.get(key)
                if task is None or not (task.is_done or task.runs):
                    ready.append(key)
    return ready
