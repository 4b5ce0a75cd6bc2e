"""Stops less urgent runs where urgent tasks have waited for room."""

import logging

from galenarill.coordinator.orders import RunOrders
from galenarill.coordinator.runs import Phase, TrackedRun
from galenarill.coordinator.term import TermContext
from galenarill.jobs import TaskKey
from galenarill.placement import (
    Budget,
    Candidate,
    Occupant,
    Room,
    choose_victims,
)
from galenarill.world import JobId, PoolId, TeamId, WorkerId, steady_now

__all__ = ["Preemptor"]

logger = logging.getLogger(__name__)

# How long an urgent task waits for room before it takes some, in seconds:
# about as long as a machine on its way needs at least.
PREEMPTION_DELAY_SECONDS = 0.5
# Work that a task with checkpoints does again, in seconds: the period of the
# platform's checkpoints.
CHECKPOINT_PERIOD_SECONDS = 1.0
# Tasks that are weighed in one round.
MAX_WAITING_TASKS = 20


class Preemptor:
    """Makes room for urgent tasks, as little as they need."""

    def __init__(self, context: TermContext, run_orders: RunOrders):
        """Stop runs of `context` by `run_orders`."""
        self._context = context
        self._run_orders = run_orders
        # Since when tasks have found no worker, on the steady clock.
        self._unplaced_since: dict[tuple[JobId, TaskKey], float] = {}

    def preempt(
        self,
        unplaced: list[Candidate],
        rooms: dict[PoolId, list[Room]],
        budgets: dict[TeamId, Budget],
    ) -> None:
        """Stop what urgent tasks displace now.

        Args:
            unplaced: Tasks that found no worker, the most urgent first.
            rooms: Workers by pool, with what is free after all placements.
            budgets: What each tenant may still start.
        """
        now = steady_now()
        task_ids = [(candidate.job, candidate.key) for candidate in unplaced]
        self._unplaced_since = {
            task_id: self._unplaced_since.get(task_id, now)
            for task_id in task_ids
        }
        least_urgent = self._least_urgent() if unplaced else {}
        waiting = [
            (candidate, priority)
            for candidate, task_id in zip(unplaced, task_ids, strict=True)
            if now >= self._unplaced_since[task_id] + PREEMPTION_DELAY_SECONDS
            and (priority := self._priority(candidate.job))
            < least_urgent.get(candidate.pool, 0)
        ][:MAX_WAITING_TASKS]
        occupants = {
            room.report.worker: self._occupants(room.report.worker, now)
            for pool in {candidate.pool for candidate, _ in waiting}
            for room in rooms.get(pool, [])
        }
        for occupant in choose_victims(waiting, rooms, budgets, occupants):
            self._stop(self._context.runs.by_name[occupant.run])

    def _least_urgent(self) -> dict[PoolId, int]:
        """Return the priority of the least urgent queue of each pool."""
        least: dict[PoolId, int] = {}
        for queue in self._context.state.routing.configuration.queues:
            least[queue.pool] = max(least.get(queue.pool, 0), queue.priority)
        return least

    def _occupants(self, worker: WorkerId, now: float) -> list[Occupant]:
        return [
            Occupant(
                (run.name, run.number),
                self._priority(run.job),
                run.step.reserved,
                CHECKPOINT_PERIOD_SECONDS
                if run.step.is_checkpointing
                else now - run.ordered_at,
                run.phase in (Phase.STOPPING, Phase.STOPPED),
                run.phase is Phase.RUNNING
                and not run.step.lasts
                and not run.step.is_gang,
            )
            for run in self._context.runs.on_worker(worker)
        ]

    def _priority(self, job_id: JobId) -> int:
        job = self._context.state.jobs[job_id]
        queue = self._context.state.routing.queue(job.queue)
        # Jobs of a queue that was removed are not placed; none displaces them.
        return queue.priority if queue is not None else 0

    def _stop(self, run: TrackedRun) -> None:
        logger.info(
            "task preempted",
            extra={
                "job": run.job,
                "task": run.name,
                "run": run.number,
                "worker": run.incarnation.worker,
                "begun_seconds_ago": round(steady_now() - run.ordered_at, 3),
            },
        )
        self._run_orders.request_stop(run)
