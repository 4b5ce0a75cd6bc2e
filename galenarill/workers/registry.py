"""Registry of known workers."""

import dataclasses

import msgspec

from galenarill.common import WorkerId
from galenarill.workers.report import WorkerReport

__all__ = ["WorkerRegistry", "KnownWorker"]

# Time without a report after which a worker is removed, in seconds; many
# heartbeat periods.
FORGET_SECONDS = 30.0


@dataclasses.dataclass(slots=True)
class KnownWorker:
    """The latest report of a worker.

    Attributes:
        report: The report.
        heard_at: When it arrived, on the monotonic clock.
        known_since: When its incarnation was first heard of, on the monotonic
            clock; negative infinity if no earlier one had its id.
    """

    report: WorkerReport
    heard_at: float
    known_since: float


class WorkerRegistry:
    """Latest report of each worker, by its id.

    A later incarnation replaces an earlier one. Reports of earlier incarnations
    and reports that arrive out of order are ignored.
    """

    def __init__(self, began_at: float):
        """Initialize an empty registry.

        Args:
            began_at: When this coordinator began to hear of workers, on the
                monotonic clock.
        """
        self._began_at = began_at
        self.workers: dict[WorkerId, KnownWorker] = {}
        # Workers said to have left. The notice names no incarnation, so it
        # may be about an earlier one.
        self._departed: dict[WorkerId, KnownWorker] = {}

    def record_report(self, report: WorkerReport, now: float) -> bool:
        """Record a report.

        Returns:
            Whether it is newer than what was known.
        """
        known = self.workers.get(report.worker) or self._departed.get(
            report.worker
        )
        if known is not None:
            latest = known.report
            if (report.born, report.sequence) <= (latest.born, latest.sequence):
                return False
            if report.born == latest.born and latest.is_draining:
                # A draining worker never becomes ready again.
                report = msgspec.structs.replace(report, is_draining=True)
        known_since = now
        if known is not None and report.born == known.report.born:
            known_since = known.known_since
        elif known is None and now >= self._began_at + FORGET_SECONDS:
            known_since = float("-inf")
        self._departed.pop(report.worker, None)
        self.workers[report.worker] = KnownWorker(report, now, known_since)
        return True

    def latest_born(self, worker: WorkerId) -> int | None:
        """Return the start of a worker's latest incarnation, or None."""
        known = self.workers.get(worker) or self._departed.get(worker)
        return None if known is None else known.report.born

    def note_left(self, worker: WorkerId, born: int) -> None:
        """Record the notice that an incarnation of a worker has left.

        A later report of the same incarnation proves the notice wrong.
        """
        known = self.workers.get(worker)
        if known is not None and known.report.born <= born:
            self._departed[worker] = self.workers.pop(worker)

    def forget_silent(self, now: float) -> None:
        """Remove workers without a report for `FORGET_SECONDS`."""
        for workers in (self.workers, self._departed):
            for worker, known in list(workers.items()):
                if known.heard_at < now - FORGET_SECONDS:
                    del workers[worker]
