"""Division of a fleet among pools that need more machines than there are."""

from collections.abc import Mapping

from galenarill.common import PoolId

__all__ = ["divide_machines"]


def divide_machines(
    needs: Mapping[PoolId, int], total: int
) -> dict[PoolId, int]:
    """Return how many machines each pool may claim.

    Shares are max-min fair: small needs are covered in full, and the pools
    with larger ones get equal numbers. This answers the load in which the turn
    of one queue begins before the backlog of another's is done: neither keeps
    all machines, so no pool starves for longer than a task and a move last.

    Args:
        needs: Machines that each pool needs.
        total: Machines of all pools together.

    Example:
        >>> divide_machines({"a": 80, "b": 91, "c": 4}, 55)
        {'a': 25, 'b': 26, 'c': 4}
        >>> divide_machines({"a": 3, "b": 2}, 55)
        {'a': 3, 'b': 2}
    """
    shares = {}
    left = total
    by_need = sorted(needs, key=lambda pool: (needs[pool], pool))
    for position, pool in enumerate(by_need):
        share = min(needs[pool], left // (len(by_need) - position))
        shares[pool] = share
        left -= share
    return {pool: shares[pool] for pool in needs}
