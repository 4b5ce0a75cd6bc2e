"""Start and stop orders, retried until their outcome is known."""

import asyncio
import logging

from galenarill.common import WorkerId, monotonic_now
from galenarill.coordinator.advisor import Advisor
from galenarill.coordinator.disruptions import DisruptionMonitor
from galenarill.coordinator.endings import RunEndCommitter
from galenarill.coordinator.runs import Phase, TrackedRun
from galenarill.coordinator.term import RETRY_SECONDS, TermContext
from galenarill.jobs import RunOutcome
from galenarill.routing import Resources
from galenarill.telemetry import LocalCounter
from galenarill.workers import OrderAnswer, StartOrder, Verdict, WorkerSession

__all__ = ["RunOrders"]

logger = logging.getLogger(__name__)

_STARTS = LocalCounter("galenarill_starts", "verdict")

# Time without new starts for a worker that refused one, in seconds.
REFUSAL_BACKOFF_SECONDS = 0.3


class RunOrders:
    """Sends start and stop orders, and retries those without an answer."""

    def __init__(
        self,
        context: TermContext,
        end_committer: RunEndCommitter,
        advisor: Advisor,
        disruptions: DisruptionMonitor,
    ):
        """Create orders for the term of `context`."""
        self._context = context
        self._disruptions = disruptions
        self._advisor = advisor
        self._end_committer = end_committer
        self._backoff_until: dict[WorkerId, float] = {}

    def has_recently_refused(self, worker: WorkerId, now: float) -> bool:
        """Return whether a worker is in backoff after refusing a start."""
        return self._backoff_until.get(worker, 0) > now

    async def start(self, run: TrackedRun) -> None:
        """Send the start order until its outcome is known."""
        if run.phase in (Phase.STOPPING, Phase.STOPPED):
            return
        run.phase = Phase.STARTING
        while (
            self._context.is_wanted(run)
            and run.phase is Phase.STARTING
            and not self._end_committer.is_ending(run)
        ):
            session = self._context.session_of(run)
            if session is None:
                if not run.has_unanswered_start:
                    # The incarnation ended before its start was committed.
                    await self._end_committer.end(run, RunOutcome.REJECTED)
                return
            if self._context.is_evacuated(session):
                self._log_withheld(run, session)
                await self._release_unstarted(run)
                return
            if self._context.is_draining(session) or not self._has_room(
                run, session
            ):
                await self._release_unstarted(run)
                return
            if (
                self._context.has_leader_lease()
                and self._context.is_answering(session)
                and not session.has_unknown_runs
            ):
                task = self._context.state.jobs[run.job].tasks[run.key]
                checkpoint = task.checkpoint
                is_repeated = run.has_unanswered_start
                answer = await self._send_start(run, session, checkpoint)
                if await self._handle_start_answer(run, answer, checkpoint):
                    return
                if (
                    answer.verdict is Verdict.NO_ANSWER
                    and self._context.timeouts.repeats_at_once
                    and not is_repeated
                ):
                    continue
            await asyncio.sleep(RETRY_SECONDS)

    def _log_withheld(self, run: TrackedRun, session: WorkerSession) -> None:
        logger.info(
            "start withheld",
            extra={
                "job": run.job,
                "task": run.name,
                "run": run.number,
                "worker": run.incarnation.worker,
                "zone": session.report.zone,
                "is_unanswered": run.has_unanswered_start,
            },
        )

    def _has_room(self, run: TrackedRun, session: WorkerSession) -> bool:
        """Return whether a run fits its worker, whose capacity may have shrunk.

        Of the runs that start at the same time, the first ones come first.
        """
        capacity = session.report.capacity
        worker = session.report.worker
        runs = self._context.runs
        if runs.reserved_by_worker[worker].fits(capacity):
            return True
        needed, is_before = Resources(), True
        for other in runs.on_worker(worker):
            if is_before or other.phase is not Phase.STARTING:
                needed = needed.plus(other.step.reserved)
            if other is run:
                is_before = False
        return needed.fits(capacity)

    def request_stop(self, run: TrackedRun) -> None:
        """Stop a run unless it is already stopping or stopped."""
        if run.phase not in (Phase.STOPPING, Phase.STOPPED):
            run.phase, run.phase_since = Phase.STOPPING, monotonic_now()
            self._context.spawn(self._stop(run, keeps_budget=False))

    def request_restart(self, run: TrackedRun) -> None:
        """Stop a run whose task is to run elsewhere.

        The disruption budget of its step is kept at each attempt, since an
        attempt may come long after the request. If the budget doesn't
        allow the first one, the run goes on.
        """
        if run.phase is Phase.RUNNING:
            run.phase, run.phase_since = Phase.STOPPING, monotonic_now()
            self._context.spawn(self._stop(run, keeps_budget=True))

    async def stop_unknown_run(
        self, session: WorkerSession, task: str, number: int
    ) -> None:
        """Stop a run that is not in the replicated state."""
        logger.warning(
            "unknown run stopped",
            extra={
                "task": task,
                "run": number,
                "worker": session.report.worker,
            },
        )
        await self._context.client.stop(
            session.report, task, number, session.token
        )

    async def _send_start(
        self, run: TrackedRun, session: WorkerSession, checkpoint: str
    ) -> OrderAnswer:
        now = monotonic_now()
        until_ms = session.grant_until_ms(now)
        run.machine = session.report.machine
        if run.start_sent_at is None:
            run.start_sent_at = now
        timeouts = self._context.timeouts
        run.is_start_awaited = True
        answer = await self._context.client.start(
            session.report,
            StartOrder(
                run.name,
                run.number,
                self._context.state.jobs[run.job].spec.payload,
                until_ms,
                session.token,
                checkpoint,
                self._advisor.ticket_of(run),
            ),
            timeouts.repeated_seconds
            if run.has_unanswered_start
            else timeouts.first_seconds,
        )
        run.is_start_awaited = False
        if (
            answer.verdict is Verdict.DONE
            and answer.clock_ms is not None
            and self._context.session_of(run) is session
        ):
            run.is_start_acknowledged = True
            run.note_alive(answer.clock_ms)
        self._context.record_clock(session, answer)
        _STARTS.add(answer.verdict.value)
        if answer.verdict is not Verdict.DONE:
            logger.info(
                "start answered",
                extra={
                    "job": run.job,
                    "task": run.name,
                    "run": run.number,
                    "worker": run.incarnation.worker,
                    "verdict": answer.verdict.value,
                },
            )
        return answer

    async def _handle_start_answer(
        self, run: TrackedRun, answer: OrderAnswer, checkpoint: str
    ) -> bool:
        """Handle the answer to a start order; return whether it is final."""
        match answer.verdict:
            case Verdict.DONE:
                if run.phase is Phase.STARTING:
                    run.covers_whole_task = (
                        not run.has_unanswered_start and not checkpoint
                    )
                    run.phase, run.phase_since = Phase.RUNNING, monotonic_now()
                return True
            case Verdict.NO_ANSWER:
                run.has_unanswered_start = True
                return False
            case (
                Verdict.FENCED | Verdict.OTHER_INCARNATION | Verdict.NO_LISTENER
            ):
                return False
            case Verdict.OLD:
                # The worker lists its end, unless it never ran.
                run.phase, run.phase_since = Phase.STOPPED, monotonic_now()
                return True
        if answer.verdict is Verdict.NO_TICKET:
            self._advisor.discard_ticket(run)
        worker = run.incarnation.worker
        self._backoff_until[worker] = monotonic_now() + REFUSAL_BACKOFF_SECONDS
        await self._release_unstarted(run)
        return True

    def _may_restart(self, run: TrackedRun) -> bool:
        """Return whether a task that may serve can be stopped now."""
        is_below_capacity = run.row is not None and run.row.percent < 100
        return is_below_capacity or self._disruptions.allows_end_of([run])

    async def _release_unstarted(self, run: TrackedRun) -> None:
        """Release a run that has not started, to be placed elsewhere."""
        if run.has_unanswered_start:
            # The worker may still carry out an unanswered order.
            self.request_stop(run)
        else:
            await self._end_committer.end(run, RunOutcome.REJECTED)

    async def _stop(self, run: TrackedRun, *, keeps_budget: bool) -> None:
        is_sent = False
        while self._context.is_tracked(run) and run.phase is Phase.STOPPING:
            # Without a session its worker may still be found: a new leader
            # learns of workers by their reports.
            session = self._context.session_of(run)
            if keeps_budget and not self._may_restart(run):
                if not is_sent:
                    run.phase, run.phase_since = Phase.RUNNING, monotonic_now()
                    return
            elif session is not None and self._context.has_leader_lease():
                is_sent = True
                answer = await self._context.client.stop(
                    session.report,
                    run.name,
                    run.number,
                    session.token,
                )
                self._context.record_clock(session, answer)
                if answer.verdict in (Verdict.DONE, Verdict.OLD):
                    run.phase, run.phase_since = Phase.STOPPED, monotonic_now()
                    return
            await asyncio.sleep(RETRY_SECONDS)
