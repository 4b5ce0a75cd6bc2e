"""Tickets of the policy service, for queues with an advice policy."""

import asyncio
import logging

from galenarill.common import JobId, PoolId, WorkerId, monotonic_now
from galenarill.coordinator.runs import TrackedRun
from galenarill.coordinator.term import TermContext
from galenarill.jobs import Incarnation, TaskKey
from galenarill.workers import AdviceClient

__all__ = ["Advisor"]

logger = logging.getLogger(__name__)

# Maximum workers in one call; the platform accepts 100.
MAX_WORKERS = 30
# Maximum concurrent calls. The service handles calls of one machine in turn.
MAX_CALLS = 4
# A ticket is not used this close to its expiry, in seconds: the start order has
# to arrive in time.
EXPIRY_MARGIN_SECONDS = 0.3
RETRY_SECONDS = 0.3

StepKey = tuple[JobId, int, int]


class Advisor:
    """Asks for advice on a step, and caches its tickets while valid."""

    def __init__(self, context: TermContext, client: AdviceClient | None):
        """Create an advisor; `client` is None without a policy service."""
        self._context = context
        self._client = client
        self._call_slots = asyncio.Semaphore(MAX_CALLS)
        self._steps_in_flight: set[StepKey] = set()
        # Ticket and its expiry, by step and incarnation of a worker.
        self._tickets: dict[StepKey, dict[Incarnation, tuple[str, float]]]
        self._tickets = {}

    def tickets_for(
        self, job: JobId, key: TaskKey, pool: PoolId
    ) -> dict[WorkerId, str]:
        """Return valid tickets by worker; request advice if there are none."""
        step_key = (job, key.occurrence, key.step)
        now = monotonic_now()
        valid = {
            incarnation.worker: ticket
            for incarnation, (ticket, end) in self._tickets.get(
                step_key, {}
            ).items()
            if end > now and self._is_present(incarnation)
        }
        if (
            not valid
            and step_key not in self._steps_in_flight
            and self._client is not None
        ):
            self._steps_in_flight.add(step_key)
            self._context.spawn(self._ask_for_step(step_key, pool))
        return valid

    def ticket_of(self, run: TrackedRun) -> str:
        """Return the valid ticket for a run, or ""."""
        step_key = (run.job, run.key.occurrence, run.key.step)
        ticket, end = self._tickets.get(step_key, {}).get(
            run.incarnation, ("", 0.0)
        )
        return ticket if end > monotonic_now() else ""

    def discard_ticket(self, run: TrackedRun) -> None:
        """Drop a ticket that its worker refused."""
        step_key = (run.job, run.key.occurrence, run.key.step)
        self._tickets.get(step_key, {}).pop(run.incarnation, None)

    def forget_job(self, job: JobId) -> None:
        """Drop the tickets of a job that has ended."""
        for step_key in [
            step_key for step_key in self._tickets if step_key[0] == job
        ]:
            del self._tickets[step_key]

    def _is_present(self, incarnation: Incarnation) -> bool:
        session = self._context.sessions.get(incarnation.worker)
        return session is not None and session.report.born == incarnation.born

    async def _ask_for_step(self, step_key: StepKey, pool: PoolId) -> None:
        incarnations = [
            Incarnation(worker, session.report.born)
            for worker, session in self._context.sessions.items()
            if session.report.pool == pool
            and self._context.is_answering(session)
        ][:MAX_WORKERS]
        step_name = ".".join(map(str, step_key))
        try:
            async with self._call_slots:
                advice = await self._client.ask(
                    step_name,
                    [incarnation.worker for incarnation in incarnations],
                )
            logger.info(
                "advice",
                extra={
                    "job": step_key[0],
                    "step": step_name,
                    "asked": len(incarnations),
                    "good": None if advice is None else len(advice.tickets),
                },
            )
            if advice is None:
                await asyncio.sleep(RETRY_SECONDS)
                return
            end = monotonic_now() + advice.valid_seconds - EXPIRY_MARGIN_SECONDS
            self._tickets[step_key] = {
                incarnation: (advice.tickets[incarnation.worker], end)
                for incarnation in incarnations
                if incarnation.worker in advice.tickets
            }
            if not self._tickets[step_key]:
                await asyncio.sleep(RETRY_SECONDS)
        finally:
            self._steps_in_flight.discard(step_key)
            self._context.wake.set()
