"""Sizes of jobs in log lines."""

from galenarill.jobs import JobSpec
from galenarill.placement import critical_path_seconds, estimated_seconds
from galenarill.routing import Queue

__all__ = ["describe_size"]


def describe_size(spec: JobSpec, queue: Queue) -> dict:
    """Return the fields of a log line that tell the size of a job."""
    finite = [step for step in spec.steps if not step.is_long_running]
    critical_path = critical_path_seconds(spec.steps)
    return {
        "pool": queue.pool,
        "repeats": spec.repeat_count,
        "largest_cpu": max((step.need.cpu for step in spec.steps), default=0),
        # Estimated work of one occurrence, in core-seconds.
        "core_seconds": round(
            sum(
                step.count * step.need.cpu / 1000 * estimated_seconds(step)
                for step in finite
            ),
            3,
        ),
        "objective_seconds": round(
            queue.stretch * critical_path + queue.objective_ms / 1000, 3
        ),
    }
