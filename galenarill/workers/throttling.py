"""Throttling of best-effort tasks next to latency-sensitive ones."""

__all__ = ["next_speed"]

# Tail latency, as a share of its target, above which best-effort tasks slow
# down.
HIGH_LATENCY_SHARE = 0.85
# Tail latency, as a share of its target, below which they speed up again.
LOW_LATENCY_SHARE = 0.6
STEP_UP_PERCENT = 10
FULL_PERCENT = 100


def next_speed(percent: int, worst_share: float) -> int:
    """Return the next speed of the best-effort tasks on a worker.

    Additive increase, multiplicative decrease: the speed is halved while a
    tail latency is close to its target, set to 0 while one is above its target,
    and raised by a small step while all are well below. Between the two
    thresholds it does not change (hysteresis).

    Args:
        percent: Current speed.
        worst_share: Largest ratio of tail latency to target among the
            latency-sensitive tasks on the worker; 0 if there are none.

    Returns:
        The speed to set, in percent.

    Example:
        >>> next_speed(100, 1.2), next_speed(100, 0.9)
        (0, 50)
        >>> next_speed(50, 0.7), next_speed(50, 0.3), next_speed(95, 0.0)
        (50, 60, 100)
    """
    if worst_share > 1:
        return 0
    if worst_share > HIGH_LATENCY_SHARE:
        return percent // 2
    if worst_share < LOW_LATENCY_SHARE:
        return min(FULL_PERCENT, percent + STEP_UP_PERCENT)
    return percent
