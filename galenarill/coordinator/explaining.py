"""Explains at the leader where a job would go now, without accepting it."""

import collections
import enum
from typing import Protocol

import msgspec

from galenarill.common import JobId, TeamId, WorkerId, monotonic_now, wall_now
from galenarill.coordinator.admitting import JobAdmitter
from galenarill.coordinator.placing import PlacementSnapshot, Placer
from galenarill.coordinator.progress import ProgressMonitor
from galenarill.coordinator.term import TermContext
from galenarill.jobs import JobSpec, TaskKey, make_job
from galenarill.placement import (
    Candidate,
    Packer,
    Quota,
    TaskGroup,
    make_group,
    place_groups,
    prefer_healthy,
)
from galenarill.routing import Queue, Resources
from galenarill.workers import WorkerSession

__all__ = ["ExplanationSource", "JobExplainer"]


class ExplanationSource(Protocol):
    """Explains where jobs would go."""

    def explain_job(self, spec: JobSpec, queue: Queue, tenant: TeamId) -> dict:
        """Return an explanation that can be encoded as JSON."""


class _Rule(enum.Enum):
    """Rule that leaves a worker out, beside those of `Obstacle`."""

    OTHER_POOL = "other pool"
    EVACUATED = "evacuated zone"
    QUARANTINED = "quarantined"
    RESERVED = "held or reserved"
    LABEL = "label"
    CPU = "not enough free CPU"
    MEMORY = "not enough free memory"
    GPU = "not enough free GPUs"
    TENANT_LIMIT = "tenant's upper limit"


class JobExplainer:
    """Runs the decisions on a job on copies of what they are made from."""

    def __init__(
        self,
        context: TermContext,
        placer: Placer,
        admitter: JobAdmitter,
        progress_monitor: ProgressMonitor,
    ):
        """Create an explainer for the term of `context`."""
        self._context = context
        self._placer = placer
        self._admitter = admitter
        self._progress_monitor = progress_monitor

    def explain(self, spec: JobSpec, queue: Queue, tenant: TeamId) -> dict:
        """Explain where a job would go now, and why.

        Nothing is changed. Only the first step is placed; its tasks must be
        finite and not form a gang.

        Args:
            spec: Specification.
            queue: Queue.
            tenant: Tenant, or "".
        """
        admission = self._admitter.preview_admission(spec, queue, tenant)
        with self._progress_monitor.restored_estimates():
            placement = self._explain_placement(spec, queue, tenant)
        return {
            "queue": queue.name,
            "pool": queue.pool,
            "tenant": tenant,
            "is_accepted": admission.is_accepted,
            "retry_after_seconds": admission.retry_after_seconds,
            "wait_seconds": admission.wait_seconds,
            "needs_advice": queue.advice is not None,
            **placement,
        }

    def _explain_placement(
        self, spec: JobSpec, queue: Queue, tenant: TeamId
    ) -> dict:
        wall_time = wall_now()
        job = make_job(JobId(""), queue.name, tenant, spec, wall_time, queue)
        step = spec.steps[0]
        keys = [TaskKey(0, 0, index) for index in range(step.count)]
        own = make_group(job, queue, keys)
        own.expected_seconds = self._placer.expected_seconds(job, step)
        snapshot = self._placer.snapshot(queue.pool)
        rank = own.rank(wall_time)
        # In the order of `place_groups`, in which the new group is last.
        groups_before = sum(
            group.pool == own.pool and group.rank(wall_time) <= rank
            for group in snapshot.groups
        )
        members = [
            *snapshot.available.get(own.pool, []),
            *snapshot.cold.get(own.pool, []),
        ]
        free_at_first = {w.report.worker: w.free for w in members}
        healthy = {w.report.worker for w in prefer_healthy(members)}
        reservations = snapshot.reservations
        ends_at = monotonic_now() + own.expected_seconds
        admitted = {
            worker
            for worker in free_at_first
            if reservations is None
            or reservations.admits(worker, step.reserved, ends_at, own.step_id)
        }
        quota = snapshot.quotas.get(tenant, Quota(Resources()))
        # Placing on the copies changes what is in use.
        limit = msgspec.structs.asdict(quota.limit)
        used = msgspec.structs.asdict(quota.used)
        is_allowed = quota.allows(step)
        workers = _place(own, snapshot, wall_time)

        def rule_of(session: WorkerSession) -> enum.Enum | None:
            report, need = session.report, step.reserved
            worker = report.worker
            if report.pool != own.pool:
                return _Rule.OTHER_POOL
            if self._context.is_evacuated(session):
                return _Rule.EVACUATED
            obstacle = self._placer.obstacle_to_starts(session, monotonic_now())
            if obstacle is not None:
                return obstacle
            if worker not in free_at_first:
                return _Rule.RESERVED
            if worker not in healthy:
                return _Rule.QUARANTINED
            if step.label and step.label not in report.labels:
                return _Rule.LABEL
            if worker in snapshot.held:
                return _Rule.RESERVED
            if (rule := _lacking(need, free_at_first[worker])) is not None:
                return rule
            if worker not in admitted:
                return _Rule.RESERVED
            return None if is_allowed else _Rule.TENANT_LIMIT

        sessions = self._context.sessions.values()
        rules = collections.Counter(map(rule_of, sessions))
        return {
            "groups_before": groups_before,
            "workers": len(sessions),
            "left_out": {
                rule.value: count for rule, count in rules.items() if rule
            },
            "usable": rules[None],
            "tenant_limit": limit,
            "tenant_used": used,
            "worker": workers[0] if workers else None,
            "tasks": step.count,
            "tasks_placed": len(workers),
        }


def _place(
    own: TaskGroup, snapshot: PlacementSnapshot, wall_time: float
) -> list[WorkerId]:
    """Place the waiting groups and `own` on the copies of `snapshot`.

    Returns the workers of the tasks of `own`, in the order of placement.
    """
    now = monotonic_now()
    # One dictionary, because it counts the tasks of the step on each worker.
    siblings: dict[WorkerId, int] = {}

    def make_candidate(group: TaskGroup, key: TaskKey) -> Candidate:
        if group is not own:
            return snapshot.make_candidate(group, key)
        return Candidate(
            own.job,
            key,
            own.step,
            own.pool,
            own.tenant,
            siblings=siblings,
            ends_at=now + own.expected_seconds,
        )

    workers: list[WorkerId] = []
    # Cold workers get only what fits on no other, as in a real round.
    for added in ({}, snapshot.cold) if snapshot.cold else ({},):
        for pool, members in added.items():
            snapshot.available[pool] += members
        placements = place_groups(
            [group for group in (*snapshot.groups, own) if group.keys],
            Packer(
                snapshot.available,
                snapshot.quotas,
                snapshot.held,
                snapshot.reservations,
                now,
            ),
            snapshot.usage,
            wall_time,
            make_candidate,
        )
        workers += [
            incarnation.worker
            for placement in placements
            if placement.candidate.job == own.job
            for _, incarnation in placement.members
        ]
    return workers


def _lacking(need: Resources, free: Resources) -> _Rule | None:
    """Return the rule for the first resource of which there is too little."""
    if need.cpu > free.cpu:
        return _Rule.CPU
    if need.mem_mb > free.mem_mb:
        return _Rule.MEMORY
    return _Rule.GPU if need.gpu > free.gpu else None
