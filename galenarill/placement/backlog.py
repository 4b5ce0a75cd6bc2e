"""Ready tasks, and the order in which they are placed."""

import dataclasses
import heapq
import itertools
import math
from collections.abc import Callable, Iterable

from galenarill.common import JobId, PoolId, TeamId
from galenarill.jobs import Job, Step, TaskKey
from galenarill.placement.order import critical_path_seconds, objective_at
from galenarill.placement.plan import (
    Candidate,
    Packer,
    Placement,
    Shape,
    shape_of,
)
from galenarill.placement.reservation_book import StepId
from galenarill.placement.shares import TenantUsage
from galenarill.routing import Queue

__all__ = ["TaskGroup", "make_group", "place_groups"]


@dataclasses.dataclass(slots=True)
class TaskGroup:
    """Ready tasks of one step of a job, which differ by their index only.

    Attributes:
        job: Id of the job.
        step: Step that the tasks belong to.
        pool: Pool whose workers may run them.
        tenant: Tenant, or "".
        shape: Shape of each task.
        priority: Priority of the queue; 0 is the most urgent.
        accepted_at: When the job was accepted, in Unix seconds.
        objective_at: Completion objective of the job, in Unix seconds.
        latest_start_at: Latest time to start the tasks, in Unix seconds, so
            that the job can meet its objective.
        keys: Keys of the tasks that still wait.
        is_trial: Whether the tasks may crash their workers, so that each has
            to be started apart from the others.
        expected_seconds: Expected duration of each task: infinity if it is
            long-running, negative infinity if durations aren't used.
        step_id: Job, occurrence and number of the step.
    """

    job: JobId
    step: Step
    pool: PoolId
    tenant: TeamId
    shape: Shape
    priority: int
    accepted_at: float
    objective_at: float
    latest_start_at: float
    keys: list[TaskKey]
    is_trial: bool = False
    expected_seconds: float = -math.inf
    step_id: StepId = dataclasses.field(init=False)

    def __post_init__(self):
        """Set what all rounds need of each waiting group."""
        self.step_id = (self.job, self.keys[0].occurrence, self.keys[0].step)

    def is_late(self, wall_time: float) -> bool:
        """Return whether the job can no longer meet its objective."""
        return (
            not self.step.is_long_running and wall_time > self.latest_start_at
        )

    def rank(self, wall_time: float) -> tuple:
        """Return the sort key of the group; the smallest is placed first.

        Within a queue priority, long-running tasks come first, then jobs that
        can still meet their objective by earliest objective, then all others
        by age.
        """
        if self.step.is_long_running:
            return (self.priority, 0, self.accepted_at)
        if self.is_late(wall_time):
            return (self.priority, 2, self.accepted_at)
        return (self.priority, 1, self.objective_at)


def make_group(
    job: Job, queue: Queue, keys: list[TaskKey], is_trial: bool = False
) -> TaskGroup:
    """Return the group of some ready tasks of one step and occurrence."""
    occurrence, number, _ = keys[0]
    step = job.spec.steps[number]
    objective = objective_at(job, occurrence, queue)
    remaining_seconds = critical_path_seconds(
        job.spec.steps, lambda index: job.is_step_done(occurrence, index)
    )
    return TaskGroup(
        job.id,
        step,
        queue.pool,
        job.tenant,
        shape_of(queue.pool, step),
        queue.priority,
        job.accepted_at,
        objective,
        objective - remaining_seconds,
        keys,
        is_trial,
    )


def place_groups(
    groups: Iterable[TaskGroup],
    packer: Packer,
    usage: TenantUsage,
    wall_time: float,
    make_candidate: Callable[[TaskGroup, TaskKey], Candidate],
) -> list[Placement]:
    """Place tasks of the groups while there is capacity for them.

    Groups of the same rank class share the capacity between their tenants by
    weighted dominant resource fairness: the next task is always one of the
    tenant with the smallest ratio of dominant share to weight. The cost grows
    with the number of groups and of placed tasks, not of waiting tasks. That
    answers the load of an overload, in which thousands of tasks wait and each
    round places a few.

    Args:
        groups: Groups with at least one task each. Placed tasks are removed.
        packer: Assigns tasks to workers.
        usage: Usage of the tenants; updated with the placed tasks.
        wall_time: Current time in Unix seconds.
        make_candidate: Returns the candidate for a task of a group.

    Returns:
        The placements, in the order in which they were made.

    References:
        Ghodsi et al. Dominant Resource Fairness. NSDI 2011.
    """
    ranked = sorted(
        (
            (group.rank(wall_time), group)
            for group in groups
            if not packer.is_exhausted(
                group.shape, group.expected_seconds, group.step_id
            )
        ),
        key=lambda entry: entry[0],
    )
    placements: list[Placement] = []
    for _, members in itertools.groupby(ranked, lambda entry: entry[0][:2]):
        _place_class(list(members), packer, usage, make_candidate, placements)
    return placements


class _TenantQueue:
    """Groups of one tenant that are equally urgent, in order of their rank.

    Groups of the same rank take turns, so that one slow worker doesn't hold
    up all tasks of a job.
    """

    def __init__(self):
        # Rank, group and its keys in reverse order; the first group is last.
        self._entries: list[tuple[tuple, TaskGroup, list[TaskKey]]] = []

    @property
    def first_rank(self) -> tuple:
        """Rank of the first group."""
        return self._entries[-1][0]

    def add(self, rank: tuple, group: TaskGroup) -> None:
        """Add a group before all others."""
        # The keys are copied, because `group.keys` loses the placed tasks.
        self._entries.append((rank, group, group.keys[::-1]))

    def place_next(
        self,
        packer: Packer,
        make_candidate: Callable[[TaskGroup, TaskKey], Candidate],
    ) -> Placement | None:
        """Place the first task that can be placed; drop those before it."""
        entries = self._entries
        while entries:
            rank, group, keys = entries[-1]
            if (
                not keys
                or packer.is_exhausted(
                    group.shape, group.expected_seconds, group.step_id
                )
                or not packer.allows(group.tenant, group.step, group.step_id)
            ):
                entries.pop()
                continue
            key = keys.pop()
            placement = packer.place(make_candidate(group, key))
            if placement is None:
                continue
            group.keys.remove(key)
            entry = entries.pop()
            position = len(entries)
            while position and entries[position - 1][0] == rank:
                position -= 1
            entries.insert(position, entry)
            return placement
        return None


def _place_class(
    ranked: list[tuple[tuple, TaskGroup]],
    packer: Packer,
    usage: TenantUsage,
    make_candidate: Callable[[TaskGroup, TaskKey], Candidate],
    placements: list[Placement],
) -> None:
    """Place tasks of groups that are equally urgent."""
    queues: dict[TeamId, _TenantQueue] = {}
    for rank, group in reversed(ranked):
        queues.setdefault(group.tenant, _TenantQueue()).add(rank, group)
    heap = [
        (usage.weighted_share(tenant), queue.first_rank, tenant)
        for tenant, queue in queues.items()
    ]
    heapq.heapify(heap)
    while heap:
        tenant = heapq.heappop(heap)[-1]
        placement = queues[tenant].place_next(packer, make_candidate)
        if placement is None:
            continue
        placements.append(placement)
        need = placement.candidate.step.need
        usage.add(tenant, need.times(len(placement.members)))
        heapq.heappush(
            heap,
            (usage.weighted_share(tenant), queues[tenant].first_rank, tenant),
        )
