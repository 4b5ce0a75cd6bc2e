"""Durations and objectives of jobs, which decide on the order of tasks."""

from collections.abc import Callable

from galenarill.jobs import Job, Step
from galenarill.routing import Queue

__all__ = [
    "estimated_seconds",
    "critical_path_seconds",
    "objective_at",
]

# Duration assumed for a task without an estimate, in seconds: the middle of
# the range of the platform's kinds of jobs.
DEFAULT_ESTIMATE_SECONDS = 1.0


def estimated_seconds(step: Step) -> float:
    """Return the expected duration of a task of `step`, in seconds."""
    return step.estimate_ms / 1000 or DEFAULT_ESTIMATE_SECONDS


def critical_path_seconds(
    steps: tuple[Step, ...],
    is_done: Callable[[int], bool] = lambda index: False,
) -> float:
    """Return the length of the critical path through the steps, in seconds.

    Args:
        steps: Steps of a job.
        is_done: Predicate on the index of a step. Completed steps add no
            time.

    Example:
        >>> from galenarill.routing import Resources
        >>> first = Step(1, Resources(1), estimate_ms=1000)
        >>> second = Step(1, Resources(1), estimate_ms=500, depends_on=(0,))
        >>> critical_path_seconds((first, second))
        1.5
    """
    finish_times: list[float] = []
    for index, step in enumerate(steps):
        begin = max(
            (finish_times[i] for i in step.depends_on if i < index), default=0
        )
        finish_times.append(
            begin + (0 if is_done(index) else estimated_seconds(step))
        )
    return max(finish_times, default=0.0)


def objective_at(job: Job, occurrence: int, queue: Queue) -> float:
    """Return the completion objective of an occurrence, in Unix seconds."""
    begin = job.spec.due_at(occurrence) or job.accepted_at
    critical_path = critical_path_seconds(job.spec.steps)
    return begin + queue.stretch * critical_path + queue.objective_ms / 1000
