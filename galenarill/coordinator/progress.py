"""Finds runs that stand still or are slow, and the workers behind them."""

import logging
import statistics

from galenarill.coordinator.runs import Phase, TrackedRun
from galenarill.coordinator.term import Term
from galenarill.jobs import TaskKey
from galenarill.workers import Progress, RunningRow, WorkerHealth
from galenarill.world import JobId, WorkerId, steady_now

__all__ = ["ProgressWatch"]

logger = logging.getLogger(__name__)

# A run whose progress stands still for this long is moved, in seconds: longer
# than a renewal, a restore and the start of a task take together.
STALL_SECONDS = 2.0
# A run is slow if it takes this many times as long as its like elsewhere; tasks
# of one step differ by a third.
SLOW_FACTOR = 2.5
# Runs of the same step on other workers that are compared with, at least.
MIN_SIBLINGS = 2
# What it costs to stop a run and to start it elsewhere, in seconds.
RESTART_SECONDS = 0.5


class ProgressWatch:
    """Compares runs with their like, and workers with their peers."""

    def __init__(self, term: Term):
        """Watch the runs of `term`."""
        self._term = term
        self.health = WorkerHealth()
        # How long tasks of each step have taken, and on which worker.
        self._durations: dict[tuple, list[tuple[WorkerId, float]]] = {}
        # Workers on which a task has failed, so that it is tried elsewhere.
        self._failed_on: dict[tuple[JobId, TaskKey], set[WorkerId]] = {}

    def failed_on(self, job: JobId, key: TaskKey) -> set[WorkerId]:
        """Return the workers on which a task has failed or stalled."""
        return set(self._failed_on.get((job, key), ()))

    def note_row(self, run: TrackedRun, row: RunningRow) -> bool:
        """Take in how far a run is.

        Returns:
            Whether it should be stopped, to start elsewhere.
        """
        now = steady_now()
        run.row = row
        if run.progress is None:
            run.progress = Progress(row.percent, now)
        run.progress.note(row.percent, now)
        if run.phase is not Phase.RUNNING or run.step.is_gang:
            return False
        if run.step.lasts and row.percent >= 100:
            run.progress.note_well(now)
        if run.progress.stalled_seconds() >= STALL_SECONDS:
            self._note_stalled(run)
            return True
        if not run.is_slow and self._is_slow(run):
            run.is_slow = True
            self.note_bad(run)
        return run.is_slow and self._would_gain(run, now)

    def note_bad(self, run: TrackedRun) -> None:
        """Take in that a run has failed or stalled where it was placed."""
        worker = run.incarnation.worker
        self._failed_on.setdefault((run.job, run.key), set()).add(worker)
        if self.health.note_bad(worker, run.job, steady_now()):
            logger.warning(
                "worker quarantined",
                extra={"worker": worker, "job": run.job, "task": run.name},
            )

    def note_done(self, run: TrackedRun) -> None:
        """Take in that a run is done."""
        worker = run.incarnation.worker
        self.health.note_done(worker)
        if run.is_whole:
            place = (run.job, *run.key[:2])
            seconds = steady_now() - run.since
            self._durations.setdefault(place, []).append((worker, seconds))

    def forget_job(self, job: JobId) -> None:
        """Drop what was learned about a job that is over."""
        for known in (self._durations, self._failed_on):
            for place in [place for place in known if place[0] == job]:
                del known[place]

    def _note_stalled(self, run: TrackedRun) -> None:
        logger.info(
            "run stands still",
            extra={
                "job": run.job,
                "task": run.name,
                "run": run.number,
                "worker": run.incarnation.worker,
                "percent": run.progress.percent,
                "seconds": round(run.progress.stalled_seconds(), 3),
            },
        )
        self.note_bad(run)

    def _is_slow(self, run: TrackedRun) -> bool:
        """Tell whether a run takes much longer than its like elsewhere."""
        seconds = run.progress.projected_seconds()
        if run.step.lasts or seconds is None:
            return False
        usual = self._usual_seconds(run)
        return usual is not None and seconds > SLOW_FACTOR * usual

    def _would_gain(self, run: TrackedRun, now: float) -> bool:
        """Tell whether a run on a quarantined worker ends sooner elsewhere."""
        if not self.health.is_quarantined(run.incarnation.worker, now):
            return False
        usual = self._usual_seconds(run)
        left = run.progress.remaining_seconds()
        if usual is None or left is None:
            return False
        return left > usual + RESTART_SECONDS

    def _usual_seconds(self, run: TrackedRun) -> float | None:
        """Return how long tasks of the same step take on other workers.

        Estimates are no measure: on some queues they are off by a factor.
        """
        worker = run.incarnation.worker
        seconds = [
            duration
            for other, duration in self._durations.get(
                (run.job, *run.key[:2]), ()
            )
            if other != worker
        ]
        for sibling in self._term.runs.runs_of(run.job):
            if (
                sibling.key[:2] == run.key[:2]
                and sibling.incarnation.worker != worker
                and sibling.progress is not None
                and (projected := sibling.progress.projected_seconds())
            ):
                seconds.append(projected)
        if len(seconds) < MIN_SIBLINGS:
            return None
        return statistics.median(seconds)
