"""Requests whose connections to backend servers have broken."""

import dataclasses

from galenarill.common import AttemptId, RequestId

__all__ = ["BrokenRequests"]

# Time for which a request is remembered, in seconds. As long as claims last.
MEMORY_SECONDS = 600.0
MAX_REQUESTS = 10_000
# Time for which peers are told of a broken connection, in seconds. Longer than
# a few heartbeats take.
ANNOUNCE_SECONDS = 3.0
# Bounds the size of a heartbeat when many servers are lost at once.
MAX_ANNOUNCEMENTS = 200


@dataclasses.dataclass(slots=True)
class _BrokenRequest:
    forget_at: float
    attempts: set[AttemptId]


class BrokenRequests:
    """The attempts of each request whose connection to its server broke.

    A request may crash the servers that run it. Entry VMs tell each other of
    broken connections, so that resends elsewhere don't crash further servers.

    Example:
        >>> broken = BrokenRequests()
        >>> broken.record("r1", "r1.1", now=0.0)
        >>> broken.record("r1", "r1.1", now=0.5)
        >>> broken.count("r1", now=1.0)
        1
        >>> broken.count("r1", now=601.0)
        0
    """

    def __init__(self):
        """Make a table without requests."""
        # In the order of their expiry.
        self._requests: dict[RequestId, _BrokenRequest] = {}
        self._announcements: list[tuple[float, RequestId, AttemptId]] = []
        self._has_news = False

    @property
    def has_news(self) -> bool:
        """Whether the peers have not been told of the latest attempts yet."""
        return self._has_news

    def record(
        self, request: RequestId, attempt: AttemptId, now: float
    ) -> None:
        """Record that the connection of an attempt broke.

        Args:
            request: Request id.
            attempt: Attempt id.
            now: Monotonic time in seconds.
        """
        self._forget(now)
        entry = self._requests.setdefault(
            request, _BrokenRequest(now + MEMORY_SECONDS, set())
        )
        entry.attempts.add(attempt)

    def announce(
        self, request: RequestId, attempt: AttemptId, now: float
    ) -> None:
        """Record a broken attempt of this VM, and tell the peers of it."""
        self.record(request, attempt, now)
        self._announcements.append((now + ANNOUNCE_SECONDS, request, attempt))
        self._has_news = True

    def announcements(
        self, now: float
    ) -> tuple[tuple[RequestId, AttemptId], ...]:
        """Return the request and attempt of what the peers are told now."""
        self._announcements = [a for a in self._announcements if now < a[0]]
        self._announcements = self._announcements[-MAX_ANNOUNCEMENTS:]
        self._has_news = False
        return tuple(
            (request, attempt) for _, request, attempt in self._announcements
        )

    def latest(self, now: float) -> tuple[tuple[RequestId, AttemptId], ...]:
        """Return the latest attempts, for a peer that may have missed them."""
        self._forget(now)
        pairs = [
            (request, attempt)
            for request, entry in self._requests.items()
            for attempt in sorted(entry.attempts)
        ]
        return tuple(pairs[-MAX_ANNOUNCEMENTS:])

    def count(self, request: RequestId, now: float) -> int:
        """Return how many attempts of a request are known to have broken."""
        self._forget(now)
        entry = self._requests.get(request)
        return len(entry.attempts) if entry else 0

    def _forget(self, now: float) -> None:
        while self._requests:
            oldest = next(iter(self._requests))
            if (
                len(self._requests) <= MAX_REQUESTS
                and now < self._requests[oldest].forget_at
            ):
                return
            del self._requests[oldest]
