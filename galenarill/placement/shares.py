"""Usage of scarce capacity by tenants, as the basis of fair shares."""

import dataclasses
from collections.abc import Mapping
from typing import Protocol

from galenarill.common import TeamId
from galenarill.routing import Resources

__all__ = ["TenantUsage", "dominant_share", "Amounts"]


class Amounts(Protocol):
    """An amount of each resource, which may be a fraction of a unit."""

    cpu: float
    mem_mb: float
    gpu: float


@dataclasses.dataclass(slots=True)
class TenantUsage:
    """Resources in use by tenant.

    Attributes:
        used: Resources of the current runs of each tenant.
        weights: Weight of each tenant; 1 for a tenant without an entry.
        total: Capacity of all workers.
        recent: Dominant share that each tenant had of late, which counts like
            current usage; 0 for a tenant without an entry.
    """

    used: dict[TeamId, Resources]
    weights: dict[TeamId, float]
    total: Resources
    recent: Mapping[TeamId, float] = dataclasses.field(default_factory=dict)

    def weighted_share(self, tenant: TeamId) -> float:
        """Return the dominant share of a tenant in relation to its weight.

        This is its current share plus its recent one.

        Example:
            >>> usage = TenantUsage({"a": Resources(2)}, {"a": 2}, Resources(4))
            >>> usage.weighted_share("a"), usage.weighted_share("b")
            (0.25, 0.0)

        References:
            Ghodsi et al. Dominant Resource Fairness. NSDI 2011.
        """
        used = self.used.get(tenant)
        share = self.recent.get(tenant, 0.0)
        if used is not None:
            share += dominant_share(used, self.total)
        return share / self.weights.get(tenant, 1.0) if share else 0.0

    def add(self, tenant: TeamId, amount: Resources) -> None:
        """Add resources to the usage of a tenant."""
        self.used[tenant] = self.used.get(tenant, Resources()).plus(amount)


def dominant_share(used: Amounts, total: Resources) -> float:
    """Return the largest share of any resource that `used` is of `total`."""
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
