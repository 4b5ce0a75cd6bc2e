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
    """

    report: WorkerReport
    heard_at: float


class WorkerRegistry:
    """Latest report of each worker, by its id.

    A later incarnation replaces an earlier one. Reports of earlier incarnations
    and reports that arrive out of order are ignored.
    """

    def __init__(self):
        """Initialize an empty registry."""
        self.workers: dict[WorkerId, KnownWorker] = {}
        # Start of the latest incarnation that has left, by id.
        self._departed: dict[WorkerId, int] = {}

    def record_report(self, report: WorkerReport, now: float) -> bool:
        """Record a report.

        Returns:
            Whether it is newer than what was known.
        """
        if report.born <= self._departed.get(report.worker, -1):
            return False
        known = self.workers.get(report.worker)
        if known is not None:
            latest = known.report
            if (report.born, report.sequence) <= (latest.born, latest.sequence):
                return False
            if report.born == latest.born and latest.is_draining:
                # A draining worker never becomes ready again.
                report = msgspec.structs.replace(report, is_draining=True)
        self.workers[report.worker] = KnownWorker(report, now)
        return True

    def note_left(self, worker: WorkerId) -> WorkerReport | None:
        """Record that a worker has left.

        Returns:
            Its latest report, if it was known.
        """
        known = self.workers.pop(worker, None)
        if known is None:
            return None
        self._departed[worker] = known.report.born
        return known.report

    def forget_silent(self, now: float) -> list[WorkerReport]:
        """Remove and return workers without a report for `FORGET_SECONDS`."""
        silent = [
            known.report
            for known in self.workers.values()
            if known.heard_at < now - FORGET_SECONDS
        ]
        for report in silent:
            del self.workers[report.worker]
        return silent
