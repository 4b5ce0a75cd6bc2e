"""Event loop in virtual time: it skips to the next timer without waiting."""

import asyncio
import selectors

from galenarill.common import replaced_clocks

__all__ = ["VirtualTimeLoop", "run_in_virtual_time"]


class _VirtualTimeSelector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: no callback or timer is scheduled")
        self.now += max(timeout, 0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, for simulations without I/O."""

    def __init__(self):
        """Create a loop whose virtual time starts at 1000 seconds."""
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run_in_virtual_time(make_coroutine):
    """Run a coroutine to completion in virtual time.

    Args:
        make_coroutine: Function that returns the coroutine.

    Returns:
        The result of the coroutine.

    Example:
        >>> async def wait_an_hour():
        ...     start = asyncio.get_running_loop().time()
        ...     await asyncio.sleep(3600)
        ...     return round(asyncio.get_running_loop().time() - start)
        >>> run_in_virtual_time(wait_an_hour)
        3600
    """
    loop = VirtualTimeLoop()
    try:
        with replaced_clocks(loop.time):
            return loop.run_until_complete(make_coroutine())
    finally:
        loop.close()
