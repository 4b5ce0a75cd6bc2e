"""Upper limits of tenants, and what the tenants have running."""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from galenarill.common import TeamId
from galenarill.jobs import Step
from galenarill.placement.reservation_book import StepId
from galenarill.routing import Resources

__all__ = [
    "OverdueSteps",
    "Quota",
    "QuotaGate",
    "QuotaKind",
    "has_gang_above",
    "quota_kind",
    "quota_need",
]

# Need of each task, number of tasks that start together, and whether they are
# long-running.
QuotaKind = tuple[Resources, int, bool]
# Tenant and step by id, the step that has waited longest first.
OverdueSteps = Mapping[StepId, tuple[TeamId, Step]]


@dataclasses.dataclass(slots=True)
class Quota:
    """Quota of a tenant.

    Attributes:
        limit: Upper limit of each resource; 0 means unlimited.
        used: Resources of the tenant's current runs.
        used_long_running: The part of `used` that long-running tasks have.
        has_pending_starts: Whether a run of the tenant may be about to start.
        has_unanswered_starts: Whether that may take as long as a lease, since
            a worker has left an order unanswered.
    """

    limit: Resources
    used: Resources = dataclasses.field(default_factory=Resources)
    used_long_running: Resources = dataclasses.field(default_factory=Resources)
    has_pending_starts: bool = False
    has_unanswered_starts: bool = False

    def allows(self, step: Step) -> bool:
        """Return whether a task of a step, or its whole gang, may start now.

        What stays within the limit may start. A task that doesn't may exceed
        the limit if the tenant is below it, so that it is exceeded by less than
        one task, and if waiting would not help: less than half of the limit is
        in use, or the task is finite and doesn't fit beside the tenant's
        long-running tasks. Otherwise it would wait for as long as they last.
        Only resources that the task needs count.

        Starts may take effect in any order, so no other one may be pending when
        a task exceeds the limit.

        Example:
            >>> quota = Quota(Resources(10), Resources(4))
            >>> quota.allows(Step(1, Resources(7)))
            True
            >>> quota = Quota(Resources(10), Resources(5))
            >>> quota.allows(Step(1, Resources(7)))
            False
        """
        return self.fits(step) or (
            not self.has_pending_starts and self._may_exceed(step)
        )

    def fits(self, step: Step) -> bool:
        """Return whether a start keeps the limit of what a task needs."""
        need, limit, used = quota_need(step), self.limit, self.used
        return (
            (not limit.cpu or not need.cpu or used.cpu + need.cpu <= limit.cpu)
            and (
                not limit.mem_mb
                or not need.mem_mb
                or used.mem_mb + need.mem_mb <= limit.mem_mb
            )
            and (
                not limit.gpu
                or not need.gpu
                or used.gpu + need.gpu <= limit.gpu
            )
        )

    def awaits_pending_starts(self, step: Step) -> bool:
        """Return whether a task may exceed the limit once none is pending.

        False if that may take long.
        """
        return (
            not self.has_unanswered_starts
            and not self.fits(step)
            and self._may_exceed(step)
        )

    def needs_room(self, step: Step) -> bool:
        """Return whether a task can start once finite tasks have ended.

        False while less than half of the limit is in use: others may use what
        a gang waits for.
        """
        return (
            not self.allows(step)
            and any(
                limit and used + need > limit and 2 * used >= limit
                for limit, used, _, need in self._amounts(quota_need(step))
                if need
            )
            and Quota(
                self.limit, self.used_long_running, self.used_long_running
            ).allows(step)
        )

    def add(self, step: Step) -> None:
        """Record the start of a task of a step, or of its whole gang."""
        self._add_pending(quota_need(step), step.is_long_running)

    def add_task(self, step: Step) -> None:
        """Record the start of a single task of a step, or member of a gang."""
        self._add_pending(step.need, step.is_long_running)

    def _add_pending(self, need: Resources, is_long_running: bool) -> None:
        self.used = self.used.plus(need)
        if is_long_running:
            self.used_long_running = self.used_long_running.plus(need)
        self.has_pending_starts = True

    def _may_exceed(self, step: Step) -> bool:
        """Return whether the limit may be exceeded by a task."""
        members = step.count if step.is_gang else 1
        return all(
            not limit
            or not need
            or used + members * need <= limit
            or (
                used + (members - 1) * need < limit
                and (
                    2 * used < limit
                    or (
                        not step.is_long_running
                        and used_long_running + members * need > limit
                    )
                )
            )
            for limit, used, used_long_running, need in self._amounts(step.need)
        )

    def _amounts(self, need: Resources) -> Iterator[tuple[int, int, int, int]]:
        """Return limit, usage, that of long-running tasks and need."""
        return zip(
            msgspec.structs.astuple(self.limit),
            msgspec.structs.astuple(self.used),
            msgspec.structs.astuple(self.used_long_running),
            msgspec.structs.astuple(need),
            strict=True,
        )


class QuotaGate:
    """Decides by the quotas which tasks may start in one round of placement.

    An overdue task holds back others of its tenant: all of them if it only
    waits until no start is pending, else those that are asked about after it.
    They could start for as long as they come, and it never.
    """

    def __init__(self, quotas: Mapping[TeamId, Quota], overdue: OverdueSteps):
        """Create a gate for a round in which only starts change the quotas.

        Args:
            quotas: Quotas by tenant. A tenant without an entry has no limit.
            overdue: Steps that quotas have kept waiting for too long.
        """
        self._quotas = quotas
        self._overdue = overdue
        # Step of each tenant that is the only one to start, since it waits
        # until no start is pending.
        self._exclusive: dict[TeamId, StepId] = {}
        for step_id, (tenant, step) in overdue.items():
            quota = quotas.get(tenant)
            if quota is not None and quota.awaits_pending_starts(step):
                self._exclusive.setdefault(tenant, step_id)
        # Tenants with a task that holds back those behind it.
        self._held_tenants: set[TeamId] = set()
        # Tenant, whether the step is overdue, and kind of what is denied. It
        # stays denied, since nothing ends during a round.
        self._denied: set[tuple] = set()

    def allows(self, tenant: TeamId, step: Step, step_id: StepId) -> bool:
        """Return whether a task of a step, or its whole gang, may start."""
        quota = self._quotas.get(tenant)
        if quota is None:
            return True
        if tenant in self._held_tenants:
            return False
        if self._exclusive.get(tenant, step_id) != step_id:
            return False
        if quota.fits(step):
            return True
        is_overdue = step_id in self._overdue
        kind = (tenant, is_overdue, *quota_kind(step))
        if kind in self._denied:
            return False
        if is_overdue and quota.needs_room(step):
            self._held_tenants.add(tenant)
            return False
        if quota.allows(step):
            return True
        self._denied.add(kind)
        return False


def has_gang_above(limit: Resources, steps: Iterable[Step]) -> bool:
    """Return whether a limit rules out a gang even if nothing is in use."""
    gangs = {(step.need, step.count): step for step in steps if step.is_gang}
    return not all(Quota(limit).allows(step) for step in gangs.values())


def quota_kind(step: Step) -> QuotaKind:
    """Return what decides whether a limit allows a task, or a whole gang."""
    members = step.count if step.is_gang else 1
    return step.need, members, step.is_long_running


def quota_need(step: Step) -> Resources:
    """Return what a task of a step, or its whole gang, adds to the usage."""
    return step.need.times(step.count) if step.is_gang else step.need
