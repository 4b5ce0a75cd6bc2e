"""Jobs, steps, tasks and runs."""

import enum
from typing import NamedTuple

import msgspec

from galenarill.routing import Resources
from galenarill.world import JobId, QueueId, TeamId, WorkerId

__all__ = [
    "GANG",
    "Step",
    "JobSpec",
    "JobStatus",
    "TaskKey",
    "Incarnation",
    "Run",
    "Task",
    "Job",
    "End",
    "make_job",
    "task_name",
    "split_task_name",
]

# Index of the one task that stands for a whole gang.
GANG = -1


class Step(msgspec.Struct, frozen=True, array_like=True):
    """One step of a job.

    Attributes:
        count: Number of tasks.
        need: Resources of one task.
        estimate_ms: Rough duration of a task, or 0 if unknown.
        depends_on: Earlier steps that must be done first.
        is_checkpointing: Whether tasks can resume.
        is_gang: Whether the tasks only work together.
        wants_same_rack: Whether they are slower on several racks.
        label: Label that the worker must have, or "".
        data_rack: Rack outside of which tasks are slower, or "".
        max_per_worker: Most tasks on one worker, or 0 for any number.
        is_speculative: Whether copies may run in parallel.
        lasts: Whether tasks run until the job is cancelled.
        image: What the tasks run, or "".
        target_ms: Bound on the tail of response times, or 0.
        fills: Whether its processor use is not counted against a worker.
        may_miss: Tasks that may be away at a time by our own actions.
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
    lasts: bool = False
    image: str = ""
    target_ms: float = 0.0
    fills: bool = False
    may_miss: int = 0

    @property
    def reserved(self) -> Resources:
        """What one task takes from a worker's capacity."""
        if self.fills:
            return Resources(0, self.need.mem_mb, self.need.gpu)
        return self.need


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """What a caller submits.

    Attributes:
        payload: Opaque text that each task gets.
        steps: Steps.
        repeat_count: Occurrences, or 0 for a job that runs once.
        first_due_at: When the first occurrence is due, Unix seconds.
        interval_s: Time between occurrences in seconds.
    """

    payload: str
    steps: tuple[Step, ...]
    repeat_count: int = 0
    first_due_at: float = 0.0
    interval_s: float = 0.0

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.repeat_count)

    def due_at(self, occurrence: int) -> float:
        """Return when an occurrence is due, in Unix seconds."""
        if not self.repeat_count:
            return 0.0
        return self.first_due_at + occurrence * self.interval_s


class JobStatus(enum.IntEnum):
    """Where a job is in its life."""

    ACTIVE = 0
    COMPLETED = 1
    FAILED = 2
    CANCELLED = 3


class End(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    # Given up by us: the run is dead, or was never carried out.
    LOST = "lost"
    REJECTED = "rejected"


class TaskKey(NamedTuple):
    """Place of a task in its job."""

    occurrence: int
    step: int
    index: int


class Incarnation(NamedTuple):
    """One life of a worker.

    Attributes:
        worker: Id, which a later life may have too.
        born: Start of this life, Unix milliseconds.
    """

    worker: WorkerId
    born: int


class Run(msgspec.Struct, array_like=True):
    """A run of a task that may be in progress.

    Attributes:
        number: Number of the run.
        members: Where each member runs; one with index 0 but for gangs.
    """

    number: int
    members: dict[int, Incarnation]


class Task(msgspec.Struct, array_like=True):
    """State of a task, or of a whole gang.

    Attributes:
        last_run: Highest run number given out.
        failures: Runs that ended as failed.
        is_done: Whether it has ended as done.
        checkpoint: Latest checkpoint, or "".
        runs: Runs that may be in progress.
        failed_run: Highest run number whose failure is counted.
    """

    last_run: int = 0
    failures: int = 0
    is_done: bool = False
    checkpoint: str = ""
    runs: list[Run] = []
    failed_run: int = 0


class Job(msgspec.Struct, array_like=True):
    """State of a job.

    Attributes:
        id: Id, chosen by the caller.
        queue: Queue.
        tenant: Tenant, or "".
        spec: What was submitted.
        accepted_at: Unix seconds.
        status: Where it is in its life.
        ended_at: Unix seconds, or 0 while it is active.
        tasks: State of the tasks that were ever started.
        done: Tasks done, by occurrence and step.
        has_started: Whether any task was ever started.
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

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Tell whether all tasks of a step are done."""
        wanted = self.spec.steps[step].count
        return self.done.get((occurrence, step), 0) >= wanted

    def is_step_open(self, occurrence: int, step: int) -> bool:
        """Tell whether a step's dependencies are done."""
        return all(
            self.is_step_done(occurrence, earlier)
            for earlier in self.spec.steps[step].depends_on
        )

    def is_occurrence_done(self, occurrence: int) -> bool:
        """Tell whether every step of an occurrence is done."""
        return all(
            self.is_step_done(occurrence, step)
            for step in range(len(self.spec.steps))
        )

    def task_keys(self, occurrence: int, step: int) -> list[TaskKey]:
        """Return the keys of a step's tasks, one for a gang."""
        if self.spec.steps[step].is_gang:
            return [TaskKey(occurrence, step, GANG)]
        count = self.spec.steps[step].count
        return [TaskKey(occurrence, step, i) for i in range(count)]


def make_job(
    job: JobId, queue: QueueId, tenant: TeamId, spec: JobSpec, at: float
) -> Job:
    """Make the state of a job that was just accepted."""
    return Job(job, queue, tenant, spec, at, tasks={}, done={})


def task_name(job: JobId, key: TaskKey, member: int) -> str:
    """Return the name of one task.

    Example:
        >>> task_name("ab", TaskKey(0, 1, 17), 0)
        'ab.0.1.17'
        >>> task_name("ab", TaskKey(0, 1, GANG), 3)
        'ab.0.1.3'
    """
    index = member if key.index == GANG else key.index
    return f"{job}.{key.occurrence}.{key.step}.{index}"


def split_task_name(name: str) -> tuple[JobId, TaskKey] | None:
    """Return the job and key in a task's name, or None if it is no name.

    Example:
        >>> split_task_name("ab.0.1.17")
        ('ab', TaskKey(occurrence=0, step=1, index=17))
    """
    job, *numbers = name.split(".")
    if len(numbers) != 3 or not all(n.isdecimal() for n in numbers):
        return None
    return JobId(job), TaskKey(*map(int, numbers))
