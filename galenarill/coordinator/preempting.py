"""Preempts less urgent runs when urgent tasks have waited for resources."""

import logging
from collections.abc import Callable

from galenarill.common import JobId, PoolId, TeamId, WorkerId, monotonic_now
from galenarill.coordinator.orders import RunOrders
from galenarill.coordinator.runs import Phase, TrackedRun
from galenarill.coordinator.term import TermContext
from galenarill.coordinator.turns import Turns
from galenarill.jobs import TaskKey
from galenarill.placement import (
    ActiveRun,
    AvailableWorker,
    Candidate,
    Quota,
    TaskGroup,
    choose_victims,
)
from galenarill.routing import Configuration

__all__ = ["Preemptor"]

logger = logging.getLogger(__name__)

# How long an urgent task waits before it preempts others, in seconds. About the
# least time in which a machine that is being moved arrives.
PREEMPTION_DELAY_SECONDS = 0.5
# Work that a preempted task with checkpoints repeats, in seconds: the
# checkpoint period of the platform.
CHECKPOINT_PERIOD_SECONDS = 1.0
# Maximum number of waiting tasks considered in one round.
MAX_WAITING_TASKS = 20


class Preemptor:
    """Frees the least resources that waiting urgent tasks need."""

    def __init__(self, context: TermContext, run_orders: RunOrders):
        """Create a preemptor that stops runs through `run_orders`."""
        self._context = context
        self._run_orders = run_orders
        # Since when each task has had no worker, on the monotonic clock.
        self._unplaced_since: dict[tuple[JobId, TaskKey], float] = {}
        self._turns = Turns(MAX_WAITING_TASKS)
        # Configuration that the priorities were read from.
        self._configuration: Configuration | None = None
        self._least_urgent_by_pool: dict[PoolId, int] = {}

    def preempt(
        self,
        unplaced: list[TaskGroup],
        make_candidate: Callable[[TaskGroup, TaskKey], Candidate],
        available: dict[PoolId, list[AvailableWorker]],
        quotas: dict[TeamId, Quota],
    ) -> None:
        """Stop the runs that urgent tasks preempt now.

        Args:
            unplaced: Groups of tasks without a worker.
            make_candidate: Returns the candidate for a task of a group.
            available: Free resources of workers after all placements, by pool.
            quotas: Upper limit and usage of each tenant.
        """
        now = monotonic_now()
        tasks = [
            (group, key)
            for group in sorted(
                unplaced, key=lambda group: (group.priority, group.accepted_at)
            )
            if self.may_preempt(group)
            for key in group.keys
        ]
        self._unplaced_since = {
            task_id: self._unplaced_since.get(task_id, now)
            for task_id in ((group.job, key) for group, key in tasks)
        }
        delayed = {
            (group.job, key): group
            for group, key in tasks
            if now
            >= self._unplaced_since[group.job, key] + PREEMPTION_DELAY_SECONDS
        }
        waiting = [
            (
                make_candidate(delayed[task_id], task_id[1]),
                delayed[task_id].priority,
            )
            for task_id in self._turns.take(delayed)
        ]
        if not waiting:
            return
        active_runs = {
            available_worker.report.worker: self._active_runs(
                available_worker.report.worker, now
            )
            for pool in {candidate.pool for candidate, _ in waiting}
            for available_worker in available.get(pool, [])
        }
        preemption = choose_victims(waiting, available, quotas, active_runs)
        for active_run in preemption.victims:
            self._stop(self._context.runs.by_name[active_run.run])
        helped = {(task.job, task.key) for task in preemption.helped}
        for candidate, _ in waiting:
            if (candidate.job, candidate.key) not in helped:
                self._turns.pass_over((candidate.job, candidate.key))

    def may_preempt(self, group: TaskGroup) -> bool:
        """Return whether less urgent tasks may run in the pool of a group."""
        return group.priority < self._least_urgent().get(group.pool, 0)

    def _least_urgent(self) -> dict[PoolId, int]:
        """Return the priority of the least urgent queue of each pool."""
        configuration = self._context.state.routing.configuration
        if self._configuration is not configuration:
            self._configuration = configuration
            self._least_urgent_by_pool = {}
            # Runs of a removed queue can be preempted, too.
            of_jobs = {
                job.queue_settings
                for job in self._context.state.jobs.values()
                if job.queue_settings is not None
            }
            for queue in of_jobs.union(configuration.queues):
                least = self._least_urgent_by_pool.get(queue.pool, 0)
                self._least_urgent_by_pool[queue.pool] = max(
                    least, queue.priority
                )
        return self._least_urgent_by_pool

    def _active_runs(self, worker: WorkerId, now: float) -> list[ActiveRun]:
        return [
            ActiveRun(
                (run.name, run.number),
                self._priority(run.job),
                run.step.reserved,
                CHECKPOINT_PERIOD_SECONDS
                if run.step.is_checkpointing
                else now - run.ordered_at,
                run.phase in (Phase.STOPPING, Phase.STOPPED),
                run.phase is Phase.RUNNING
                and not run.step.is_long_running
                and not run.step.is_gang,
            )
            for run in self._context.runs.on_worker(worker)
        ]

    def _priority(self, job_id: JobId) -> int:
        queue = self._context.state.jobs[job_id].queue_settings
        return queue.priority if queue is not None else 0

    def _stop(self, run: TrackedRun) -> None:
        logger.info(
            "task preempted",
            extra={
                "job": run.job,
                "task": run.name,
                "run": run.number,
                "worker": run.incarnation.worker,
                "begun_seconds_ago": round(monotonic_now() - run.ordered_at, 3),
            },
        )
        self._run_orders.request_stop(run)
