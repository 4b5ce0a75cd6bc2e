"""Lives of workers, their leases, and the lists that they answer with."""

import asyncio
import logging

from galenarill.coordinator.endings import ANY_LIFE, Endings
from galenarill.coordinator.orders import RunOrders
from galenarill.coordinator.progress import ProgressWatch
from galenarill.coordinator.runs import Phase, TrackedRun
from galenarill.coordinator.sharing import Sharing
from galenarill.coordinator.term import RETRY_SECONDS, Term
from galenarill.jobs import End
from galenarill.workers import (
    Contact,
    OrderAnswer,
    Verdict,
    WorkerLists,
    WorkerReport,
)
from galenarill.world import WorkerId, steady_now

__all__ = ["Renewals"]

logger = logging.getLogger(__name__)

# How long a worker may hold a renewal open for an end, in milliseconds: a
# fifth of the lease, so that several renewals can be lost.
RENEW_WAIT_MS = 600


class Renewals:
    """Keeps one renewal open at each worker, and acts on its lists."""

    def __init__(
        self,
        term: Term,
        orders: RunOrders,
        endings: Endings,
        progress: ProgressWatch,
        sharing: Sharing,
    ):
        """Renew leases in `term`."""
        self._sharing = sharing
        self._term = term
        self._orders = orders
        self._endings = endings
        self._progress = progress
        self._tasks: dict[WorkerId, asyncio.Task] = {}

    def note_report(self, report: WorkerReport) -> None:
        """Take in the latest report of a worker."""
        contact = self._term.contacts.get(report.worker)
        if contact is not None and contact.report.born == report.born:
            contact.report = report
            self._term.wake.set()
            return
        if self._is_outdated(report):
            return
        if contact is not None:
            self.end_life(contact, "a later life has begun")
        self._end_others_on_machine(report)
        contact = Contact(report, self._term.since)
        self._term.contacts[report.worker] = contact
        # Runs noted for an earlier life of this worker are dead.
        self._endings.lose(
            report.worker, "an earlier life is over", report.born
        )
        self._tasks[report.worker] = self._term.spawn(self._renew(contact))
        logger.info(
            "worker found",
            extra={
                "worker": report.worker,
                "born": report.born,
                "pool": report.pool,
                "machine": report.machine,
                "address": report.address,
            },
        )

    def end_life(self, contact: Contact, why: str) -> None:
        """Stop dealing with a life of a worker."""
        report = contact.report
        logger.info(
            "worker's life is over",
            extra={"worker": report.worker, "born": report.born, "why": why},
        )
        if self._term.contacts.get(report.worker) is contact:
            del self._term.contacts[report.worker]
            self._progress.health.forget(report.worker)
        task = self._tasks.pop(report.worker, None)
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def _is_outdated(self, report: WorkerReport) -> bool:
        """Tell whether a later worker is known on the same machine."""
        return bool(report.machine) and any(
            other.report.machine == report.machine
            and other.report.born > report.born
            for other in self._term.contacts.values()
        )

    def _end_others_on_machine(self, report: WorkerReport) -> None:
        for other in list(self._term.contacts.values()):
            if report.machine and other.report.machine == report.machine:
                why = "a later worker has its machine"
                self.end_life(other, why)
                self._endings.lose(other.report.worker, why, ANY_LIFE)

    async def _renew(self, contact: Contact) -> None:
        is_answering = True
        while self._term.contacts.get(contact.report.worker) is contact:
            if not self._term.is_confirmed():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            sent_at = steady_now()
            answer = await self._send(contact, sent_at, is_answering)
            was_answering = is_answering
            is_answering = answer.verdict is Verdict.DONE
            if is_answering:
                await self._note_lists(contact, answer.lists, sent_at)
            if is_answering != was_answering:
                self._log_change(contact, answer)
            if not is_answering:
                await asyncio.sleep(RETRY_SECONDS)

    async def _send(
        self, contact: Contact, now: float, is_answering: bool
    ) -> OrderAnswer:
        answer = await self._term.client.renew(
            contact.report,
            self._term.number,
            contact.noted_end,
            # A silent worker's lease must be left to end.
            contact.next_until_ms(now) if is_answering else None,
            RENEW_WAIT_MS if contact.is_read and is_answering else 0,
        )
        self._term.note_clock(contact, answer)
        return answer

    def _log_change(self, contact: Contact, answer: OrderAnswer) -> None:
        logger.warning(
            "worker answers again"
            if answer.verdict is Verdict.DONE
            else "worker does not answer",
            extra={
                "worker": contact.report.worker,
                "verdict": answer.verdict.value,
                "term": self._term.number,
            },
        )

    async def _note_lists(
        self, contact: Contact, lists: WorkerLists, sent_at: float
    ) -> None:
        report = contact.report
        if lists.born is not None and lists.born != report.born:
            # The new life will report itself.
            why = "a later life answers"
            self.end_life(contact, why)
            self._endings.lose(report.worker, why, lists.born)
            return
        ends = []
        for row in lists.ended:
            run = self._run_on(contact, row.task, row.run)
            if run is not None and row.number > contact.noted_end:
                ends.append(self._endings.end_listed(run, row))
        for row in lists.running:
            run = self._run_on(contact, row.task, row.run)
            if run is None:
                self._term.spawn(
                    self._orders.stop_unknown(contact, row.task, row.run)
                )
                continue
            if self._progress.note_row(run, row):
                self._orders.stop_soon(run)
            if run.phase is Phase.INHERITED:
                self._note_inherited(run)
        listed = {(row.task, row.run) for row in lists.running + lists.ended}
        self._check_unlisted(contact, listed, sent_at)
        contact.is_read = True
        self._sharing.note_lists(contact)
        self._term.wake.set()
        await asyncio.gather(*ends)
        if lists.ended:
            last = max(row.number for row in lists.ended)
            contact.noted_end = max(contact.noted_end, last)

    def _note_inherited(self, run: TrackedRun) -> None:
        run.phase, run.since = Phase.RUNNING, steady_now()
        if not self._term.is_wanted(run):
            self._orders.stop_soon(run)

    def _check_unlisted(
        self, contact: Contact, listed: set, sent_at: float
    ) -> None:
        """Deal with runs that the worker neither runs nor has ended."""
        for run in self._term.runs.on_worker(contact.report.worker):
            if (run.name, run.number) in listed:
                continue
            if run.incarnation.born != contact.report.born:
                continue
            if run.phase is Phase.INHERITED:
                if self._term.is_wanted(run):
                    run.was_unanswered = True
                    self._term.spawn(self._orders.start(run))
                else:
                    self._orders.stop_soon(run)
            elif run.phase is Phase.STOPPED and run.since < sent_at:
                self._term.spawn(self._endings.end(run, End.LOST))
            elif run.phase is Phase.RUNNING and run.since < sent_at:
                self._term.spawn(self._orders.start(run))

    def _run_on(
        self, contact: Contact, task: str, number: int
    ) -> TrackedRun | None:
        run = self._term.runs.by_name.get((task, number))
        if run is None or self._term.contact_of(run) is not contact:
            return None
        return run
