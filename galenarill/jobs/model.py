"""Jobs, steps, tasks and runs."""

import enum
from typing import NamedTuple

import msgspec

from galenarill.common import JobId, MachineId, QueueId, TeamId, WorkerId
from galenarill.routing import Queue, Resources

__all__ = [
    "GANG",
    "PROBATION_MS",
    "MAX_SUSPECT_MS",
    "Step",
    "JobSpec",
    "JobStatus",
    "TaskKey",
    "Incarnation",
    "Run",
    "Task",
    "Job",
    "RunOutcome",
    "Blame",
    "Crash",
    "make_job",
    "task_name",
    "split_task_name",
]

# Time that a task has to run on a worker before a crash of that worker is
# unlikely to be its doing, in milliseconds.
PROBATION_MS = 500.0
# Time after which a run is not suspected of a crash, and its task no longer of
# earlier ones, in milliseconds.
MAX_SUSPECT_MS = 5_000.0
# A job fails when this many workers have crashed under one of its tasks. The
# contract allows two more starts after three crashes.
MAX_CRASHES = 4
# The same for crashes within `PROMPT_CRASH_MS` of the start for which no other
# job is suspect. These are rarely a coincidence.
MAX_PROMPT_CRASHES = 2
PROMPT_CRASH_MS = 250.0

# Index in the key of the single task that represents a whole gang.
GANG = -1


class Step(msgspec.Struct, frozen=True, array_like=True):
    """One step of a job.

    Attributes:
        count: Number of tasks.
        need: Resources of one task.
        estimate_ms: Estimated duration of a task, or 0 if unknown.
        depends_on: Earlier steps that must be completed first.
        is_checkpointing: Whether tasks can resume from a checkpoint.
        is_gang: Whether the tasks can only run together (gang scheduling).
        wants_same_rack: Whether the tasks are slower on several racks.
        label: Label that the worker must have, or "".
        data_rack: Rack of the input data, or ""; tasks are slower elsewhere.
        max_per_worker: Maximum number of tasks on one worker, or 0 for any.
        is_speculative: Whether a second copy of a task may run in parallel
            (speculative execution).
        is_long_running: Whether tasks run until the job is cancelled
            (long-running).
        image: Image that the tasks run, or "".
        target_ms: Upper bound of the tail latency, or 0.
        is_best_effort: Whether tasks are best-effort: they reserve memory and
            GPUs on a worker, but no CPU.
        max_unavailable: Maximum number of tasks that the scheduler may make
            unavailable at a time (disruption budget).
    """

    count: int
    need: Resources
    estimate_ms: float = 0.0
    depends_on: tuple[int, ...] = ()
    is_checkpointing: bool = False
    is_gang: bool = False
    wants_same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    image: str = ""
    target_ms: float = 0.0
    is_best_effort: bool = False
    max_unavailable: int = 0

    @property
    def reserved(self) -> Resources:
        """Capacity that one task reserves on a worker."""
        if self.is_best_effort:
            return Resources(0, self.need.mem_mb, self.need.gpu)
        return self.need


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """Specification of a job, as submitted by a caller.

    Attributes:
        payload: Opaque text that is passed to each task.
        steps: Steps in order; a step depends only on earlier ones.
        repeat_count: Number of occurrences, or 0 for a job that runs once.
        first_due_at: Due time of the first occurrence, Unix seconds.
        interval_s: Time between occurrences in seconds.
    """

    payload: str
    steps: tuple[Step, ...]
    repeat_count: int = 0
    first_due_at: float = 0.0
    interval_s: float = 0.0

    @property
    def occurrences(self) -> int:
        """Number of times that the steps are executed."""
        return max(1, self.repeat_count)

    def due_at(self, occurrence: int) -> float:
        """Return the due time of an occurrence, or 0 for a job that runs once.

        The time is in Unix seconds.
        """
        if not self.repeat_count:
            return 0.0
        return self.first_due_at + occurrence * self.interval_s


class JobStatus(enum.IntEnum):
    """State in the lifecycle of a job."""

    ACTIVE = 0
    COMPLETED = 1
    FAILED = 2
    CANCELLED = 3


class RunOutcome(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    # Declared lost by the leader: its worker is gone, or the start was never
    # carried out.
    LOST = "lost"
    REJECTED = "rejected"


class Blame(enum.IntEnum):
    """Whether a run may have crashed the worker that it was lost with."""

    NONE = 0
    # The worker is silent, and may only be cut off or frozen.
    SUSPECTED = 1
    # The worker has crashed.
    CONFIRMED = 2


class TaskKey(NamedTuple):
    """Position of a task in its job."""

    occurrence: int
    step: int
    index: int


class Incarnation(NamedTuple):
    """One incarnation of a worker.

    Attributes:
        worker: Id, which a later incarnation may share.
        born: Start of this incarnation, Unix milliseconds.
    """

    worker: WorkerId
    born: int


class Run(msgspec.Struct, array_like=True):
    """A run of a task that may be in progress.

    Attributes:
        number: Number of the run.
        members: Incarnation of the worker by member index; a task that is not
            a gang has only member 0.
    """

    number: int
    members: dict[int, Incarnation]


class Crash(msgspec.Struct, array_like=True, frozen=True):
    """Loss of a worker that a run may have caused.

    Attributes:
        run: Number of the run.
        member: Number of the member.
        incarnation: Incarnation of the worker.
        survived_ms: Time from its start for which the worker is known to have
            worked, in milliseconds.
        lost_within_ms: Time from its start by which the worker was silent, in
            milliseconds, or `MAX_SUSPECT_MS` if its start is not known.
        is_sole: Whether the run was on probation, and none of another job was.
        is_confirmed: Whether the worker has crashed, rather than fallen silent.
        machine: Machine of the worker, or "" if unknown.
    """

    run: int
    member: int
    incarnation: Incarnation
    survived_ms: float
    lost_within_ms: float
    is_sole: bool
    is_confirmed: bool
    machine: MachineId = MachineId("")

    @property
    def probation_ms(self) -> float:
        """Time after which a later run is unlikely to crash in the same way.

        In milliseconds.
        """
        return min(self.lost_within_ms + PROBATION_MS, MAX_SUSPECT_MS)


class Task(msgspec.Struct, array_like=True):
    """State of a task, or of a whole gang.

    Attributes:
        last_run: Highest run number assigned.
        failures: Number of runs that failed.
        is_done: Whether it is completed.
        checkpoint: Latest checkpoint, or "".
        runs: Runs that may be in progress.
        failed_run: Highest run number whose failure is counted. A gang whose
            members fail in the same run fails once.
        crashes: Losses of workers that it may have caused, until a later run
            has survived for `MAX_SUSPECT_MS`.
    """

    last_run: int = 0
    failures: int = 0
    is_done: bool = False
    checkpoint: str = ""
    runs: list[Run] = []
    failed_run: int = 0
    crashes: list[Crash] = []

    @property
    def probation_ms(self) -> float:
        """Time from its start within which a run is likely to crash a worker.

        In milliseconds.
        """
        return max(
            (crash.probation_ms for crash in self.crashes), default=PROBATION_MS
        )

    @property
    def is_suspect(self) -> bool:
        """Whether it has to run alone to show whether it crashes workers.

        The first crash is not held against it if the run had worked for longer
        than the probation period, or for a time that is not known.
        """
        return len(self.crashes) > 1 or any(
            crash.survived_ms < PROBATION_MS
            and crash.lost_within_ms < MAX_SUSPECT_MS
            for crash in self.crashes
        )

    @property
    def has_open_crash(self) -> bool:
        """Whether a worker may have crashed or may only be silent."""
        return any(not crash.is_confirmed for crash in self.crashes)

    @property
    def crashes_workers(self) -> bool:
        """Whether it has crashed so many workers that it is given up.

        Members of a gang that are lost in the same run count once.
        """
        confirmed = [crash for crash in self.crashes if crash.is_confirmed]
        prompt_runs = {
            crash.run
            for crash in confirmed
            if crash.is_sole and crash.lost_within_ms <= PROMPT_CRASH_MS
        }
        return (
            len({crash.run for crash in confirmed}) >= MAX_CRASHES
            or len(prompt_runs) >= MAX_PROMPT_CRASHES
        )


class Job(msgspec.Struct, array_like=True):
    """State of a job.

    Attributes:
        id: Id, chosen by the caller.
        queue: Name of its queue.
        tenant: Tenant, or "".
        spec: Specification.
        accepted_at: Time of acceptance, Unix seconds.
        status: State in its lifecycle.
        ended_at: Time of its end, Unix seconds, or 0 while it is active.
        tasks: State of each task that was started at least once.
        done: Number of completed tasks by occurrence and step.
        has_started: Whether any task was started.
        queue_settings: Latest settings of its queue, which outlive the queue;
            None if it was accepted by an earlier release and its queue has been
            removed since.
    """

    id: JobId
    queue: QueueId
    tenant: TeamId
    spec: JobSpec
    accepted_at: float
    status: JobStatus = JobStatus.ACTIVE
    ended_at: float = 0.0
    tasks: dict[TaskKey, Task] = {}
    done: dict[tuple[int, int], int] = {}
    has_started: bool = False
    queue_settings: Queue | None = None

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are completed."""
        required = self.spec.steps[step].count
        return self.done.get((occurrence, step), 0) >= required

    def is_step_ready(self, occurrence: int, step: int) -> bool:
        """Return whether all dependencies of a step are completed."""
        return all(
            self.is_step_done(occurrence, earlier)
            for earlier in self.spec.steps[step].depends_on
        )

    def is_occurrence_done(self, occurrence: int) -> bool:
        """Return whether all steps of an occurrence are completed."""
        return all(
            self.is_step_done(occurrence, step)
            for step in range(len(self.spec.steps))
        )

    def task_keys(self, occurrence: int, step: int) -> list[TaskKey]:
        """Return the keys of a step's tasks; a gang has a single key."""
        if self.spec.steps[step].is_gang:
            return [TaskKey(occurrence, step, GANG)]
        count = self.spec.steps[step].count
        return [TaskKey(occurrence, step, i) for i in range(count)]


def make_job(
    job: JobId,
    queue: QueueId,
    tenant: TeamId,
    spec: JobSpec,
    at: float,
    queue_settings: Queue | None = None,
) -> Job:
    """Return the initial state of an accepted job."""
    return Job(
        job,
        queue,
        tenant,
        spec,
        at,
        tasks={},
        done={},
        queue_settings=queue_settings,
    )


def task_name(job: JobId, key: TaskKey, member: int) -> str:
    """Return the name of a task, or of one member of a gang.

    Example:
        >>> task_name("ab", TaskKey(0, 1, 17), 0)
        'ab.0.1.17'
        >>> task_name("ab", TaskKey(0, 1, GANG), 3)
        'ab.0.1.3'
    """
    index = member if key.index == GANG else key.index
    return f"{job}.{key.occurrence}.{key.step}.{index}"


def split_task_name(name: str) -> tuple[JobId, TaskKey] | None:
    """Return the job and key of a task name, or None if it is malformed.

    Example:
        >>> split_task_name("ab.0.1.17")
        ('ab', TaskKey(occurrence=0, step=1, index=17))
    """
    job, *numbers = name.split(".")
    if len(numbers) != 3 or not all(n.isdecimal() for n in numbers):
        return None
    return JobId(job), TaskKey(*map(int, numbers))
