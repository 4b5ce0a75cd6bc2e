"""The clocks that leases, elections and due times go by."""

import contextlib
import time
from collections.abc import Callable, Iterator

__all__ = ["steady_now", "wall_now", "replaced_clocks"]


def _read_steady() -> float:
    # `time.monotonic` stands still while the VM is suspended, so a lease that
    # has ended meanwhile would still look valid.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_steady: Callable[[], float] = _read_steady
_wall: Callable[[], float] = time.time


def steady_now() -> float:
    """Return seconds on a clock that never jumps and counts suspensions.

    Example:
        >>> steady_now() <= steady_now()
        True
    """
    return _steady()


def wall_now() -> float:
    """Return Unix seconds, which may jump."""
    return _wall()


@contextlib.contextmanager
def replaced_clocks(clock: Callable[[], float]) -> Iterator[None]:
    """Read both clocks from `clock`, for simulations.

    Example:
        >>> with replaced_clocks(lambda: 5.0):
        ...     steady_now()
        5.0
    """
    global _steady, _wall
    before = _steady, _wall
    _steady = _wall = clock
    try:
        yield
    finally:
        _steady, _wall = before
