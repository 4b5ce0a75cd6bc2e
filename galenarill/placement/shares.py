"""Weighted fair sharing of scarce capacity between tenants."""

import heapq
from collections.abc import Iterable

from galenarill.common import TeamId
from galenarill.routing import Resources

__all__ = ["order_by_fair_share"]


def order_by_fair_share(
    entries: Iterable[tuple[TeamId, Resources, object]],
    used: dict[TeamId, Resources],
    weights: dict[TeamId, float],
    total: Resources,
) -> list:
    """Order tasks by weighted dominant resource fairness.

    The next task is always the first remaining one of the tenant with the
    smallest ratio of dominant share to weight. The order does not matter while
    there is capacity for all tasks.

    Args:
        entries: Tenant, need and task, the most urgent first.
        used: Resources of each tenant's current runs.
        weights: Weight of each tenant; 1 for a tenant without an entry.
        total: Capacity of all workers.

    Returns:
        The tasks in fair order.

    Example:
        >>> one = Resources(1)
        >>> entries = [("a", one, "a1"), ("a", one, "a2"), ("b", one, "b1")]
        >>> order_by_fair_share(entries, {}, {"a": 1, "b": 1}, Resources(4))
        ['a1', 'b1', 'a2']

    References:
        Ghodsi et al. Dominant Resource Fairness. NSDI 2011.
    """
    queues: dict[TeamId, list] = {}
    for position, (tenant, need, task) in enumerate(entries):
        queues.setdefault(tenant, []).append((position, need, task))
    for queue in queues.values():
        queue.reverse()
    allocated = {tenant: used.get(tenant, Resources()) for tenant in queues}

    def weighted_share(tenant: TeamId) -> float:
        return _dominant_share(allocated[tenant], total) / weights.get(
            tenant, 1.0
        )

    heap = [
        (weighted_share(tenant), q[-1][0], tenant)
        for tenant, q in queues.items()
    ]
    heapq.heapify(heap)
    ordered = []
    while heap:
        _, _, tenant = heapq.heappop(heap)
        _, need, task = queues[tenant].pop()
        ordered.append(task)
        allocated[tenant] = allocated[tenant].plus(need)
        if queues[tenant]:
            following = queues[tenant][-1][0]
            heapq.heappush(heap, (weighted_share(tenant), following, tenant))
    return ordered


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
