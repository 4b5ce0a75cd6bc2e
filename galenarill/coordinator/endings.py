"""Ends of runs: as workers list them, or as follows from lost leases."""

import asyncio
import logging

from galenarill.coordinator.progress import ProgressWatch
from galenarill.coordinator.runs import TrackedRun
from galenarill.coordinator.term import Term
from galenarill.jobs import End, EndRun
from galenarill.routing import Resources
from galenarill.telemetry import meter
from galenarill.workers import Contact, EndedRow, WorkerReport
from galenarill.world import WorkerId, steady_now, wall_now

__all__ = ["Endings", "ANY_LIFE"]

logger = logging.getLogger(__name__)

_ENDS = meter().create_counter("galenarill_runs_ended")
_LAPSES = meter().create_counter("galenarill_leases_lapsed")

# A worker that has left may still be ending what it ran, in seconds.
LEFT_SECONDS = 0.3
# Later than the start of any life of a worker.
ANY_LIFE = 1 << 62

_UNKNOWN = WorkerReport(WorkerId(""), 0, 0, "", "", "", "", "", (), Resources())


class Endings:
    """Commits each end of a run once."""

    def __init__(self, term: Term, progress: ProgressWatch):
        """Commit ends in `term`, and tell `progress` how runs fared."""
        self._term = term
        self._progress = progress
        self._open: set[tuple[str, int, int]] = set()

    async def end(
        self, run: TrackedRun, how: End, checkpoint: str = ""
    ) -> None:
        """Commit that a run has ended."""
        place = (run.name, run.number, run.member)
        if place in self._open or not self._term.is_tracked(run):
            return
        self._open.add(place)
        _ENDS.add(1, {"how": how.value})
        if not checkpoint and run.row is not None and how is not End.DONE:
            checkpoint = run.row.checkpoint
        if how is End.FAILED:
            self._progress.note_bad(run)
        elif how is End.DONE:
            self._progress.note_done(run)
        logger.info(
            "run ended",
            extra={
                "job": run.job,
                "task": run.name,
                "run": run.number,
                "worker": run.incarnation.worker,
                "how": how.value,
                "seconds": round(steady_now() - run.begun_at, 3),
            },
        )
        try:
            await self._term.propose(
                EndRun(
                    run.job,
                    *run.key,
                    run.number,
                    run.member,
                    how.value,
                    checkpoint,
                    wall_now(),
                )
            )
        finally:
            self._open.discard(place)

    async def end_listed(self, run: TrackedRun, row: EndedRow) -> None:
        """Commit an end that a worker lists."""
        try:
            how = End(row.how)
        except ValueError:
            logger.error(
                "unknown kind of end, taken for lost",
                extra={"task": row.task, "run": row.run, "how": row.how},
            )
            how = End.LOST
        await self.end(run, how, row.checkpoint)

    def lose(self, worker: WorkerId, why: str, born: int) -> None:
        """Give up runs on lives of a worker that began before `born`."""
        for run in self._term.runs.on_worker(worker):
            if run.incarnation.born >= born:
                continue
            logger.info(
                "run lost",
                extra={
                    "job": run.job,
                    "task": run.name,
                    "run": run.number,
                    "worker": worker,
                    "why": why,
                },
            )
            self._term.spawn(self.end(run, End.LOST))

    async def lose_later(self, report: WorkerReport) -> None:
        """Give up the runs of a life that is ending."""
        await asyncio.sleep(LEFT_SECONDS)
        self.lose(report.worker, "it has left", report.born + 1)

    def lose_lapsed(self, now: float) -> None:
        """Give up runs whose worker's lease has surely ended."""
        for worker in list(self._term.runs.by_worker):
            if not self._term.runs.on_worker(worker):
                continue
            contact = self._term.contacts.get(worker)
            if contact is None:
                # Not heard of in this term: what it runs ends with the lease
                # that an earlier leader may have given.
                lapses_at = Contact(_UNKNOWN, self._term.since).lapses_at()
            else:
                lapses_at = contact.lapses_at()
            if now > lapses_at:
                _LAPSES.add(1)
                if contact is not None:
                    contact.is_read = False
                self.lose(worker, "its lease has ended", ANY_LIFE)
