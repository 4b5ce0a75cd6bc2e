"""Placement of tasks that may crash their workers."""

import dataclasses
from collections.abc import Callable, Collection, Iterable, Mapping

from galenarill.common import JobId, PoolId, TeamId, WorkerId
from galenarill.jobs import GANG, Incarnation, TaskKey
from galenarill.placement.backlog import TaskGroup
from galenarill.placement.plan import (
    AvailableWorker,
    Candidate,
    Placement,
    assign_workers,
    is_eligible,
    prefer_healthy,
)
from galenarill.placement.quota import Quota

__all__ = ["TrialConditions", "TrialPacker"]

# Share of a pool's workers that trials may use while other tasks wait for a
# worker, and while none do.
MAX_SHARE_IF_CONTENDED = 1 / 3
MAX_SHARE = 2 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class TrialConditions:
    """What limits the trials of one placement round.

    Attributes:
        trial_workers: Workers on which a suspect is on trial already.
        on_probation: Number of runs that may still crash their worker, by
            worker.
        overdue: Tasks that have waited for so long that they may join runs
            on probation, and use workers that they avoid.
        held: Workers that get long-running tasks only.
        contended: Pools in which other tasks are ready to start.
    """

    trial_workers: Collection[WorkerId] = ()
    on_probation: Mapping[WorkerId, int] = dataclasses.field(
        default_factory=dict
    )
    overdue: Collection[tuple[JobId, TaskKey]] = ()
    held: Collection[WorkerId] = ()
    contended: Collection[PoolId] = ()


class TrialPacker:
    """Places suspect tasks on workers without suspects of other jobs.

    A worker with a trial gets no other tasks, so that a crash harms as few
    runs as possible and has one possible cause. The least used workers are
    preferred for the same reason. Suspects of one job share a worker, since the
    job is given up as a whole. The oldest jobs come first, so that none waits
    for good while others become suspect.
    """

    def __init__(
        self,
        available: dict[PoolId, list[AvailableWorker]],
        quotas: Mapping[TeamId, Quota],
        conditions: TrialConditions,
    ):
        """Reserve the workers with a trial.

        Args:
            available: Workers by pool. Those with a trial are removed.
            quotas: Quotas by tenant; updated with the placed tasks.
            conditions: What limits the trials of this round.
        """
        self._available = available
        self._quotas = quotas
        self._conditions = conditions
        self._pool_workers = {
            pool: {w.report.worker for w in members}
            for pool, members in available.items()
        }
        # Number of workers that may still be reserved in each pool.
        self._slots: dict[PoolId, int] = {}
        # Workers that get suspects of a job in this round.
        self._by_job: dict[JobId, list[AvailableWorker]] = {}
        for pool, members in available.items():
            others = [
                w
                for w in members
                if w.report.worker not in conditions.trial_workers
            ]
            is_contended = pool in conditions.contended
            share = MAX_SHARE_IF_CONTENDED if is_contended else MAX_SHARE
            most = max(1, int(len(members) * share))
            self._slots[pool] = most - (len(members) - len(others))
            available[pool] = others

    def place(
        self,
        groups: Iterable[TaskGroup],
        make_candidate: Callable[[TaskGroup, TaskKey], Candidate],
    ) -> list[Placement]:
        """Place suspect tasks.

        Args:
            groups: Groups of suspect tasks. Placed tasks are removed.
            make_candidate: Returns the candidate for a task of a group.

        Returns:
            The placements.
        """
        placements = []
        for group in sorted(groups, key=lambda g: (g.accepted_at, g.job)):
            for key in list(group.keys):
                candidate = make_candidate(group, key)
                chosen = self._place_task(group, candidate)
                if chosen is not None:
                    group.keys.remove(key)
                    placements.append(_placement(candidate, chosen))
        return placements

    def _place_task(
        self, group: TaskGroup, candidate: Candidate
    ) -> list[AvailableWorker] | None:
        """Reserve a worker for each member; return None unless all fit."""
        count = group.step.count if candidate.key.index == GANG else 1
        quota = self._quotas.get(candidate.tenant)
        if quota is not None and not quota.allows(group.step):
            return None
        shared = self._by_job.setdefault(group.job, [])
        chosen = self._choose(candidate, count, shared)
        if chosen is None and self._slots.get(group.pool, 0) > 0:
            chosen = self._choose(
                candidate, count, prefer_healthy(self._members(candidate))
            )
        if chosen is None:
            return None
        if quota is not None:
            quota.add(group.step)
        for worker in chosen:
            worker.free = worker.free.minus(group.step.reserved)
            if worker not in shared:
                shared.append(worker)
                self._slots[group.pool] -= 1
        self._available[group.pool] = [
            w for w in self._available[group.pool] if w not in shared
        ]
        return chosen

    def _members(self, candidate: Candidate) -> list[AvailableWorker]:
        """Return the workers that a suspect may reserve.

        Until it is overdue, only those on which a crash has one possible cause.
        Avoided workers are among them if the pool has no others.
        """
        members = [
            w
            for w in self._available[candidate.pool]
            if candidate.step.is_long_running
            or w.report.worker not in self._conditions.held
        ]
        if (candidate.job, candidate.key) in self._conditions.overdue:
            return members
        allowed = self._pool_workers[candidate.pool] - candidate.avoided
        return [
            w
            for w in members
            if not self._conditions.on_probation.get(w.report.worker)
            and (not allowed or w.report.worker in allowed)
        ]

    def _choose(
        self, candidate: Candidate, count: int, members: list[AvailableWorker]
    ) -> list[AvailableWorker] | None:
        """Return a worker for each member, or None unless all members fit."""
        if count > 1:
            return _choose_for_gang(candidate, count, members)
        rack = candidate.step.data_rack
        best = min(
            (
                w
                for w in members
                if is_eligible(candidate, w)
                and candidate.step.reserved.fits(w.free)
            ),
            key=lambda w: (
                w.report.worker in candidate.avoided,
                self._conditions.on_probation.get(w.report.worker, 0),
                _used_cpu(w),
                bool(rack) and rack not in w.report.labels,
                w.report.worker,
            ),
            default=None,
        )
        return None if best is None else [best]


def _choose_for_gang(
    candidate: Candidate, count: int, members: list[AvailableWorker]
) -> list[AvailableWorker] | None:
    """Return a worker for each member, using as few busy workers as possible.

    Returns:
        The workers, or None unless all members fit.
    """
    by_use = sorted(members, key=_used_cpu)
    for size in range(1, len(by_use) + 1):
        if chosen := assign_workers(candidate, count, by_use[:size]):
            return chosen
    return None


def _used_cpu(available_worker: AvailableWorker) -> int:
    """Return the CPU that is reserved on a worker, in thousandths of a core."""
    return available_worker.report.capacity.cpu - available_worker.free.cpu


def _placement(
    candidate: Candidate, chosen: list[AvailableWorker]
) -> Placement:
    members = []
    for member, available_worker in enumerate(chosen):
        report = available_worker.report
        siblings = candidate.siblings.get(report.worker, 0)
        candidate.siblings[report.worker] = siblings + 1
        members.append((member, Incarnation(report.worker, report.born)))
    return Placement(candidate, tuple(members))
