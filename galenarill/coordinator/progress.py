"""Finds runs that stand still or are slow, and the workers behind them."""

import logging
import statistics

from galenarill.coordinator.runs import Phase, TrackedRun
from galenarill.coordinator.term import TermContext
from galenarill.jobs import TaskKey
from galenarill.workers import Progress, RunningRow, WorkerHealth
from galenarill.world import JobId, WorkerId, steady_now

__all__ = ["ProgressMonitor"]

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
RESTART_COST_SECONDS = 0.5


class ProgressMonitor:
    """Compares runs with their like, and workers with their peers."""

    def __init__(self, context: TermContext):
        """Watch the runs of `context`."""
        self._context = context
        self.health = WorkerHealth()
        # How long tasks of each step have taken, and on which worker.
        self._durations: dict[tuple, list[tuple[WorkerId, float]]] = {}
        # Workers on which a task has failed, so that it is tried elsewhere.
        self._workers_failed_on: dict[tuple[JobId, TaskKey], set[WorkerId]] = {}

    def workers_failed_on(self, job: JobId, key: TaskKey) -> set[WorkerId]:
        """Return the workers on which a task has failed or stalled."""
        return set(self._workers_failed_on.get((job, key), ()))

    def update_progress(self, run: TrackedRun, row: RunningRow) -> bool:
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
            self._record_stall(run)
            return True
        if not run.is_slow and self._is_slow(run):
            run.is_slow = True
            self.record_failure(run)
        return run.is_slow and self._ends_sooner_elsewhere(run, now)

    def record_failure(self, run: TrackedRun) -> None:
        """Take in that a run has failed or stalled where it was placed."""
        worker = run.incarnation.worker
        self._workers_failed_on.setdefault((run.job, run.key), set()).add(
            worker
        )
        if self.health.note_bad(worker, run.job, steady_now()):
            logger.warning(
                "worker quarantined",
                extra={"worker": worker, "job": run.job, "task": run.name},
            )

    def note_done(self, run: TrackedRun) -> None:
        """Take in that a run is done."""
        worker = run.incarnation.worker
        self.health.note_done(worker)
        if run.covers_whole_task:
            step_id = (run.job, *run.key[:2])
            seconds = steady_now() - run.phase_since
            self._durations.setdefault(step_id, []).append((worker, seconds))

    def forget_job(self, job: JobId) -> None:
        """Drop what was learned about a job that is over."""
        for records in (self._durations, self._workers_failed_on):
            for key in [key for key in records if key[0] == job]:
                del records[key]

    def _record_stall(self, run: TrackedRun) -> None:
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
        self.record_failure(run)

    def _is_slow(self, run: TrackedRun) -> bool:
        """Tell whether a run takes much longer than its like elsewhere."""
        seconds = run.progress.projected_seconds()
        if run.step.lasts or seconds is None:
            return False
        sibling_seconds = self._median_sibling_seconds(run)
        return (
            sibling_seconds is not None
            and seconds > SLOW_FACTOR * sibling_seconds
        )

    def _ends_sooner_elsewhere(self, run: TrackedRun, now: float) -> bool:
        """Tell whether a run on a quarantined worker ends sooner elsewhere."""
        if not self.health.is_quarantined(run.incarnation.worker, now):
            return False
        sibling_seconds = self._median_sibling_seconds(run)
        left = run.progress.remaining_seconds()
        if sibling_seconds is None or left is None:
            return False
        return left > sibling_seconds + RESTART_COST_SECONDS

    def _median_sibling_seconds(self, run: TrackedRun) -> float | None:
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
        for sibling in self._context.runs.runs_of(run.job):
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
