"""Throttles best-effort tasks to protect latency targets of other tasks."""

import logging

from galenarill.common import monotonic_now
from galenarill.coordinator.runs import Phase, TrackedRun
from galenarill.coordinator.term import TermContext
from galenarill.workers import Verdict, WorkerSession, next_speed

__all__ = ["BestEffortThrottle"]

logger = logging.getLogger(__name__)

# Time between two speed changes on one worker, in seconds. The platform
# measures tail latency over the last half second.
ADJUSTMENT_PERIOD_SECONDS = 0.6


class BestEffortThrottle:
    """Sets the speed of best-effort tasks from tail latency on their worker."""

    def __init__(self, context: TermContext):
        """Create a throttle for the runs of `context`."""
        self._context = context
        self._next_adjustment_at: dict[str, float] = {}

    def adjust_speeds(self, session: WorkerSession) -> None:
        """Adjust a worker's best-effort tasks after it has listed its runs."""
        worker = session.report.worker
        runs = [
            run
            for run in self._context.runs.on_worker(worker)
            if run.phase is Phase.RUNNING and run.row is not None
        ]
        best_effort_runs = [run for run in runs if run.step.is_best_effort]
        now = monotonic_now()
        if not best_effort_runs or now < self._next_adjustment_at.get(
            worker, 0
        ):
            return
        self._next_adjustment_at[worker] = now + ADJUSTMENT_PERIOD_SECONDS
        worst_ratio = max(
            (
                run.row.load / run.step.target_ms
                for run in runs
                if run.step.target_ms and not run.step.is_best_effort
            ),
            default=0.0,
        )
        for run in best_effort_runs:
            percent = next_speed(run.speed_percent, worst_ratio)
            if percent != run.speed_percent:
                self._context.spawn(
                    self._set_speed(session, run, percent, worst_ratio)
                )

    async def _set_speed(
        self,
        session: WorkerSession,
        run: TrackedRun,
        percent: int,
        worst_ratio: float,
    ) -> None:
        if not self._context.has_leader_lease():
            return
        answer = await self._context.client.throttle(
            session.report,
            run.name,
            run.number,
            percent,
            session.token,
        )
        if answer.verdict is Verdict.DONE:
            run.speed_percent = percent
        logger.info(
            "pace set",
            extra={
                "job": run.job,
                "task": run.name,
                "worker": session.report.worker,
                "percent": percent,
                "worst_share": round(worst_ratio, 3),
                "verdict": answer.verdict.value,
            },
        )
