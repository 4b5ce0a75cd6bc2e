"""Index over the runs that the state holds, for the leader."""

import dataclasses
import enum

from galenarill.jobs import (
    ClusterState,
    Incarnation,
    Job,
    JobStatus,
    Step,
    TaskKey,
    task_name,
)
from galenarill.routing import Resources
from galenarill.workers import Progress, RunningRow
from galenarill.world import JobId, TeamId, WorkerId

__all__ = ["Phase", "TrackedRun", "RunIndex", "ready_tasks"]


class Phase(enum.Enum):
    """What the leader knows of a run."""

    # Noted by an earlier leader; the worker has not been asked yet.
    INHERITED = "inherited"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    # The worker has carried out the stop.
    STOPPED = "stopped"


@dataclasses.dataclass(slots=True)
class TrackedRun:
    """One member's part in a run.

    Attributes:
        job: Job.
        key: Task, or gang.
        number: Number of the run.
        member: Member.
        incarnation: Life of the worker that it was given to.
        name: Name of the task on the worker.
        step: Its step.
        tenant: Tenant, or "".
        phase: What is known of it.
        phase_since: When that became known, on the steady clock.
        row: Latest row in the worker's list, or None.
        has_unanswered_start: Whether an order to start it got no answer.
        ordered_at: When it was ordered, on the steady clock.
        progress: How it advances, or None before the first reading.
        is_slow: Whether it takes much longer than its like elsewhere.
        covers_whole_task: Whether the time since `phase_since` is the task's
            whole duration: its start was acknowledged, at the first try
            and without a checkpoint.
        pace_percent: Share of full speed that it was last set to.
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
    has_unanswered_start: bool = False
    ordered_at: float = 0.0
    progress: Progress | None = None
    is_slow: bool = False
    covers_whole_task: bool = False
    pace_percent: int = 100


class RunIndex:
    """The runs of all jobs, by worker, by tenant and by name."""

    def __init__(self):
        """Make an empty index."""
        self.by_worker: dict[WorkerId, dict[tuple, TrackedRun]] = {}
        self.by_name: dict[tuple[str, int], TrackedRun] = {}
        self._by_job: dict[JobId, dict[tuple, TrackedRun]] = {}
        self.reserved_by_worker: dict[WorkerId, Resources] = {}
        self.used_by_tenant: dict[TeamId, Resources] = {}

    def runs_of(self, job: JobId) -> list[TrackedRun]:
        """Return the runs of a job."""
        return list(self._by_job.get(job, {}).values())

    def on_worker(self, worker: WorkerId) -> list[TrackedRun]:
        """Return the runs on a worker, in whatever life."""
        return list(self.by_worker.get(worker, {}).values())

    def update(
        self, state: ClusterState, job_id: JobId, phase: Phase, now: float
    ) -> list[TrackedRun]:
        """Take in what has changed in a job.

        Args:
            state: Replicated state.
            job_id: Job.
            phase: Phase of runs that are new.
            now: Time on the steady clock.

        Returns:
            Runs that are new.
        """
        job = state.jobs.get(job_id)
        known = self._by_job.get(job_id, {})
        current = _run_members(job) if job is not None else {}
        added = []
        for member_id, run in list(known.items()):
            if member_id not in current:
                del known[member_id]
                self._remove(run)
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
                )
                self._by_job.setdefault(job_id, {})[member_id] = run
                self._add(run)
                added.append(run)
        if not self._by_job.get(job_id):
            self._by_job.pop(job_id, None)
        return added

    def _add(self, run: TrackedRun) -> None:
        worker = run.incarnation.worker
        self.by_worker.setdefault(worker, {})[(run.name, run.number)] = run
        self.by_name[(run.name, run.number)] = run
        self.reserved_by_worker[worker] = self.reserved_by_worker.get(
            worker, Resources()
        ).plus(run.step.reserved)
        self.used_by_tenant[run.tenant] = self.used_by_tenant.get(
            run.tenant, Resources()
        ).plus(run.step.need)

    def _remove(self, run: TrackedRun) -> None:
        worker = run.incarnation.worker
        del self.by_worker[worker][(run.name, run.number)]
        del self.by_name[(run.name, run.number)]
        self.reserved_by_worker[worker] = self.reserved_by_worker[worker].minus(
            run.step.reserved
        )
        self.used_by_tenant[run.tenant] = self.used_by_tenant[run.tenant].minus(
            run.step.need
        )


def _run_members(job: Job) -> dict[tuple, Incarnation]:
    return {
        (key, run.number, member): incarnation
        for key, task in job.tasks.items()
        for run in task.runs
        for member, incarnation in run.members.items()
    }


def ready_tasks(job: Job, wall_time: float) -> list[TaskKey]:
    """Return the tasks of a job that should run and have no run.

    Args:
        job: Job.
        wall_time: Unix seconds.
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
            if not job.is_step_open(occurrence, step):
                continue
            for key in job.task_keys(occurrence, step):
                task = job.tasks.get(key)
                if task is None or not (task.is_done or task.runs):
                    ready.append(key)
    return ready
