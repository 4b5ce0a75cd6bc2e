"""Workers that are held for long-running tasks."""

import logging
from collections.abc import Callable

from galenarill.common import JobId, PoolId, WorkerId, monotonic_now
from galenarill.coordinator.term import TermContext
from galenarill.coordinator.turns import Turns
from galenarill.jobs import Step, TaskKey
from galenarill.placement import (
    AvailableWorker,
    Candidate,
    TaskGroup,
    choose_workers_to_hold,
)
from galenarill.routing import Resources

__all__ = ["WorkerHolds"]

logger = logging.getLogger(__name__)

# Time that a long-running task waits before a worker is held for it, in
# seconds.
# Longer than most finite tasks run, and than a machine takes to move.
HOLD_DELAY_SECONDS = 2.0
# Most workers that are held at a time.
MAX_HELD_WORKERS = 8


class WorkerHolds:
    """Keeps finite tasks off workers until a waiting long-running task fits."""

    def __init__(self, context: TermContext):
        """Hold no workers in the term of `context`."""
        self._context = context
        # Since when long-running tasks have found no worker, and the workers
        # that are held for them.
        self._waiting_since: dict[tuple[JobId, TaskKey], float] = {}
        self._turns = Turns(MAX_HELD_WORKERS)
        self._held: dict[tuple[JobId, TaskKey], WorkerId] = {}

    @property
    def workers(self) -> frozenset[WorkerId]:
        """Workers that get long-running tasks only."""
        return frozenset(self._held.values())

    def usable_by(
        self, step: Step, members: list[AvailableWorker]
    ) -> list[AvailableWorker]:
        """Return the workers that are not held, or all for a lasting step."""
        if step.is_long_running or not self._held:
            return members
        held = self.workers
        return [w for w in members if w.report.worker not in held]

    def clear(self) -> None:
        """Hold no workers, because no task waits."""
        self._waiting_since, self._held = {}, {}

    def update(
        self,
        waiting: list[TaskGroup],
        make_candidate: Callable[[TaskGroup, TaskKey], Candidate],
        available: dict[PoolId, list[AvailableWorker]],
    ) -> None:
        """Hold workers for long-running tasks that have waited for a while.

        Args:
            waiting: Groups of tasks that found no worker in this round.
            make_candidate: Returns the candidate for a task of a group.
            available: Workers that accept starts, by pool.
        """
        now = monotonic_now()
        tasks = {
            (group.job, key): group
            for group in waiting
            if group.step.is_long_running
            for key in group.keys
        }
        self._waiting_since = {
            task_id: self._waiting_since.get(task_id, now) for task_id in tasks
        }
        overdue = [
            task_id
            for task_id in tasks
            if now >= self._waiting_since[task_id] + HOLD_DELAY_SECONDS
        ]
        # Tasks with a held worker keep it. The others take turns.
        holding = [task_id for task_id in overdue if task_id in self._held]
        others = [task_id for task_id in overdue if task_id not in self._held]
        most = max(0, MAX_HELD_WORKERS - len(holding))
        turns = self._turns.take(others)[:most]
        delayed = [
            (task_id, make_candidate(tasks[task_id], task_id[1]))
            for task_id in holding + turns
        ]
        if not delayed:
            self._held = {}
            return
        pools = {candidate.pool for _, candidate in delayed}
        held = choose_workers_to_hold(
            delayed,
            available,
            {
                available_worker.report.worker: self._releasable(
                    available_worker.report.worker
                )
                for pool in pools
                for available_worker in available.get(pool, [])
            },
            self._held,
        )
        for job_id, key in held.keys() - self._held.keys():
            logger.info(
                "worker held",
                extra={
                    "job": job_id,
                    "task": list(key),
                    "worker": held[job_id, key],
                },
            )
        for task_id in turns:
            if task_id not in held:
                self._turns.pass_over(task_id)
        self._held = held

    def _releasable(self, worker: WorkerId) -> Resources:
        """Return the capacity that a worker's finite runs will release."""
        total = Resources()
        for run in self._context.runs.on_worker(worker):
            if not run.step.is_long_running:
                total = total.plus(run.step.reserved)
        return total
