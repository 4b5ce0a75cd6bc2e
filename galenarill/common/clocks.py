"""Monotonic clock and wall clock, replaceable in simulations."""

import contextlib
import time
from collections.abc import Callable, Iterator

__all__ = ["monotonic_now", "wall_now", "replaced_clocks"]


def _read_boottime() -> float:
    # `time.monotonic` does not count the time while the VM is suspended, so a
    # lease that expired during a suspension would still appear valid.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_monotonic: Callable[[], float] = _read_boottime
_wall: Callable[[], float] = time.time


def monotonic_now() -> float:
    """Return seconds of a monotonic clock that includes suspensions.

    Example:
        >>> monotonic_now() <= monotonic_now()
        True
    """
    return _monotonic()


def wall_now() -> float:
    """Return Unix seconds, which jump when the system clock is set."""
    return _wall()


@contextlib.contextmanager
def replaced_clocks(clock: Callable[[], float]) -> Iterator[None]:
    """Replace both clocks by `clock` within the context, for simulations.

    Example:
        >>> with replaced_clocks(lambda: 5.0):
        ...     monotonic_now()
        5.0
    """
    global _monotonic, _wall
    previous = _monotonic, _wall
    _monotonic = _wall = clock
    try:
        yield
    finally:
        _monotonic, _wall = previous
