"""Ends of runs: as listed by workers, or inferred from expired leases."""

import asyncio
import logging

from galenarill.common import WorkerId, monotonic_now, wall_now
from galenarill.coordinator.crashes import CrashMonitor, LossCause
from galenarill.coordinator.progress import ProgressMonitor
from galenarill.coordinator.runs import (
    NO_MACHINE,
    UNKNOWN_START,
    Phase,
    TrackedRun,
)
from galenarill.coordinator.term import TermContext
from galenarill.jobs import Blame, EndRun, Incarnation, RunOutcome
from galenarill.placement import estimated_seconds
from galenarill.pools import OccupancyRatio
from galenarill.routing import Resources
from galenarill.telemetry import LocalCounter, meter
from galenarill.workers import (
    MAX_ORDER_DELAY_SECONDS,
    EndedRow,
    WorkerReport,
    WorkerSession,
)

__all__ = ["RunEndCommitter", "ALL_INCARNATIONS"]

logger = logging.getLogger(__name__)

_ENDS = LocalCounter("galenarill_runs_ended", "how")
_LOST_WORKERS = meter().create_counter("galenarill_workers_lost")
_EXPIRED_LEASES = meter().create_counter("galenarill_leases_lapsed")

# Time for a departed worker to stop its runs, in seconds.
DEPARTURE_GRACE_SECONDS = 0.3
# A bound for `born_before` that covers every incarnation of a worker.
ALL_INCARNATIONS = 1 << 62

_UNKNOWN_WORKER = WorkerReport(
    WorkerId(""), 0, 0, "", "", "", "", "", (), Resources()
)


class RunEndCommitter:
    """Commits the end of each run once.

    Attributes:
        occupancy: For how long runs occupy workers, by pool.
    """

    def __init__(
        self,
        context: TermContext,
        progress_monitor: ProgressMonitor,
        crash_monitor: CrashMonitor,
    ):
        """Create a committer for the term of `context`."""
        self.occupancy = OccupancyRatio()
        self._context = context
        self._crash_monitor = crash_monitor
        self._progress_monitor = progress_monitor
        self._pending_ends: set[tuple[str, int, int]] = set()

    async def end(
        self, run: TrackedRun, how: RunOutcome, checkpoint: str = ""
    ) -> None:
        """Commit the end of a run."""
        run_id = _run_id(run)
        if self.is_ending(run) or not self._context.is_tracked(run):
            return
        self._pending_ends.add(run_id)
        _ENDS.add(how.value)
        if (
            not checkpoint
            and run.row is not None
            and how is not RunOutcome.DONE
        ):
            checkpoint = run.row.checkpoint
        if how is RunOutcome.FAILED:
            self._progress_monitor.record_failure(run)
        elif how is RunOutcome.DONE:
            self._progress_monitor.record_success(run)
            self._record_occupancy(run)
        logger.info(
            "run ended",
            extra={
                "job": run.job,
                "task": run.name,
                "run": run.number,
                "worker": run.incarnation.worker,
                "how": how.value,
                "seconds": round(monotonic_now() - run.ordered_at, 3),
                "cpu": run.step.need.cpu,
            },
        )
        is_lost = how is RunOutcome.LOST
        try:
            await self._context.propose(
                EndRun(
                    run.job,
                    *run.key,
                    run.number,
                    run.member,
                    how.value,
                    checkpoint,
                    wall_now(),
                    run.blame if is_lost else Blame.NONE,
                    is_lost and run.is_sole_suspect,
                    run.survived_ms if is_lost else 0.0,
                    run.lost_within_ms if is_lost else 0.0,
                    run.machine if is_lost else NO_MACHINE,
                )
            )
        finally:
            self._pending_ends.discard(run_id)

    def _record_occupancy(self, run: TrackedRun) -> None:
        job = self._context.state.jobs.get(run.job)
        if job is not None and job.queue_settings is not None:
            self.occupancy.add(
                job.queue_settings.pool,
                run.step.reserved.cpu,
                estimated_seconds(run.step),
                monotonic_now() - run.ordered_at,
            )

    def is_ending(self, run: TrackedRun) -> bool:
        """Return whether the end of a run is being committed."""
        return _run_id(run) in self._pending_ends

    async def end_listed(self, run: TrackedRun, row: EndedRow) -> None:
        """Commit the end of a run as its worker lists it."""
        try:
            how = RunOutcome(row.how)
        except ValueError:
            logger.error(
                "unknown run outcome, treated as lost",
                extra={"task": row.task, "run": row.run, "how": row.how},
            )
            how = RunOutcome.LOST
        await self.end(run, how, row.checkpoint)

    def end_lost_runs(
        self, worker: WorkerId, cause: LossCause, born_before: int
    ) -> None:
        """Commit runs on incarnations older than `born_before` as lost."""
        lost = [
            run
            for run in self._context.runs.on_worker(worker)
            if run.incarnation.born < born_before and not self.is_ending(run)
        ]
        self._crash_monitor.assign_blame(lost, cause)
        self._commit_lost_runs(worker, cause, lost)

    def _commit_lost_runs(
        self, worker: WorkerId, cause: LossCause, lost: list[TrackedRun]
    ) -> None:
        self._log_loss(worker, cause, lost)
        for run in lost:
            logger.info(
                "run lost",
                extra={
                    "job": run.job,
                    "task": run.name,
                    "run": run.number,
                    "worker": worker,
                    "why": cause.value,
                },
            )
            self._context.spawn(self.end(run, RunOutcome.LOST))

    def _log_loss(
        self, worker: WorkerId, cause: LossCause, lost: list[TrackedRun]
    ) -> None:
        """Log a lost worker, and for how long each of its runs had run."""
        if not lost:
            return
        _LOST_WORKERS.add(1, {"why": cause.value})
        logger.info(
            "worker lost",
            extra={
                "worker": worker,
                "why": cause.value,
                # Task, run, milliseconds survived and lost within, blame, and
                # whether its job is the only suspect.
                "runs": [
                    [
                        run.name,
                        run.number,
                        round(run.survived_ms),
                        round(run.lost_within_ms),
                        run.blame.name.lower(),
                        run.is_sole_suspect,
                    ]
                    for run in lost
                ],
            },
        )

    def end_or_displace_runs(
        self, worker: WorkerId, cause: LossCause, born: int
    ) -> list[TrackedRun]:
        """Handle the runs of incarnations before the one that began at `born`.

        Runs that an earlier incarnation confirmed are committed as lost. The
        start order of any other run may have reached the later incarnation
        under the same id; such a run is assigned to that incarnation, whose
        lists decide.

        Returns:
            The runs that were assigned to the later incarnation.
        """
        displaced, lost = [], []
        earlier = [
            run
            for run in self._context.runs.on_worker(worker)
            if run.incarnation.born < born
        ]
        # The suspects of a crash include the runs that are assigned on.
        self._crash_monitor.assign_blame(
            [run for run in earlier if not self.is_ending(run)], cause
        )
        for run in earlier:
            if not run.is_confirmed or self._may_be_started_late(run):
                run.incarnation = Incarnation(worker, born)
                run.phase, run.phase_since = Phase.INHERITED, monotonic_now()
                run.row, run.progress = None, None
                run.is_confirmed, run.is_displaced = False, True
                run.is_start_acknowledged = False
                run.seen_from_ms, run.survived_ms = None, 0.0
                run.silent_since = None
                self._context.runs.note_starting(run)
                displaced.append(run)
            elif not self.is_ending(run):
                # Also a run that an earlier restart has assigned on, if the
                # incarnation that it was assigned to has confirmed it.
                lost.append(run)
        self._commit_lost_runs(worker, cause, lost)
        return displaced

    def _may_be_started_late(self, run: TrackedRun) -> bool:
        """Return whether an order to start a run may still be carried out."""
        if run.start_sent_at == UNKNOWN_START:
            # The earlier leader may have sent one without an answer.
            settled_at = self._context.began_at + MAX_ORDER_DELAY_SECONDS
            if monotonic_now() < settled_at:
                return True
        return run.has_unanswered_start or run.is_start_awaited

    async def end_lost_runs_later(self, report: WorkerReport) -> None:
        """Commit a departed worker's runs as lost after a grace period."""
        await asyncio.sleep(DEPARTURE_GRACE_SECONDS)
        self.end_lost_runs(report.worker, LossCause.LEFT, report.born + 1)

    def end_runs_with_expired_lease(self, now: float) -> None:
        """Commit runs as lost if their worker's lease has certainly expired."""
        for worker in list(self._context.runs.by_worker):
            if not self._context.runs.on_worker(worker):
                continue
            session = self._context.sessions.get(worker)
            if now > self._lease_expires_at(worker, session):
                _EXPIRED_LEASES.add(1)
                logger.info(
                    "lease ended",
                    extra={
                        "worker": worker,
                        "term": self._context.term_number,
                        "since_election": round(
                            now - self._context.began_at, 3
                        ),
                        "lease": session and session.describe_lease(now),
                    },
                )
                if session is not None:
                    session.is_synced, session.has_lapsed = False, True
                self.end_lost_runs(
                    worker, LossCause.LEASE_ENDED, ALL_INCARNATIONS
                )

    def _lease_expires_at(
        self, worker: WorkerId, session: WorkerSession | None
    ) -> float:
        """Return when all leases on a worker have expired, on our own clock."""
        expires_at = session.expires_at() if session else float("-inf")
        if session is None or any(
            run.incarnation.born > session.report.born
            for run in self._context.runs.on_worker(worker)
        ):
            # This incarnation has not reported in this term, but an earlier
            # leader may have granted it a lease. Its runs end with that.
            unreported = WorkerSession(
                _UNKNOWN_WORKER,
                self._context.began_at,
                self._context.max_lease_seconds,
            )
            expires_at = max(expires_at, unreported.expires_at())
        return expires_at


def _run_id(run: TrackedRun) -> tuple[str, int, int]:
    return run.name, run.number, run.member
