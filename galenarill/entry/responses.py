"""Stored responses, which callers can fetch again by request id."""

import asyncio
import collections
import dataclasses
import enum

from galenarill.common import RequestId, TeamId
from galenarill.entry.executor import RequestSpec

__all__ = [
    "StoredResponse",
    "ResponseState",
    "ResponseStore",
    "MAX_STORED_RESPONSE_BYTES",
]

MAX_STORED_RESPONSE_BYTES = 256 * 1024
MAX_STORE_BYTES = 2 * 1024 * 1024
MAX_STORED_RESPONSES = 2_000


class ResponseState(enum.Enum):
    """Progress of a response."""

    WAITING = "waiting"
    RUNNING = "running"
    COMPLETE = "complete"
    ABORTED = "broken"


@dataclasses.dataclass(eq=False)
class StoredResponse:
    """Response to one request, stored while it arrives.

    Attributes:
        spec: The request.
        state: Progress of the response.
        status: HTTP status, or 0 before it is received.
        headers: Headers, empty before they are received.
        chunks: Body received so far, empty if it is too large to store.
        size: Number of bytes of the body received so far.
        is_oversized: Whether the body is too large to store.
        task: Task that runs the request.
    """

    spec: RequestSpec
    state: ResponseState = ResponseState.WAITING
    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    chunks: list[bytes] = dataclasses.field(default_factory=list)
    size: int = 0
    is_oversized: bool = False
    task: asyncio.Task | None = None
    _changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def request(self) -> RequestId:
        """Request id."""
        return self.spec.request

    @property
    def team(self) -> TeamId:
        """Team that may read the response."""
        return self.spec.team

    def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Store the status and headers."""
        self.status = status
        self.headers = headers
        self._notify()

    def write(self, chunk: bytes) -> None:
        """Append to the body, or drop the body once it is too large."""
        self.size += len(chunk)
        if self.size > MAX_STORED_RESPONSE_BYTES:
            self.is_oversized = True
            self.chunks.clear()
        else:
            self.chunks.append(chunk)
        self._notify()

    def end(self, state: ResponseState) -> None:
        """Set the final state."""
        self.state = state
        self._notify()

    @property
    def is_done(self) -> bool:
        """Whether the response has ended."""
        return self.state in (ResponseState.COMPLETE, ResponseState.ABORTED)

    async def wait_done(self, deadline: float) -> bool:
        """Wait until the response has ended.

        Args:
            deadline: Loop time at which to stop waiting.

        Returns:
            Whether it ended before `deadline`.
        """
        try:
            async with asyncio.timeout_at(deadline):
                while not self.is_done:
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class ResponseStore:
    """Stored responses by request id, evicted in order of insertion.

    Running ones are never evicted. The claim on a request id outlives the
    stored response, so a request that is sent again after the eviction is
    refused instead of run a second time.
    """

    def __init__(self):
        """Make an empty store."""
        self._responses: collections.OrderedDict[RequestId, StoredResponse] = (
            collections.OrderedDict()
        )

    def get(self, request: RequestId) -> StoredResponse | None:
        """Return the response to `request`, or None if it is not stored."""
        return self._responses.get(request)

    def add(self, response: StoredResponse) -> None:
        """Store `response`, and evict completed ones above the limits."""
        self._responses[response.request] = response
        size = sum(
            a.size for a in self._responses.values() if not a.is_oversized
        )
        for request, old in list(self._responses.items()):
            if size <= MAX_STORE_BYTES and (
                len(self._responses) <= MAX_STORED_RESPONSES
            ):
                break
            if old.is_done:
                size -= 0 if old.is_oversized else old.size
                del self._responses[request]

    def remove(self, request: RequestId) -> None:
        """Remove the response to `request`, if it is stored."""
        self._responses.pop(request, None)

    def running(self) -> list[StoredResponse]:
        """Return the responses that have not ended."""
        return [a for a in self._responses.values() if not a.is_done]
