"""Tickets of the policy service, for queues whose policy asks for them."""

import asyncio
import logging

from galenarill.coordinator.runs import TrackedRun
from galenarill.coordinator.term import Term
from galenarill.jobs import Incarnation, TaskKey
from galenarill.workers import AdviceClient
from galenarill.world import JobId, PoolId, WorkerId, steady_now

__all__ = ["Advisor"]

logger = logging.getLogger(__name__)

# Workers that are asked about in one call; the platform takes 100.
MAX_WORKERS = 30
# Calls that wait at a time: the service takes one machine's calls in turn.
MAX_CALLS = 4
# Part of a ticket's time that is left for the start to arrive, in seconds.
MARGIN_SECONDS = 0.3
RETRY_SECONDS = 0.3

StepPlace = tuple[JobId, int, int]


class Advisor:
    """Asks for advice on a step once, and keeps its tickets while valid."""

    def __init__(self, term: Term, client: AdviceClient | None):
        """Ask through `client`, if the platform has a policy service."""
        self._term = term
        self._client = client
        self._places = asyncio.Semaphore(MAX_CALLS)
        self._asked: set[StepPlace] = set()
        # Ticket and its end, by step and life of a worker.
        self._tickets: dict[StepPlace, dict[Incarnation, tuple[str, float]]]
        self._tickets = {}

    def tickets(
        self, job: JobId, key: TaskKey, pool: PoolId
    ) -> dict[WorkerId, str]:
        """Return the workers that may run a step; ask if none is known."""
        place = (job, key.occurrence, key.step)
        now = steady_now()
        valid = {
            life.worker: ticket
            for life, (ticket, end) in self._tickets.get(place, {}).items()
            if end > now and self._is_present(life)
        }
        if not valid and place not in self._asked and self._client is not None:
            self._asked.add(place)
            self._term.spawn(self._ask(place, pool))
        return valid

    def ticket_of(self, run: TrackedRun) -> str:
        """Return the ticket for a run, or "" if there is none."""
        place = (run.job, run.key.occurrence, run.key.step)
        ticket, end = self._tickets.get(place, {}).get(
            run.incarnation, ("", 0.0)
        )
        return ticket if end > steady_now() else ""

    def drop(self, run: TrackedRun) -> None:
        """Forget a ticket that a worker did not take."""
        place = (run.job, run.key.occurrence, run.key.step)
        self._tickets.get(place, {}).pop(run.incarnation, None)

    def forget_job(self, job: JobId) -> None:
        """Drop the tickets of a job that is over."""
        for place in [place for place in self._tickets if place[0] == job]:
            del self._tickets[place]

    def _is_present(self, life: Incarnation) -> bool:
        contact = self._term.contacts.get(life.worker)
        return contact is not None and contact.report.born == life.born

    async def _ask(self, place: StepPlace, pool: PoolId) -> None:
        lives = [
            Incarnation(worker, contact.report.born)
            for worker, contact in self._term.contacts.items()
            if contact.report.pool == pool and self._term.is_answering(contact)
        ][:MAX_WORKERS]
        step = ".".join(map(str, place))
        try:
            async with self._places:
                advice = await self._client.ask(
                    step, [life.worker for life in lives]
                )
            logger.info(
                "advice",
                extra={
                    "job": place[0],
                    "step": step,
                    "asked": len(lives),
                    "good": None if advice is None else len(advice.tickets),
                },
            )
            if advice is None:
                await asyncio.sleep(RETRY_SECONDS)
                return
            end = steady_now() + advice.valid_seconds - MARGIN_SECONDS
            self._tickets[place] = {
                life: (advice.tickets[life.worker], end)
                for life in lives
                if life.worker in advice.tickets
            }
            if not self._tickets[place]:
                await asyncio.sleep(RETRY_SECONDS)
        finally:
            self._asked.discard(place)
            self._term.wake.set()
