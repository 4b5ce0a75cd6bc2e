"""How fast tasks that fill may work beside tasks that serve."""

__all__ = ["next_percent"]

# Share of its target from which a serving task's tail slows the others down.
HIGH_SHARE = 0.85
# Share of the target below which they may speed up again.
LOW_SHARE = 0.6
STEP_UP_PERCENT = 10
FULL_PERCENT = 100


def next_percent(percent: int, worst_share: float) -> int:
    """Return the pace of tasks that fill, from their neighbours' tails.

    Down fast, up slowly: halved while a tail is near its target, stopped while
    one is above it, and raised a little while all are well below.

    Args:
        percent: Present pace.
        worst_share: Largest tail of a serving task over its target; 0 if none
            serves there.

    Returns:
        The pace to set.

    Example:
        >>> next_percent(100, 1.2), next_percent(100, 0.9)
        (0, 50)
        >>> next_percent(50, 0.7), next_percent(50, 0.3), next_percent(95, 0.0)
        (50, 60, 100)
    """
    if worst_share > 1:
        return 0
    if worst_share > HIGH_SHARE:
        return percent // 2
    if worst_share < LOW_SHARE:
        return min(FULL_PERCENT, percent + STEP_UP_PERCENT)
    return percent
