"""Requests for advice on steps that the policy service has to allow."""

from collections.abc import Callable

from galenarill.common import PoolId
from galenarill.coordinator.advisor import Advisor
from galenarill.coordinator.holding import CapacityKeeper
from galenarill.coordinator.preempting import Preemptor
from galenarill.coordinator.term import TermContext
from galenarill.jobs import GANG, TaskKey
from galenarill.placement import (
    AvailableWorker,
    Candidate,
    TaskGroup,
    assign_workers,
    prefer_healthy,
)

__all__ = ["AdviceRequests"]


class AdviceRequests:
    """Decides for which waiting tasks more advice is of use."""

    def __init__(
        self,
        context: TermContext,
        advisor: Advisor,
        preemptor: Preemptor,
        capacity_keeper: CapacityKeeper,
    ):
        """Create requests to `advisor` in the term of `context`."""
        self._context = context
        self._advisor = advisor
        self._preemptor = preemptor
        self._capacity_keeper = capacity_keeper

    def send(
        self,
        waiting: list[TaskGroup],
        available: dict[PoolId, list[AvailableWorker]],
        make_candidate: Callable[[TaskGroup, TaskKey], Candidate],
    ) -> None:
        """Request advice for tasks whose known workers can't take them.

        Args:
            waiting: Groups of tasks that found no worker in this round.
            available: Workers that accept starts, by pool, with the capacity
                that is free after all placements.
            make_candidate: Returns the candidate for a task of a group.
        """
        for group in waiting:
            key = group.keys[0]
            queue = self._context.state.jobs[group.job].queue_settings
            if queue.advice is None or not self._advisor.may_request(
                group.job, key
            ):
                continue
            members = self._capacity_keeper.usable_by(
                group.step, prefer_healthy(available.get(group.pool, []))
            )
            with_room = [w for w in members if group.step.reserved.fits(w.free)]
            candidate = make_candidate(group, key)
            if self._is_useful(group, candidate, with_room):
                self._advisor.request(
                    group.job,
                    key,
                    group.pool,
                    {w.report.worker for w in with_room},
                )

    def _is_useful(
        self,
        group: TaskGroup,
        candidate: Candidate,
        with_room: list[AvailableWorker],
    ) -> bool:
        """Return whether advice on more workers may help a task.

        Without room on any worker, it helps only tasks that may preempt
        others, or for which a worker may be held.
        """
        if with_room:
            count = group.step.count if candidate.key.index == GANG else 1
            return not assign_workers(candidate, count, with_room)
        return not candidate.tickets and (
            group.step.is_long_running or self._preemptor.may_preempt(group)
        )
