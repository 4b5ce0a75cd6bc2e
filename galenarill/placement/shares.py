"""Usage of scarce capacity by tenants, as the basis of fair shares."""

import dataclasses

from galenarill.common import TeamId
from galenarill.routing import Resources

__all__ = ["TenantUsage"]


@dataclasses.dataclass(slots=True)
class TenantUsage:
    """Resources in use by tenant.

    Attributes:
        used: Resources of the current runs of each tenant.
        weights: Weight of each tenant; 1 for a tenant without an entry.
        total: Capacity of all workers.
    """

    used: dict[TeamId, Resources]
    weights: dict[TeamId, float]
    total: Resources

    def weighted_share(self, tenant: TeamId) -> float:
        """Return the dominant share of a tenant in relation to its weight.

        Example:
            >>> usage = TenantUsage({"a": Resources(2)}, {"a": 2}, Resources(4))
            >>> usage.weighted_share("a"), usage.weighted_share("b")
            (0.25, 0.0)

        References:
            Ghodsi et al. Dominant Resource Fairness. NSDI 2011.
        """
        used = self.used.get(tenant)
        if used is None:
            return 0.0
        return _dominant_share(used, self.total) / self.weights.get(tenant, 1.0)

    def add(self, tenant: TeamId, amount: Resources) -> None:
        """Add resources to the usage of a tenant."""
        self.used[tenant] = self.used.get(tenant, Resources()).plus(amount)


def _dominant_share(used: Resources, total: Resources) -> float:
    return max(
        (
            amount / capacity
            for amount, capacity in (
                (used.cpu, total.cpu),
                (used.mem_mb, total.mem_mb),
                (used.gpu, total.gpu),
            )
            if capacity
        ),
        default=0.0,
    )
