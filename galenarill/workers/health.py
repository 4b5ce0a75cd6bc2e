"""Detection of faulty workers and of slow or stalled runs."""

import collections
import dataclasses

from galenarill.common import JobId, WorkerId

__all__ = ["WorkerHealth", "RunProgress"]

# Number of latest outcomes that are kept for each worker.
MAX_OUTCOMES = 8
# Minimum number of jobs whose tasks have failed or stalled on a worker before
# it is quarantined. The tasks of one faulty job may fail on every worker.
MIN_JOBS = 2
# Minimum share of failed or stalled tasks in the latest outcomes before a
# worker is quarantined. A few percent of tasks fail on healthy workers.
FAILED_SHARE = 0.4
# Duration of a worker's first quarantine in seconds; doubled each time.
QUARANTINE_SECONDS = 3.0
MAX_QUARANTINE_SECONDS = 24.0
# Progress between readings from which a speed can be derived.
MIN_ADVANCE_PERCENT = 3


@dataclasses.dataclass(slots=True)
class _Record:
    """Outcomes and quarantine of one worker.

    Attributes:
        outcomes: Latest outcomes: None for a completed task, the job's id for
            a failed or stalled one.
        quarantined_until: End of the latest quarantine, on the monotonic clock.
        next_quarantine_seconds: Duration of the next quarantine.
    """

    outcomes: collections.deque
    quarantined_until: float = float("-inf")
    next_quarantine_seconds: float = QUARANTINE_SECONDS


class WorkerHealth:
    """Outcomes of tasks on each worker, and the quarantines they lead to.

    Example:
        >>> health = WorkerHealth()
        >>> health.record_failure("w", "job-1", 0.0)
        False
        >>> health.record_failure("w", "job-2", 0.1)
        True
        >>> health.is_quarantined("w", 1.0)
        True
    """

    def __init__(self):
        """Initialize without any worker."""
        self._records: dict[WorkerId, _Record] = {}

    def record_success(self, worker: WorkerId) -> None:
        """Record that a task was completed."""
        self._record(worker).outcomes.append(None)

    def record_failure(self, worker: WorkerId, job: JobId, now: float) -> bool:
        """Record that a task has failed or stalled.

        Returns:
            Whether this puts the worker into quarantine.
        """
        record = self._record(worker)
        record.outcomes.append(job)
        failed_jobs = [job for job in record.outcomes if job is not None]
        if (
            now < record.quarantined_until
            or len(set(failed_jobs)) < MIN_JOBS
            or len(failed_jobs) < FAILED_SHARE * len(record.outcomes)
        ):
            return False
        record.quarantined_until = now + record.next_quarantine_seconds
        record.next_quarantine_seconds = min(
            2 * record.next_quarantine_seconds, MAX_QUARANTINE_SECONDS
        )
        # Keep one failure, so that a single failure of another job after the
        # quarantine can start the next one.
        record.outcomes = collections.deque(failed_jobs[-1:], MAX_OUTCOMES)
        return True

    def is_quarantined(self, worker: WorkerId, now: float) -> bool:
        """Return whether a worker should not get tasks now."""
        record = self._records.get(worker)
        return record is not None and now < record.quarantined_until

    def forget(self, worker: WorkerId) -> None:
        """Remove a worker whose incarnation has ended."""
        self._records.pop(worker, None)

    def _record(self, worker: WorkerId) -> _Record:
        return self._records.setdefault(
            worker, _Record(collections.deque(maxlen=MAX_OUTCOMES))
        )


class RunProgress:
    """Progress of a run since its first reading.

    Example:
        >>> progress = RunProgress(20.0, 5.0)
        >>> progress.record_reading(30.0, 5.5)
        >>> progress.projected_seconds(), progress.remaining_seconds()
        (5.0, 3.5)
    """

    def __init__(self, percent: float, now: float):
        """Record the first reading.

        Args:
            percent: Progress.
            now: Time on the monotonic clock.
        """
        self.percent = percent
        self._first_reading = (percent, now)
        self._advanced_at = now
        self._last_reading_at = now

    def record_reading(self, percent: float, now: float) -> None:
        """Record a reading."""
        if percent != self.percent:
            self.percent, self._advanced_at = percent, now
        self._last_reading_at = now

    def record_healthy(self, now: float) -> None:
        """Record that the run is healthy although it does not advance."""
        self._advanced_at = now

    def stalled_seconds(self) -> float:
        """Return for how long readings have shown no progress, in seconds."""
        return self._last_reading_at - self._advanced_at

    def projected_seconds(self) -> float | None:
        """Return the projected duration of the whole task in seconds.

        Returns None while the progress is too small for a projection.
        """
        percent, read_at = self._first_reading
        advance = self.percent - percent
        if advance < MIN_ADVANCE_PERCENT:
            return None
        return (self._last_reading_at - read_at) * 100 / advance

    def remaining_seconds(self) -> float | None:
        """Return the projected remaining time in seconds.

        Returns None while the progress is too small for a projection.
        """
        seconds = self.projected_seconds()
        return seconds and seconds * (100 - self.percent) / 100
