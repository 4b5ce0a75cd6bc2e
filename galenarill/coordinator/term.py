"""State that the parts of one term's scheduler share."""

import asyncio
import logging
from collections.abc import Callable, Collection

from galenarill.common import WorkerId, monotonic_now
from galenarill.coordinator.runs import RunIndex, TrackedRun
from galenarill.errors import NotLeaderError
from galenarill.jobs import ClusterState, JobStatus
from galenarill.workers import (
    OrderAnswer,
    OrderTimeouts,
    WorkerClient,
    WorkerSession,
)

__all__ = ["TermContext", "ANSWER_SECONDS", "RETRY_SECONDS"]

logger = logging.getLogger(__name__)

# A worker without an answer for this long gets no starts, in seconds. Covers a
# renewal that is held open, the time for its answer, and a slow link.
ANSWER_SECONDS = 2.0
# Delay of a timer above which the event loop counts as late, in seconds. More
# than a sync of the journal and a placement round take together.
MAX_LOOP_DELAY_SECONDS = 0.05
# Time for which it then counts as late, in seconds.
DELAY_MEMORY_SECONDS = 1.0
# Pause before an order is retried, in seconds.
RETRY_SECONDS = 0.15


class TermContext:
    """State, workers and runs as seen by the leader of one term.

    Attributes:
        term_number: Number of the term, the upper part of fencing tokens.
        state: Replicated state.
        client: Sends orders to workers.
        propose: Proposes commands, and returns a future of their commit.
        has_leader_lease: Returns whether leadership is confirmed.
        max_lease_seconds: Longest lease that a worker accepts.
        began_at: When the term began here, on the monotonic clock.
        runs: Runs that may be in progress.
        sessions: Session with the current incarnation of each worker.
        wake: Event that requests a placement round.
    """

    def __init__(
        self,
        term: int,
        state: ClusterState,
        client: WorkerClient,
        propose: Callable[..., asyncio.Future],
        has_leader_lease: Callable[[], bool],
        max_lease_seconds: float,
        timeouts: OrderTimeouts,
    ):
        """Create a context without workers and runs."""
        self.term_number = term
        self.state = state
        self.client = client
        self.propose = propose
        self.has_leader_lease = has_leader_lease
        self.max_lease_seconds = max_lease_seconds
        self._timeouts = timeouts
        # Until when orders are repeated only after the full timeout.
        self._delayed_until = float("-inf")
        self.began_at = monotonic_now()
        self.runs = RunIndex()
        self.sessions: dict[WorkerId, WorkerSession] = {}
        self.wake = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    @property
    def timeouts(self) -> OrderTimeouts:
        """Timeouts of orders to workers.

        While the event loop is late, answers have often arrived that it has
        not read yet. Orders that are repeated for them would add to its load.
        """
        if monotonic_now() < self._delayed_until:
            return OrderTimeouts()
        return self._timeouts

    def note_loop_delay(self, seconds: float) -> None:
        """Record by how much a timer of the event loop was late."""
        if seconds > MAX_LOOP_DELAY_SECONDS:
            self._delayed_until = monotonic_now() + DELAY_MEMORY_SECONDS

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a coroutine until it ends or `stop` is called."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def spawn_loop(self, step, name: str) -> asyncio.Task:
        """Run a loop until `stop` is called.

        An unexpected error of one step is logged, and the loop goes on: one
        job or worker must not stop the scheduling of all others.

        Args:
            step: Coroutine function of one step, including its pause.
            name: Name of the loop in log lines.
        """

        async def run():
            while True:
                try:
                    await step()
                except NotLeaderError:
                    return
                except Exception:
                    logger.exception(
                        "step of a loop failed", extra={"loop": name}
                    )
                    await asyncio.sleep(RETRY_SECONDS)

        return self.spawn(run())

    def stop(self) -> None:
        """Cancel all spawned coroutines."""
        for task in self._tasks:
            task.cancel()

    def session_of(self, run: TrackedRun) -> WorkerSession | None:
        """Return the session of a run's incarnation if it is current."""
        session = self.sessions.get(run.incarnation.worker)
        if session is None or session.report.born != run.incarnation.born:
            return None
        return session

    def usable_sessions(self) -> Collection[tuple[WorkerId, WorkerSession]]:
        """Return the workers outside evacuated zones, with their sessions."""
        evacuated = self.state.evacuated_zones
        if not evacuated:
            return self.sessions.items()
        return [
            (worker, session)
            for worker, session in self.sessions.items()
            if session.report.zone not in evacuated
        ]

    def is_evacuated(self, session: WorkerSession) -> bool:
        """Return whether a worker is in an evacuated zone."""
        return session.report.zone in self.state.evacuated_zones

    def is_answering(self, session: WorkerSession) -> bool:
        """Return whether a worker has answered recently."""
        return session.answered_at > monotonic_now() - ANSWER_SECONDS

    def is_draining(self, session: WorkerSession) -> bool:
        """Return whether a worker drains, so that it gets no starts."""
        report = session.report
        return (
            report.is_draining
            or self.state.draining.get(report.worker) == report.born
        )

    def is_tracked(self, run: TrackedRun) -> bool:
        """Return whether a run may still be in progress."""
        return self.runs.by_name.get((run.name, run.number)) is run

    def is_wanted(self, run: TrackedRun) -> bool:
        """Return whether a run should be in progress."""
        job = self.state.jobs.get(run.job)
        return (
            self.is_tracked(run)
            and job is not None
            and job.status is JobStatus.ACTIVE
            # Another copy of the task may have finished first.
            and not job.tasks[run.key].is_done
        )

    def record_clock(self, session: WorkerSession, answer: OrderAnswer) -> None:
        """Record the reading of a worker's clock in an answer.

        Only lists name the incarnation that has answered.
        """
        born = answer.lists.born if answer.lists is not None else None
        if answer.clock_ms is not None and born in (None, session.report.born):
            session.record_clock(answer.clock_ms, monotonic_now())

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        if isinstance(task.exception(), NotLeaderError):
            # The next leader continues the work.
            return
        logger.error("scheduler step failed", exc_info=task.exception())
