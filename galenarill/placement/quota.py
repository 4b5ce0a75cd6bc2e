"""Upper limits of tenants, and what the tenants have running."""

import dataclasses
from collections.abc import Iterator

import msgspec

from galenarill.jobs import Step
from galenarill.routing import Resources

__all__ = ["Quota", "QuotaKind", "quota_kind", "quota_need"]

# Need of each task, number of tasks that start together, and whether they are
# long-running.
QuotaKind = tuple[Resources, int, bool]


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

    def ever_allows(self, step: Step) -> bool:
        """Return whether the limit allows a step if nothing is in use."""
        return Quota(self.limit).allows(step)

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
        need = quota_need(step)
        self.used = self.used.plus(need)
        if step.is_long_running:
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


def quota_kind(step: Step) -> QuotaKind:
    """Return what decides whether a limit allows a task, or a whole gang."""
    members = step.count if step.is_gang else 1
    return step.need, members, step.is_long_running


def quota_need(step: Step) -> Resources:
    """Return what a task of a step, or its whole gang, adds to the usage."""
    return step.need.times(step.count) if step.is_gang else step.need
