"""Shows which waiting tasks the upper limit of their tenant holds back."""

import logging

import msgspec

from galenarill.common import TeamId, monotonic_now
from galenarill.jobs import Step
from galenarill.placement import (
    Quota,
    QuotaKind,
    StepId,
    TaskGroup,
    quota_kind,
    quota_need,
)
from galenarill.telemetry import meter

__all__ = ["LimitMonitor"]

logger = logging.getLogger(__name__)

_HELD_TASKS = meter().create_gauge("galenarill_tasks_held_by_limit")

# Time that a task waits for its tenant's limit until it is logged, and others
# of the tenant make room for it, in seconds.
OVERDUE_SECONDS = 1.0
# Time between two lines on one tenant, in seconds.
LINE_SECONDS = 5.0


class LimitMonitor:
    """Logs and counts the tasks that wait for their tenant's usage to fall."""

    def __init__(self):
        """Create a monitor that has seen no round."""
        # Since when tasks of each step have been held back.
        self._held_since: dict[StepId, float] = {}
        self._log_again_at: dict[TeamId, float] = {}
        # It still has the number of an earlier term of this process.
        _HELD_TASKS.set(0)

    def overdue_steps(
        self, groups: list[TaskGroup]
    ) -> dict[StepId, tuple[TeamId, Step]]:
        """Return the steps that have been held back for too long.

        Args:
            groups: Groups of ready tasks.

        Returns:
            Tenant and step by id, the one that has waited longest first.
        """
        latest = monotonic_now() - OVERDUE_SECONDS
        since = self._held_since
        overdue = [g for g in groups if since.get(g.step_id, latest) < latest]
        overdue.sort(key=lambda group: since[group.step_id])
        return {group.step_id: (group.tenant, group.step) for group in overdue}

    def update(
        self, waiting: list[TaskGroup], quotas: dict[TeamId, Quota]
    ) -> set[StepId]:
        """Return the steps whose tasks their tenant's limit holds back.

        Args:
            waiting: Groups of tasks that found no worker in a round.
            quotas: Quotas by tenant, with the usage after the round.
        """
        now = monotonic_now()
        held: dict[TeamId, list[TaskGroup]] = {}
        denied: set[tuple[TeamId, QuotaKind]] = set()
        for group in waiting:
            quota = quotas.get(group.tenant)
            if quota is None or quota.fits(group.step):
                continue
            kind = group.tenant, quota_kind(group.step)
            if kind in denied or not quota.allows(group.step):
                denied.add(kind)
                held.setdefault(group.tenant, []).append(group)
        self._held_since = {
            group.step_id: self._held_since.get(group.step_id, now)
            for groups in held.values()
            for group in groups
        }
        self._log_again_at = {
            tenant: at
            for tenant, at in self._log_again_at.items()
            if now < at or tenant in held
        }
        _HELD_TASKS.set(
            sum(len(g.keys) for groups in held.values() for g in groups)
        )
        for tenant, groups in held.items():
            self._log(tenant, groups, quotas[tenant], now)
        return self._held_since.keys()

    def _log(
        self, tenant: TeamId, groups: list[TaskGroup], quota: Quota, now: float
    ) -> None:
        """Log the tasks of a tenant, with the one that has waited longest."""
        first = min(groups, key=lambda group: self._held_since[group.step_id])
        seconds = now - self._held_since[first.step_id]
        if seconds < OVERDUE_SECONDS or now < self._log_again_at.get(
            tenant, now
        ):
            return
        self._log_again_at[tenant] = now + LINE_SECONDS
        logger.info(
            "tasks wait for the tenant's limit",
            extra={
                "tenant": tenant,
                "tasks": sum(len(group.keys) for group in groups),
                "job": first.job,
                "task": list(first.step_id[1:]),
                "seconds": round(seconds, 3),
                "need": msgspec.structs.asdict(quota_need(first.step)),
                "used": msgspec.structs.asdict(quota.used),
                "limit": msgspec.structs.asdict(quota.limit),
            },
        )
