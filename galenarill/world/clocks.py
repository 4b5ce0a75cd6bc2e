"""The clock that leases and elections go by."""

import time

__all__ = ["steady_now"]


def steady_now() -> float:
    """Return seconds on a clock that never jumps and counts suspensions.

    `time.monotonic` stands still while the VM is suspended, so a lease that
    has ended meanwhile would still look valid.

    Example:
        >>> steady_now() <= steady_now()
        True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
