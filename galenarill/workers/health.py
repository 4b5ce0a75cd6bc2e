"""Finds workers that fail or stall what sound ones would finish."""

import collections
import dataclasses

from galenarill.world import JobId, WorkerId

__all__ = ["WorkerHealth", "Progress"]

# Latest ends of a worker that are looked at.
WINDOW = 8
# A worker is suspected once tasks of this many jobs have failed or stalled on
# it, and these are at least this share of the latest ends: single jobs can be
# hopeless, and a few tasks in a hundred fail by themselves.
MIN_JOBS = 2
FAILED_SHARE = 0.4
# How long a suspected worker gets nothing, in seconds; doubled each time.
QUARANTINE_SECONDS = 3.0
MAX_QUARANTINE_SECONDS = 24.0
# Progress between readings from which a pace is told.
MIN_ADVANCE_PERCENT = 3


@dataclasses.dataclass(slots=True)
class _Record:
    ends: collections.deque
    quarantined_until: float = float("-inf")
    next_seconds: float = QUARANTINE_SECONDS


class WorkerHealth:
    """How tasks fared on each worker.

    Example:
        >>> health = WorkerHealth()
        >>> health.note_bad("w", "job-1", 0.0)
        False
        >>> health.note_bad("w", "job-2", 0.1)
        True
        >>> health.is_quarantined("w", 1.0)
        True
    """

    def __init__(self):
        """Know of no worker."""
        self._records: dict[WorkerId, _Record] = {}

    def note_done(self, worker: WorkerId) -> None:
        """Take in that a task was done."""
        self._record(worker).ends.append(None)

    def note_bad(self, worker: WorkerId, job: JobId, now: float) -> bool:
        """Take in that a task has failed or stalled.

        Returns:
            Whether the worker is quarantined by this.
        """
        record = self._record(worker)
        record.ends.append(job)
        bad = [job for job in record.ends if job is not None]
        if (
            now < record.quarantined_until
            or len(set(bad)) < MIN_JOBS
            or len(bad) < FAILED_SHARE * len(record.ends)
        ):
            return False
        record.quarantined_until = now + record.next_seconds
        record.next_seconds = min(
            2 * record.next_seconds, MAX_QUARANTINE_SECONDS
        )
        # One more bad end brings it back after the quarantine.
        record.ends = collections.deque(bad[-1:], WINDOW)
        return True

    def is_quarantined(self, worker: WorkerId, now: float) -> bool:
        """Tell whether a worker should get nothing for now."""
        record = self._records.get(worker)
        return record is not None and now < record.quarantined_until

    def forget(self, worker: WorkerId) -> None:
        """Forget a worker whose life is over."""
        self._records.pop(worker, None)

    def _record(self, worker: WorkerId) -> _Record:
        return self._records.setdefault(
            worker, _Record(collections.deque(maxlen=WINDOW))
        )


class Progress:
    """How a run advances, from its first reading on.

    Example:
        >>> progress = Progress(20.0, 5.0)
        >>> progress.note(30.0, 5.5)
        >>> progress.projected_seconds(), progress.remaining_seconds()
        (5.0, 3.5)
    """

    def __init__(self, percent: float, now: float):
        """Take in the first reading.

        Args:
            percent: Progress.
            now: Time on the steady clock.
        """
        self.percent = percent
        self._first = (percent, now)
        self._moved_at = now
        self._seen_at = now

    def note(self, percent: float, now: float) -> None:
        """Take in a reading."""
        if percent != self.percent:
            self.percent, self._moved_at = percent, now
        self._seen_at = now

    def note_well(self, now: float) -> None:
        """Take in that the run is as it should be without advancing."""
        self._moved_at = now

    def stalled_seconds(self) -> float:
        """Return how long it has surely not advanced."""
        return self._seen_at - self._moved_at

    def projected_seconds(self) -> float | None:
        """Return how long the whole task takes at this pace, or None."""
        percent, at = self._first
        advance = self.percent - percent
        if advance < MIN_ADVANCE_PERCENT:
            return None
        return (self._seen_at - at) * 100 / advance

    def remaining_seconds(self) -> float | None:
        """Return how long it still takes at this pace, or None."""
        seconds = self.projected_seconds()
        return seconds and seconds * (100 - self.percent) / 100
