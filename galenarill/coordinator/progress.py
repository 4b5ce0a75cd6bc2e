"""Detects stalled runs and stragglers, and faulty workers behind them."""

import contextlib
import logging
import math
import statistics
from collections.abc import Iterator

from galenarill.common import JobId, WorkerId, monotonic_now
from galenarill.coordinator.runs import Phase, TrackedRun
from galenarill.coordinator.term import TermContext
from galenarill.jobs import TaskKey
from galenarill.placement import DurationKey, DurationModel, duration_key
from galenarill.workers import RunningRow, RunProgress, WorkerHealth

__all__ = ["ProgressMonitor"]

logger = logging.getLogger(__name__)

# A run without progress for this long is restarted elsewhere, in seconds.
# Longer than a renewal, a restore and the start of a task take together.
STALL_SECONDS = 2.0
# A run is a straggler if it takes this many times as long as its siblings.
# Durations of tasks of one step normally differ by a third.
SLOW_FACTOR = 2.5
# Time between two comparisons of a run with its siblings, in seconds. Workers
# with many runs list them up to fifteen times a second.
COMPARISON_SECONDS = 0.2
# Least number of sibling runs on other workers for a comparison.
MIN_SIBLINGS = 2
# Time to stop a run and to start it elsewhere, in seconds.
RESTART_COST_SECONDS = 0.5
# Time after which a run is expected to end that is being stopped, or that has
# outlasted its expected duration, in seconds. About the time until its worker's
# next answer.
OVERDUE_SECONDS = 0.25


class ProgressMonitor:
    """Compares runs with their siblings, and workers with their peers."""

    def __init__(self, context: TermContext):
        """Create a monitor for the runs of `context`."""
        self._context = context
        self.health = WorkerHealth()
        self.durations = DurationModel()
        # Worker and duration in seconds of finished tasks, by step.
        self._durations: dict[tuple, list[tuple[WorkerId, float]]] = {}
        # Workers on which a task failed or stalled. It is retried elsewhere.
        self._workers_failed_on: dict[tuple[JobId, TaskKey], set[WorkerId]] = {}

    def workers_failed_on(self, job: JobId, key: TaskKey) -> set[WorkerId]:
        """Return the workers on which a task failed or stalled."""
        return set(self._workers_failed_on.get((job, key), ()))

    def update_progress(self, run: TrackedRun, row: RunningRow) -> bool:
        """Record the progress of a run.

        Returns:
            Whether to stop the run and restart it elsewhere.
        """
        now = monotonic_now()
        run.row = row
        if run.progress is None:
            run.progress = RunProgress(row.percent, now)
        run.progress.record_reading(row.percent, now)
        seconds_left = run.progress.remaining_seconds()
        if seconds_left is not None and not run.step.is_long_running:
            run.ends_at = now + seconds_left
            self._context.runs.idle_at_by_worker.pop(
                run.incarnation.worker, None
            )
        if run.phase is not Phase.RUNNING or run.step.is_gang:
            return False
        if run.step.is_long_running and row.percent >= 100:
            run.progress.record_healthy(now)
        if run.progress.stalled_seconds() >= STALL_SECONDS:
            self._record_stall(run)
            return True
        if not run.is_slow and now >= run.next_comparison_at:
            run.next_comparison_at = now + COMPARISON_SECONDS
            run.is_slow = self._is_slow(run)
            if run.is_slow:
                self.record_failure(run)
        return run.is_slow and self._ends_sooner_elsewhere(run, now)

    def record_failure(self, run: TrackedRun) -> None:
        """Record that a run failed, stalled or is slow on its worker."""
        worker = run.incarnation.worker
        self._workers_failed_on.setdefault((run.job, run.key), set()).add(
            worker
        )
        if self.health.record_failure(worker, run.job, monotonic_now()):
            logger.warning(
                "worker quarantined",
                extra={"worker": worker, "job": run.job, "task": run.name},
            )

    def record_success(self, run: TrackedRun) -> None:
        """Record that a run finished."""
        worker = run.incarnation.worker
        self.health.record_success(worker)
        if run.covers_whole_task:
            step_key = (run.job, *run.key[:2])
            now = monotonic_now()
            seconds = now - run.phase_since
            self._durations.setdefault(step_key, []).append((worker, seconds))
            if not run.step.is_long_running:
                self.durations.record(
                    self._duration_key(run), run.step, seconds, now
                )

    def expected_end(self, run: TrackedRun, now: float) -> float:
        """Return when a run will probably end, on the monotonic clock.

        Never before `now`, and infinity for a long-running run.
        """
        if run.phase in (Phase.STOPPING, Phase.STOPPED):
            return now + OVERDUE_SECONDS
        if run.ends_at is None:
            run.ends_at = (
                math.inf
                if run.step.is_long_running
                else run.phase_since
                + self.durations.expected_seconds(
                    self._duration_key(run), run.step
                )
            )
        if run.ends_at <= now:
            # It has outlasted what is expected of most.
            _, longest = self.durations.bounds_seconds(
                self._duration_key(run), run.step
            )
            run.ends_at = max(run.phase_since + longest, now + OVERDUE_SECONDS)
        return run.ends_at

    @contextlib.contextmanager
    def restored_estimates(self) -> Iterator[None]:
        """Restore the estimates of ends on exit, for a dry run."""
        runs = self._context.runs
        idle_at = dict(runs.idle_at_by_worker)
        ends = [(run, run.ends_at) for run in runs.by_name.values()]
        try:
            yield
        finally:
            runs.idle_at_by_worker.clear()
            runs.idle_at_by_worker.update(idle_at)
            for run, ends_at in ends:
                run.ends_at = ends_at

    def idle_at(self, worker: WorkerId, now: float) -> float:
        """Return when all runs on a worker have probably ended."""
        cache = self._context.runs.idle_at_by_worker
        idle_at = cache.get(worker, now)
        if idle_at <= now:
            runs = self._context.runs.by_worker.get(worker)
            if not runs:
                return now
            idle_at = cache[worker] = max(
                run.ends_at
                if run.ends_at is not None and run.ends_at > now
                else self.expected_end(run, now)
                for run in runs.values()
            )
        return idle_at

    def forget_job(self, job: JobId) -> None:
        """Drop the records of a job that has ended."""
        for records in (self._durations, self._workers_failed_on):
            for key in [key for key in records if key[0] == job]:
                del records[key]

    def _duration_key(self, run: TrackedRun) -> DurationKey:
        return duration_key(self._context.state.jobs[run.job], run.step)

    def _record_stall(self, run: TrackedRun) -> None:
        logger.info(
            "run stalled",
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
        """Return whether a run takes much longer than its siblings."""
        seconds = run.progress.projected_seconds()
        if run.step.is_long_running or seconds is None:
            return False
        sibling_seconds = self._median_sibling_seconds(run)
        return (
            sibling_seconds is not None
            and seconds > SLOW_FACTOR * sibling_seconds
        )

    def _ends_sooner_elsewhere(self, run: TrackedRun, now: float) -> bool:
        """Return whether a restart would end a run sooner.

        Returns False unless the run's worker is quarantined.
        """
        if not self.health.is_quarantined(run.incarnation.worker, now):
            return False
        sibling_seconds = self._median_sibling_seconds(run)
        left = run.progress.remaining_seconds()
        if sibling_seconds is None or left is None:
            return False
        return left > sibling_seconds + RESTART_COST_SECONDS

    def _median_sibling_seconds(self, run: TrackedRun) -> float | None:
        """Return the median duration of sibling tasks on other workers.

        Estimates of jobs are not used: on some queues they are wrong by a
        large factor.
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
