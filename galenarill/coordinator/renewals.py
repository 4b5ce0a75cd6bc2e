"""Lease renewals of workers, and the run lists in their answers."""

import asyncio
import collections
import logging
import math

import msgspec

from galenarill.common import WorkerId, monotonic_now
from galenarill.coordinator.crashes import CrashMonitor, LossCause
from galenarill.coordinator.endings import ALL_INCARNATIONS, RunEndCommitter
from galenarill.coordinator.orders import RunOrders
from galenarill.coordinator.progress import ProgressMonitor
from galenarill.coordinator.runs import Phase, TrackedRun
from galenarill.coordinator.term import RETRY_SECONDS, TermContext
from galenarill.coordinator.throttling import BestEffortThrottle
from galenarill.errors import NotLeaderError
from galenarill.jobs import Blame, Incarnation, RunOutcome
from galenarill.telemetry import meter
from galenarill.workers import (
    KnownWorker,
    OrderAnswer,
    Verdict,
    WorkerLists,
    WorkerReport,
    WorkerSession,
    begins_in_future,
    worst_case_seconds,
)

__all__ = ["LeaseRenewer"]

logger = logging.getLogger(__name__)

_REPEATED = meter().create_counter("galenarill_renewals_repeated")

# How long a worker without runs may hold a renewal open, in milliseconds. Its
# lease matters from its next start on, which grants one of its own.
IDLE_RENEWAL_HOLD_MS = 1200
# The same while it isn't known whether a run began on an earlier incarnation,
# or crashes the worker, or whether the worker has left.
SHORT_RENEWAL_HOLD_MS = 50
# Number of fencing tokens reserved for the sessions with a worker in one term.
SESSIONS_PER_TERM = 1 << 20


class LeaseRenewer:
    """Keeps one renewal open at each worker and processes its run lists."""

    def __init__(
        self,
        context: TermContext,
        run_orders: RunOrders,
        end_committer: RunEndCommitter,
        progress_monitor: ProgressMonitor,
        crash_monitor: CrashMonitor,
        best_effort_throttle: BestEffortThrottle,
    ):
        """Create a renewer for the term of `context`."""
        self._best_effort_throttle = best_effort_throttle
        self._context = context
        self._run_orders = run_orders
        self._end_committer = end_committer
        self._progress_monitor = progress_monitor
        self._crash_monitor = crash_monitor
        self._tasks: dict[WorkerId, asyncio.Task] = {}
        # Number of sessions with each worker id in this term.
        self._session_counts: collections.Counter[WorkerId] = (
            collections.Counter()
        )

    def note_report(self, known: KnownWorker) -> None:
        """Handle the latest report of a worker."""
        report = known.report
        session = self._context.sessions.get(report.worker)
        if session is not None and session.report.born == report.born:
            if session.is_provisional or _may_change_placement(
                session.report, report
            ):
                self._context.wake.set()
            session.report = report
            session.is_provisional = False
            return
        if session is not None and session.report.born > report.born:
            return
        if self._is_superseded(report):
            self._crash_monitor.note_replaced(_incarnation(report))
            return
        if session is not None:
            self._crash_monitor.note_replaced(_incarnation(session.report))
            self.drop_session(session, "a later life has begun")
        self._replace_others_on_machine(report)
        self._open_session(report, known.known_since)

    def note_departure(self, session: WorkerSession) -> None:
        """Handle the notice that a worker has left.

        Notices name no incarnation and may be late, so this one may be about
        an earlier incarnation. Renewals go on: an answer refutes the notice,
        and the runs are lost once it is confirmed or their lease has expired.
        """
        session.departure_noted_at = monotonic_now()

    def _open_session(
        self,
        report: WorkerReport,
        known_since: float,
        *,
        is_provisional: bool = False,
    ) -> None:
        """Begin to renew the lease of an incarnation of a worker.

        Args:
            report: Report of the worker.
            known_since: When the incarnation was first heard of, on the
                monotonic clock; negative infinity if its id is new.
            is_provisional: Whether only `report.born` describes it.
        """
        number = self._session_counts[report.worker]
        self._session_counts[report.worker] = number + 1
        session = WorkerSession(
            report,
            self._context.began_at,
            self._context.max_lease_seconds,
            self._context.term_number * SESSIONS_PER_TERM
            + min(number, SESSIONS_PER_TERM - 1),
            known_since,
            is_provisional,
        )
        self._context.sessions[report.worker] = session
        if self._end_committer.end_or_displace_runs(
            report.worker, LossCause.RESTARTED, report.born
        ):
            # Start orders carry the end of a lease on the clock of the earlier
            # incarnation, which means nothing on this one's.
            session.assume_lease_until(
                monotonic_now()
                + worst_case_seconds(self._context.max_lease_seconds)
            )
        self._tasks[report.worker] = self._context.spawn(self._renew(session))
        logger.info(
            "worker found",
            extra={
                "provisional": session.is_provisional,
                "worker": report.worker,
                "born": report.born,
                "pool": report.pool,
                "machine": report.machine,
                "address": report.address,
                "token": session.token,
                "is_id_new": math.isinf(known_since),
            },
        )

    def drop_session(self, session: WorkerSession, why: str) -> None:
        """Forget an incarnation of a worker and stop renewing its lease."""
        report = session.report
        logger.info(
            "worker session dropped",
            extra={"worker": report.worker, "born": report.born, "why": why},
        )
        if self._context.sessions.get(report.worker) is session:
            del self._context.sessions[report.worker]
            self._progress_monitor.health.forget(report.worker)
        task = self._tasks.pop(report.worker, None)
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def _is_superseded(self, report: WorkerReport) -> bool:
        """Return whether a later worker is known on the same machine."""
        return bool(report.machine) and any(
            other.report.machine == report.machine
            and other.report.born > report.born
            for other in self._context.sessions.values()
        )

    def _replace_others_on_machine(self, report: WorkerReport) -> None:
        for other in list(self._context.sessions.values()):
            if report.machine and other.report.machine == report.machine:
                self._crash_monitor.note_replaced(_incarnation(other.report))
                self.drop_session(other, LossCause.REPLACED.value)
                self._end_committer.end_lost_runs(
                    other.report.worker, LossCause.REPLACED, ALL_INCARNATIONS
                )

    async def _renew(self, session: WorkerSession) -> None:
        is_answering = True
        while self._context.sessions.get(session.report.worker) is session:
            if not self._context.has_leader_lease():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            sent_at = monotonic_now()
            try:
                answer = await self._send(session, sent_at, is_answering)
                if (
                    is_answering
                    and answer.verdict is Verdict.NO_ANSWER
                    and self._context.timeouts.repeats_at_once
                ):
                    sent_at = monotonic_now()
                    answer = await self._send_again(session)
            except Exception:
                # The lease lapses unless a later renewal succeeds.
                logger.exception(
                    "lease not renewed",
                    extra={"worker": session.report.worker},
                )
                answer = OrderAnswer(Verdict.NO_ANSWER)
            was_answering = is_answering
            is_answering = answer.verdict is Verdict.DONE
            if session.departure_noted_at is not None and self._has_left(
                session, answer, sent_at
            ):
                self._end_departed(session)
                return
            if is_answering:
                try:
                    await self._process_lists(session, answer.lists, sent_at)
                except NotLeaderError:
                    raise
                except Exception:
                    # Without renewals all runs of the worker would be lost.
                    logger.exception(
                        "lists not processed",
                        extra={"worker": session.report.worker},
                    )
                    await asyncio.sleep(RETRY_SECONDS)
            if is_answering != was_answering:
                self._log_reachability(session, answer)
                self._context.wake.set()
                if is_answering:
                    self._crash_monitor.note_answering(session.report.worker)
            if not is_answering:
                now = monotonic_now()
                session.note_silence()
                self._crash_monitor.note_silent(session.report.worker, now)
                await asyncio.sleep(RETRY_SECONDS)

    async def _send(
        self, session: WorkerSession, now: float, is_answering: bool
    ) -> OrderAnswer:
        # After silence another incarnation may answer, whose ends have numbers
        # of their own.
        acknowledged = session.unsent_acknowledgement if is_answering else 0
        answer = await self._context.client.renew(
            session.report,
            session.token,
            acknowledged,
            # The lease of a worker that does not answer has to expire.
            session.grant_until_ms(now) if is_answering else None,
            self._hold_ms(session) if is_answering else 0,
            self._context.timeouts.first_seconds
            if is_answering
            else self._context.timeouts.repeated_seconds,
        )
        if answer.verdict is Verdict.DONE:
            session.record_acknowledged(acknowledged)
        self._context.record_clock(session, answer)
        return answer

    async def _send_again(self, session: WorkerSession) -> OrderAnswer:
        """Repeat a renewal that got no answer, without extending the lease."""
        _REPEATED.add(1)
        answer = await self._context.client.renew(
            session.report,
            session.token,
            # Another incarnation may answer.
            0,
            None,
            0,
            self._context.timeouts.second_renewal_seconds,
        )
        self._context.record_clock(session, answer)
        return answer

    def _has_left(
        self, session: WorkerSession, answer: OrderAnswer, sent_at: float
    ) -> bool:
        """Return whether an answer confirms the notice that a worker has left.

        An answer of the incarnation itself withdraws the notice, unless it
        drains: then it gets no starts in any case, and may be about to end.
        """
        if sent_at <= session.departure_noted_at:
            return False
        if answer.verdict in (Verdict.NO_LISTENER, Verdict.OTHER_INCARNATION):
            return True
        if answer.verdict is Verdict.DONE:
            is_current = answer.lists.born in (None, session.report.born)
            if not is_current or self._context.is_draining(session):
                return False
            logger.warning(
                "notice of a departure ignored, the worker answers",
                extra={
                    "worker": session.report.worker,
                    "born": session.report.born,
                },
            )
            session.departure_noted_at = None
            self._context.wake.set()
            return False
        return monotonic_now() > session.expires_at()

    def _end_departed(self, session: WorkerSession) -> None:
        """Handle the confirmed departure of a worker."""
        report = session.report
        self._crash_monitor.note_left(_incarnation(report))
        self._end_committer.end_lost_runs(
            report.worker, LossCause.LEFT, report.born + 1
        )
        self.drop_session(session, "it has left")

    def _hold_ms(self, session: WorkerSession) -> int:
        if not session.is_synced:
            return 0
        if session.departure_noted_at is not None:
            return SHORT_RENEWAL_HOLD_MS
        runs = self._context.runs.by_worker.get(session.report.worker)
        if not runs:
            return IDLE_RENEWAL_HOLD_MS
        if any(
            run.is_displaced or self._crash_monitor.is_on_trial(run)
            for run in runs.values()
        ):
            return SHORT_RENEWAL_HOLD_MS
        return self._context.timeouts.renewal_hold_ms(
            sum(not run.step.is_long_running for run in runs.values())
        )

    def _log_reachability(
        self, session: WorkerSession, answer: OrderAnswer
    ) -> None:
        logger.warning(
            "worker answers again"
            if answer.verdict is Verdict.DONE
            else "worker does not answer",
            extra={
                "worker": session.report.worker,
                "verdict": answer.verdict.value,
                "term": self._context.term_number,
            },
        )

    async def _process_lists(
        self, session: WorkerSession, lists: WorkerLists, sent_at: float
    ) -> None:
        report = session.report
        if lists.born is not None and lists.born != report.born:
            if lists.born < report.born or begins_in_future(lists.born):
                return
            self._crash_monitor.note_replaced(_incarnation(report))
            # Its own report follows. Until then it gets no starts.
            self.drop_session(session, "a later life answers")
            self._open_session(
                msgspec.structs.replace(report, born=lists.born),
                monotonic_now(),
                is_provisional=True,
            )
            return
        session.record_lists(monotonic_now())
        ends = []
        for row in lists.ended:
            run = self._find_run(session, row.task, row.run)
            if run is not None and row.number > session.acknowledged_end:
                ends.append(self._end_committer.end_listed(run, row))
        session.has_unknown_runs = False
        for row in lists.running:
            run = self._find_run(session, row.task, row.run)
            if run is not None:
                run.row_requested_at = sent_at
                run.is_confirmed, run.machine = True, report.machine
                run.note_alive(lists.clock_ms)
                self._crash_monitor.note_listed(run)
            else:
                session.has_unknown_runs = True
                self._context.spawn(
                    self._run_orders.stop_unknown_run(
                        session, row.task, row.run
                    )
                )
                continue
            if self._progress_monitor.update_progress(run, row):
                self._run_orders.request_restart(run)
            if run.phase is Phase.INHERITED:
                self._adopt_inherited(run)
        listed = {(row.task, row.run) for row in lists.running + lists.ended}
        if not lists.is_cut_off:
            self._handle_unlisted_runs(session, listed, sent_at)
        if not session.is_synced:
            if session.has_lapsed:
                logger.info(
                    "worker survived the end of its lease",
                    extra={"worker": report.worker, "born": report.born},
                )
                session.has_lapsed = False
            session.is_synced = True
            self._context.wake.set()
        self._best_effort_throttle.adjust_speeds(session)
        await asyncio.gather(*ends)
        if lists.ended:
            last = max(row.number for row in lists.ended)
            session.acknowledged_end = max(session.acknowledged_end, last)

    def _adopt_inherited(self, run: TrackedRun) -> None:
        run.phase, run.phase_since = Phase.RUNNING, monotonic_now()
        run.is_displaced, run.blame = False, Blame.NONE
        if not self._context.is_wanted(run):
            self._run_orders.request_stop(run)

    def _handle_unlisted_runs(
        self, session: WorkerSession, listed: set, sent_at: float
    ) -> None:
        """Handle runs that the worker lists neither as running nor as ended."""
        for run in self._context.runs.on_worker(session.report.worker):
            if (run.name, run.number) in listed:
                continue
            if run.incarnation.born != session.report.born:
                continue
            if run.phase is Phase.INHERITED:
                # The stop also bars a start order that arrives late.
                if self._context.is_wanted(run) and not run.is_displaced:
                    run.has_unanswered_start = True
                    self._context.spawn(self._run_orders.start(run))
                else:
                    self._run_orders.request_stop(run)
            elif run.phase is Phase.STOPPED and run.phase_since < sent_at:
                self._context.spawn(
                    self._end_committer.end(run, RunOutcome.LOST)
                )
            elif run.phase is Phase.RUNNING and run.phase_since < sent_at:
                self._context.spawn(self._run_orders.start(run))

    def _find_run(
        self, session: WorkerSession, task: str, number: int
    ) -> TrackedRun | None:
        run = self._context.runs.by_name.get((task, number))
        if run is None or self._context.session_of(run) is not session:
            return None
        return run


def _incarnation(report: WorkerReport) -> Incarnation:
    return Incarnation(report.worker, report.born)


def _may_change_placement(before: WorkerReport, after: WorkerReport) -> bool:
    """Return whether a report can make another placement possible."""
    return (
        after.pool != before.pool
        or after.capacity != before.capacity
        or after.labels != before.labels
        or after.is_draining != before.is_draining
    )
