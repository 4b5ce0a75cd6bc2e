"""Tickets of the policy service, for queues with an advice policy."""

import asyncio
import logging
from collections.abc import Collection

import msgspec

from galenarill.common import JobId, PoolId, WorkerId, monotonic_now
from galenarill.coordinator.runs import TrackedRun
from galenarill.coordinator.term import TermContext
from galenarill.jobs import Incarnation, TaskKey
from galenarill.workers import Advice, AdviceClient

__all__ = ["Advisor"]

logger = logging.getLogger(__name__)

# Maximum workers in one call; the platform accepts 100. The service takes time
# for each of them, and a step rarely needs more.
MAX_WORKERS = 30
# Maximum concurrent calls. The service handles calls of one machine in turn.
MAX_CALLS = 4
# A ticket is not used this close to its expiry, in seconds: the start order has
# to arrive in time.
EXPIRY_MARGIN_SECONDS = 0.3
RETRY_SECONDS = 0.3
# Time after which the service is asked again about a worker that it has not
# allowed, in seconds. Its policy does not change, but an answer may be garbled.
REFUSAL_SECONDS = 10.0

StepKey = tuple[JobId, int, int]


class _Answer(msgspec.Struct, frozen=True):
    """What the service said about a worker for a step.

    Attributes:
        asked_at: When it was asked, on the monotonic clock.
        ticket: Ticket, or "" if the worker may not run the step.
        valid_until: Until when the ticket is used, on the monotonic clock.
    """

    asked_at: float
    ticket: str = ""
    valid_until: float = float("-inf")


class Advisor:
    """Asks which workers may run a step, and caches the answers.

    One call names a part of the workers of a large pool. While a step finds no
    worker, those that were not asked about for the longest time come next, so
    that each gets its turn.
    """

    def __init__(self, context: TermContext, client: AdviceClient | None):
        """Create an advisor; `client` is None without a policy service."""
        self._context = context
        self._client = client
        self._call_slots = asyncio.Semaphore(MAX_CALLS)
        self._steps_in_flight: set[StepKey] = set()
        self._answers: dict[StepKey, dict[Incarnation, _Answer]] = {}

    def tickets_for(self, job: JobId, key: TaskKey) -> dict[WorkerId, str]:
        """Return the valid tickets for a task, by worker."""
        now = monotonic_now()
        return {
            incarnation.worker: answer.ticket
            for incarnation, answer in self._answers_for(job, key).items()
            if answer.valid_until > now and self._is_present(incarnation)
        }

    def may_request(self, job: JobId, key: TaskKey) -> bool:
        """Return whether advice on a task's step can be requested now."""
        step_key = (job, key.occurrence, key.step)
        return self._client is not None and (
            step_key not in self._steps_in_flight
        )

    def request(
        self,
        job: JobId,
        key: TaskKey,
        pool: PoolId,
        preferred: Collection[WorkerId],
    ) -> None:
        """Ask about more workers, because a task found none.

        Call it only if `may_request` allows it.

        Args:
            job: Job of the task.
            key: Task, which stands for all of its step.
            pool: Pool of the job.
            preferred: Workers with room for the task, which are asked about
                first.
        """
        step_key = (job, key.occurrence, key.step)
        incarnations = self._choose(step_key, pool, preferred)
        if incarnations:
            self._steps_in_flight.add(step_key)
            self._context.spawn(self._ask(step_key, incarnations))

    def ticket_of(self, run: TrackedRun) -> str:
        """Return the valid ticket for a run, or ""."""
        answer = self._answers_for(run.job, run.key).get(run.incarnation)
        if answer is None or answer.valid_until <= monotonic_now():
            return ""
        return answer.ticket

    def discard_ticket(self, run: TrackedRun) -> None:
        """Drop a ticket that its worker refused."""
        self._answers_for(run.job, run.key).pop(run.incarnation, None)

    def forget_job(self, job: JobId) -> None:
        """Drop the answers on a job that has ended."""
        for step_key in [
            step_key for step_key in self._answers if step_key[0] == job
        ]:
            del self._answers[step_key]

    def _answers_for(
        self, job: JobId, key: TaskKey
    ) -> dict[Incarnation, _Answer]:
        return self._answers.get((job, key.occurrence, key.step), {})

    def _is_present(self, incarnation: Incarnation) -> bool:
        session = self._context.sessions.get(incarnation.worker)
        return session is not None and session.report.born == incarnation.born

    def _choose(
        self, step_key: StepKey, pool: PoolId, preferred: Collection[WorkerId]
    ) -> list[Incarnation]:
        """Return the workers to ask about next.

        Half of them may be workers that were allowed and whose tickets have
        expired. They are the surest, but must not keep others out.
        """
        now = monotonic_now()
        job, _, number = step_key
        label = self._context.state.jobs[job].spec.steps[number].label
        answers = self._answers.get(step_key, {})
        allowed: list[Incarnation] = []
        others: list[Incarnation] = []
        for worker, session in self._context.usable_sessions():
            if (
                session.report.pool != pool
                or (label and label not in session.report.labels)
                or not self._context.is_answering(session)
                or self._context.is_draining(session)
            ):
                continue
            incarnation = Incarnation(worker, session.report.born)
            answer = answers.get(incarnation)
            if answer is None:
                others.append(incarnation)
            elif answer.ticket:
                if answer.valid_until <= now:
                    allowed.append(incarnation)
            elif answer.asked_at <= now - REFUSAL_SECONDS:
                others.append(incarnation)

        def turn(incarnation: Incarnation) -> tuple:
            answer = answers.get(incarnation)
            return (
                incarnation.worker not in preferred,
                answer.asked_at if answer else float("-inf"),
            )

        allowed.sort(key=turn)
        others.sort(key=turn)
        most_allowed = max(MAX_WORKERS // 2, MAX_WORKERS - len(others))
        chosen = allowed[:most_allowed]
        return chosen + others[: MAX_WORKERS - len(chosen)]

    async def _ask(
        self, step_key: StepKey, incarnations: list[Incarnation]
    ) -> None:
        step_name = ".".join(map(str, step_key))
        try:
            async with self._call_slots:
                asked_at = monotonic_now()
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
            elif step_key[0] in self._context.state.jobs:
                self._record(step_key, incarnations, advice, asked_at)
        finally:
            self._steps_in_flight.discard(step_key)
            self._context.wake.set()

    def _record(
        self,
        step_key: StepKey,
        incarnations: list[Incarnation],
        advice: Advice,
        asked_at: float,
    ) -> None:
        valid_until = (
            monotonic_now() + advice.valid_seconds - EXPIRY_MARGIN_SECONDS
        )
        answers = {
            incarnation: answer
            for incarnation, answer in self._answers.get(step_key, {}).items()
            if self._is_present(incarnation)
        }
        for incarnation in incarnations:
            ticket = advice.tickets.get(incarnation.worker, "")
            answers[incarnation] = (
                _Answer(asked_at, ticket, valid_until)
                if ticket
                else _Answer(asked_at)
            )
        self._answers[step_key] = answers
