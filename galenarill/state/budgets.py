"""Availability budgets of pools."""

from collections.abc import Iterable

from galenarill.common import PoolId
from galenarill.settings import PoolSettings
from galenarill.state.records import VmRecord

__all__ = ["budget_violation"]


def budget_violation(
    vm: VmRecord,
    pool_id: PoolId,
    pool: PoolSettings,
    vms: Iterable[VmRecord],
) -> str:
    """Return why the budget forbids taking `vm` out of service, or "".

    Drains, maintenance, moves and losses all count against the same budget.

    Args:
        vm: VM that is available.
        pool_id: Pool of the VM.
        pool: Settings of the pool.
        vms: All VMs of the fleet.

    Returns:
        The reason, or "" if the VM may be taken out of service.
    """
    unavailable = [v for v in vms if v.pool == pool_id and not v.is_available]
    if len(unavailable) >= pool.max_unavailable:
        return (
            f"pool {pool_id} has {len(unavailable)} of at most "
            f"{pool.max_unavailable} VMs unavailable"
        )
    in_rack = sum(v.rack == vm.rack for v in unavailable)
    if in_rack >= pool.max_unavailable_per_rack:
        return (
            f"pool {pool_id} has {in_rack} of at most "
            f"{pool.max_unavailable_per_rack} VMs of rack {vm.rack} "
            "unavailable"
        )
    return ""
