"""Usage of tenants over the last moments, as a part of fair shares."""

import dataclasses
import heapq
from collections.abc import Mapping

from galenarill.common import TeamId
from galenarill.placement.shares import dominant_share
from galenarill.routing import Resources

__all__ = ["RecentUsage"]

# Time between two samples, in seconds. Placement rounds may be only 0.01 s
# apart, while the half-life is seconds or more.
SAMPLE_SECONDS = 0.1
# Number of half-lives after which an idle tenant is forgotten. By then less
# than a thousandth of its usage is left.
FORGET_HALF_LIVES = 10
# Maximum number of tenants with a history. The largest site has 86.
MAX_TENANTS = 1024

_NOTHING = Resources()


@dataclasses.dataclass(slots=True)
class _DecayedUsage:
    """Mean usage of one tenant, weighted by age.

    Attributes:
        cpu: CPU in millicores.
        mem_mb: Memory in MB.
        gpu: Number of accelerators.
        forget_at: When it is dropped unless the tenant has runs until then.
    """

    cpu: float
    mem_mb: float
    gpu: float
    forget_at: float

    def approach(self, used: Resources, weight: float) -> None:
        """Move towards `used` by a part of the difference."""
        self.cpu += (used.cpu - self.cpu) * weight
        self.mem_mb += (used.mem_mb - self.mem_mb) * weight
        self.gpu += (used.gpu - self.gpu) * weight


class RecentUsage:
    """Resources that tenants used, with exponential decay.

    Each past moment counts half as much as one that is a half-life later. The
    mean of constant usage is that usage, so it compares with current usage.

    Handles a tenant that sends many times its usual load, on a site with 86
    tenants. The cost of a sample depends on the number of tenants, not of runs.

    Example:
        >>> recent = RecentUsage(half_life_seconds=10)
        >>> recent.record({"a": Resources(8)}, now=0.0)
        >>> recent.record({"a": Resources(0)}, now=10.0)
        >>> recent.shares(Resources(16))
        {'a': 0.25}
    """

    def __init__(self, half_life_seconds: float):
        """Create an empty history."""
        self._half_life_seconds = half_life_seconds
        self._usage: dict[TeamId, _DecayedUsage] = {}
        self._sampled_at: float | None = None
        self._next_sample_at = float("-inf")

    def record(self, used: Mapping[TeamId, Resources], now: float) -> None:
        """Record the current usage, unless the last sample is recent.

        The first sample is taken as the whole history: a new leader knows no
        other, and without one it would rank all tenants as idle.

        Args:
            used: Resources of the current runs of each tenant.
            now: Time on the monotonic clock.
        """
        if now < self._next_sample_at:
            return
        self._next_sample_at = now + SAMPLE_SECONDS
        weight = 1.0
        if self._sampled_at is not None:
            elapsed = now - self._sampled_at
            weight -= 0.5 ** (elapsed / self._half_life_seconds)
        self._sampled_at = now
        forget_at = now + FORGET_HALF_LIVES * self._half_life_seconds
        for tenant, amount in used.items():
            if amount != _NOTHING:
                self._usage.setdefault(
                    tenant, _DecayedUsage(0.0, 0.0, 0.0, forget_at)
                ).forget_at = forget_at
        for tenant, usage in list(self._usage.items()):
            if now >= usage.forget_at:
                del self._usage[tenant]
            else:
                usage.approach(used.get(tenant, _NOTHING), weight)
        if len(self._usage) > MAX_TENANTS:
            self._usage = dict(
                heapq.nlargest(
                    MAX_TENANTS,
                    self._usage.items(),
                    key=lambda entry: entry[1].forget_at,
                )
            )

    def shares(self, total: Resources) -> dict[TeamId, float]:
        """Return the dominant share of each tenant with a history.

        Args:
            total: Capacity of all workers.
        """
        return {
            tenant: dominant_share(usage, total)
            for tenant, usage in self._usage.items()
        }
