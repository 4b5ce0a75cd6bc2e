"""Starts and stops of runs, until it is known what became of them."""

import asyncio
import logging

from galenarill.coordinator.advisor import Advisor
from galenarill.coordinator.endings import Endings
from galenarill.coordinator.runs import Phase, TrackedRun
from galenarill.coordinator.term import RETRY_SECONDS, Term
from galenarill.jobs import End
from galenarill.telemetry import meter
from galenarill.workers import Contact, OrderAnswer, StartOrder, Verdict
from galenarill.world import WorkerId, steady_now

__all__ = ["RunOrders"]

logger = logging.getLogger(__name__)

_STARTS = meter().create_counter("galenarill_starts")

# A worker that refused a start gets none for this long, in seconds.
REFUSED_SECONDS = 0.3


class RunOrders:
    """Orders to start and stop runs, repeated while they have no answer."""

    def __init__(self, term: Term, endings: Endings, advisor: Advisor):
        """Order runs of `term`, and tell `endings` which never ran."""
        self._term = term
        self._advisor = advisor
        self._endings = endings
        self._refused_until: dict[WorkerId, float] = {}

    def has_refused(self, worker: WorkerId, now: float) -> bool:
        """Tell whether a worker has just refused a start."""
        return self._refused_until.get(worker, 0) > now

    async def start(self, run: TrackedRun) -> None:
        """Tell the worker, until it is known what became of the run."""
        if run.phase in (Phase.STOPPING, Phase.STOPPED):
            return
        run.phase = Phase.STARTING
        while self._term.is_wanted(run) and run.phase is Phase.STARTING:
            contact = self._term.contact_of(run)
            if contact is None:
                return
            if self._term.is_draining(contact):
                await self._give_up(run)
                return
            if self._term.is_confirmed() and self._term.is_answering(contact):
                task = self._term.state.jobs[run.job].tasks[run.key]
                checkpoint = task.checkpoint
                answer = await self._send_start(run, contact, checkpoint)
                if await self._note_start(run, answer, checkpoint):
                    return
            await asyncio.sleep(RETRY_SECONDS)

    def stop_soon(self, run: TrackedRun) -> None:
        """Stop a run, if that is not under way."""
        if run.phase not in (Phase.STOPPING, Phase.STOPPED):
            run.phase, run.since = Phase.STOPPING, steady_now()
            self._term.spawn(self._stop(run))

    async def stop_unknown(
        self, contact: Contact, task: str, number: int
    ) -> None:
        """Stop a run that the state does not hold."""
        logger.warning(
            "unknown run stopped",
            extra={
                "task": task,
                "run": number,
                "worker": contact.report.worker,
            },
        )
        await self._term.client.stop(
            contact.report, task, number, self._term.number
        )

    async def _send_start(
        self, run: TrackedRun, contact: Contact, checkpoint: str
    ) -> OrderAnswer:
        until_ms = contact.next_until_ms(steady_now())
        answer = await self._term.client.start(
            contact.report,
            StartOrder(
                run.name,
                run.number,
                self._term.state.jobs[run.job].spec.payload,
                until_ms,
                self._term.number,
                checkpoint,
                self._advisor.ticket_of(run),
            ),
        )
        self._term.note_clock(contact, answer)
        _STARTS.add(1, {"verdict": answer.verdict.value})
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

    async def _note_start(
        self, run: TrackedRun, answer: OrderAnswer, checkpoint: str
    ) -> bool:
        """Act on the answer to a start; tell whether no more are needed."""
        match answer.verdict:
            case Verdict.DONE:
                if run.phase is Phase.STARTING:
                    run.is_whole = not run.was_unanswered and not checkpoint
                    run.phase, run.since = Phase.RUNNING, steady_now()
                return True
            case Verdict.NO_ANSWER:
                run.was_unanswered = True
                return False
            case Verdict.FENCED | Verdict.OTHER_LIFE:
                return False
            case Verdict.OLD:
                # Its end is in the worker's list; without one it never ran.
                run.phase, run.since = Phase.STOPPED, steady_now()
                return True
        if answer.verdict is Verdict.NO_TICKET:
            self._advisor.drop(run)
        worker = run.incarnation.worker
        self._refused_until[worker] = steady_now() + REFUSED_SECONDS
        await self._give_up(run)
        return True

    async def _give_up(self, run: TrackedRun) -> None:
        """Free a run that has not started to be placed elsewhere."""
        if run.was_unanswered:
            # An earlier order may still be carried out.
            self.stop_soon(run)
        else:
            await self._endings.end(run, End.REJECTED)

    async def _stop(self, run: TrackedRun) -> None:
        while self._term.is_tracked(run) and run.phase is Phase.STOPPING:
            contact = self._term.contact_of(run)
            if contact is None:
                return
            if self._term.is_confirmed():
                answer = await self._term.client.stop(
                    contact.report, run.name, run.number, self._term.number
                )
                self._term.note_clock(contact, answer)
                if answer.verdict in (Verdict.DONE, Verdict.OLD):
                    run.phase, run.since = Phase.STOPPED, steady_now()
                    return
            await asyncio.sleep(RETRY_SECONDS)
