"""Attempts of requests that may crash the backend servers that run them."""

import asyncio

from galenarill.common import PoolId

__all__ = ["Trial", "TrialGate"]

# Time after which an attempt is unlikely to crash its server, in seconds.
TRIAL_SECONDS = 1.0


class Trial:
    """The turn of a suspect request to run on a backend server."""

    def __init__(self, lock: asyncio.Lock):
        """Make a trial that holds `lock`."""
        self._lock = lock
        self._timer: asyncio.TimerHandle | None = None
        self._is_over = False

    def begin_attempt(self) -> None:
        """Admit the next suspect in `TRIAL_SECONDS`, unless `end` does."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(TRIAL_SECONDS, self.end)

    def end(self) -> None:
        """Admit the next suspect."""
        if self._is_over:
            return
        self._is_over = True
        self._lock.release()
        if self._timer is not None:
            self._timer.cancel()


class TrialGate:
    """Admits one suspect request at a time to each pool.

    Requests that were on a server when it crashed are retried at the same
    time. Without a gate they may share the next server with the one that is the
    cause, and be given up with it.
    """

    def __init__(self):
        """Make a gate that admits a request to each pool."""
        self._locks: dict[PoolId, asyncio.Lock] = {}

    async def enter(self, pool: PoolId, deadline: float) -> Trial:
        """Wait until no other suspect of this VM is on trial in a pool.

        Args:
            pool: Pool that the request needs.
            deadline: Loop time by which it has to be admitted.

        Raises:
            TimeoutError: If it is not admitted in time.
        """
        lock = self._locks.setdefault(pool, asyncio.Lock())
        async with asyncio.timeout_at(deadline):
            await lock.acquire()
        return Trial(lock)
