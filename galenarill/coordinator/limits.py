"""Shows which waiting tasks the upper limit of their tenant holds back."""

import logging
from collections.abc import Iterable

import msgspec

from galenarill.common import TeamId, monotonic_now
from galenarill.coordinator.runs import RunIndex
from galenarill.jobs import Step
from galenarill.placement import (
    OverdueSteps,
    Quota,
    QuotaKind,
    StepId,
    TaskGroup,
    quota_kind,
    quota_need,
)
from galenarill.routing import Resources, Tenant
from galenarill.telemetry import meter

__all__ = ["LimitMonitor", "make_quotas"]

logger = logging.getLogger(__name__)

_HELD_TASKS = meter().create_gauge("galenarill_tasks_held_by_limit")

# Time that a task waits for its tenant's limit until it is logged, and others
# of the tenant make room for it, in seconds.
OVERDUE_SECONDS = 1.0
# Time between two lines on one tenant, in seconds.
LINE_SECONDS = 5.0


def make_quotas(
    tenants: Iterable[Tenant],
    runs: RunIndex,
    proposed: Iterable[tuple[TeamId, Step]],
) -> dict[TeamId, Quota]:
    """Return the quotas of tenants by name.

    Args:
        tenants: Tenants. Of two of one name the last one counts.
        runs: Runs in the state.
        proposed: Tenant and step of each start that is not in the state yet.
    """
    starting = runs.starting_runs()
    starting_tenants = {run.tenant for run in starting}
    unanswered = {run.tenant for run in starting if run.has_unanswered_start}
    quotas = {
        tenant.name: Quota(
            tenant.upper_limit,
            runs.used_by_tenant.get(tenant.name, Resources()),
            runs.long_running_by_tenant.get(tenant.name, Resources()),
            tenant.name in starting_tenants,
            tenant.name in unanswered,
        )
        for tenant in tenants
    }
    for tenant, step in proposed:
        if tenant in quotas:
            quotas[tenant].add_task(step)
    return quotas


class LimitMonitor:
    """Logs and counts the tasks that wait for their tenant's usage to fall."""

    def __init__(self):
        """Create a monitor that has seen no round."""
        # Since when tasks of each step have been held back.
        self._held_since: dict[StepId, float] = {}
        self._log_again_at: dict[TeamId, float] = {}
        # It still has the number of an earlier term of this process.
        _HELD_TASKS.set(0)

    def overdue_steps(self, groups: list[TaskGroup]) -> OverdueSteps:
        """Return those steps that have been held back for too long."""
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
