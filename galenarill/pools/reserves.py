"""Division of the machines that pools keep for the beginning of a burst."""

from collections.abc import Mapping

from galenarill.common import PoolId

__all__ = ["divide_reserve"]


def divide_reserve(
    total: int, minimum: int, idle_seconds: Mapping[PoolId, float]
) -> dict[PoolId, int]:
    """Return how many machines each pool keeps for new work.

    Queues take turns, so the one whose last burst is longest ago is the
    likeliest to be next: shares grow with the square of that time. This answers
    the first seconds of a burst, in which only the reserve serves it. While no
    burst was seen all pools keep the same.

    Args:
        total: Machines in reserve of all pools together.
        minimum: Machines that each pool keeps in any case.
        idle_seconds: Time since the last burst of each pool, in seconds.

    Example:
        >>> divide_reserve(36, 3, {"a": 0.0, "b": 30.0, "c": 30.0, "d": 30.0})
        {'a': 3, 'b': 11, 'c': 11, 'd': 11}
        >>> divide_reserve(36, 3, {"a": 0.0, "b": 10.0, "c": 20.0, "d": 40.0})
        {'a': 3, 'b': 4, 'c': 8, 'd': 21}
    """
    weights = {pool: seconds**2 for pool, seconds in idle_seconds.items()}
    weight_sum = sum(weights.values())
    rest = max(0, total - minimum * len(weights))
    if not weight_sum:
        return {pool: minimum + rest // len(weights) for pool in weights}
    return {
        pool: minimum + round(rest * weight / weight_sum)
        for pool, weight in weights.items()
    }
