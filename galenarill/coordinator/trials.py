"""Starts of tasks that may crash their workers, apart from all others."""

import collections
from collections.abc import Callable, Collection

from galenarill.common import JobId, PoolId, TeamId, WorkerId, monotonic_now
from galenarill.coordinator.crashes import CrashMonitor
from galenarill.jobs import TaskKey
from galenarill.placement import (
    AvailableWorker,
    Candidate,
    Placement,
    Quota,
    TaskGroup,
    TrialConditions,
    TrialPacker,
)

__all__ = ["TrialPlacer"]

# Time that a suspect waits for a worker on which a crash has one possible
# cause, in seconds.
TRIAL_DELAY_SECONDS = 1.0


class TrialPlacer:
    """Assigns suspect tasks to workers that get no other tasks meanwhile."""

    def __init__(self, crash_monitor: CrashMonitor):
        """Create a placer of the tasks that `crash_monitor` suspects."""
        self._crash_monitor = crash_monitor
        # When a suspect that has found no worker becomes overdue, on the
        # monotonic clock.
        self._overdue_at: dict[tuple[JobId, TaskKey], float] = {}

    def place(
        self,
        groups: list[TaskGroup],
        available: dict[PoolId, list[AvailableWorker]],
        proposed_on: Collection[tuple[WorkerId, bool]],
        held: Collection[WorkerId],
        quotas: dict[TeamId, Quota],
        make_candidate: Callable[[TaskGroup, TaskKey], Candidate],
    ) -> list[Placement]:
        """Place suspect tasks, and reserve the workers with a trial.

        Args:
            groups: All groups of ready tasks.
            available: Workers by pool. Those with a trial are removed.
            proposed_on: Worker of each start that is not in the state yet, and
                whether it is a trial.
            held: Workers that get long-running tasks only.
            quotas: Quotas by tenant; updated with the placed tasks.
            make_candidate: Returns the candidate for a task of a group.

        Returns:
            The placements.
        """
        suspects = [group for group in groups if group.is_trial]
        trial_workers = self._crash_monitor.trial_workers()
        trial_workers |= {
            worker for worker, is_trial in proposed_on if is_trial
        }
        overdue = self._update_overdue(suspects)
        if not suspects and not trial_workers:
            return []
        on_probation: collections.Counter[WorkerId] = collections.Counter()
        if suspects:
            on_probation.update(worker for worker, _ in proposed_on)
            for members in available.values():
                for available_worker in members:
                    worker = available_worker.report.worker
                    on_probation[worker] += (
                        self._crash_monitor.runs_on_probation(worker)
                    )
        conditions = TrialConditions(
            trial_workers,
            on_probation,
            overdue,
            held,
            {group.pool for group in groups if not group.is_trial},
        )
        packer = TrialPacker(available, quotas, conditions)
        return packer.place(suspects, make_candidate)

    def _update_overdue(
        self, suspects: list[TaskGroup]
    ) -> set[tuple[JobId, TaskKey]]:
        """Return the suspects that have waited for too long."""
        now = monotonic_now()
        self._overdue_at = {
            (group.job, key): self._overdue_at.get(
                (group.job, key), now + TRIAL_DELAY_SECONDS
            )
            for group in suspects
            for key in group.keys
        }
        return {
            task_id
            for task_id, overdue_at in self._overdue_at.items()
            if now >= overdue_at
        }
