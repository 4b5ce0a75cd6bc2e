"""Answers that are kept so that they can be fetched again."""

import asyncio
import collections
import dataclasses
import enum

from galenarill.entry.executor import RequestSpec
from galenarill.world import RequestId, TeamId

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
    """How far an answer has come."""

    WAITING = "waiting"
    RUNNING = "running"
    COMPLETE = "complete"
    ABORTED = "broken"


@dataclasses.dataclass(eq=False)
class StoredResponse:
    """The answer to one request, readable while it arrives and afterwards.

    Attributes:
        spec: The request.
        state: How far it has come.
        status: HTTP status, once known.
        headers: Headers, once known.
        chunks: Body so far.
        size: Bytes of the body so far.
        is_oversized: Whether the body was too large to keep.
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
        """Team that may read the answer."""
        return self.spec.team

    def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Note the head of the answer."""
        self.status = status
        self.headers = headers
        self._notify()

    def write(self, chunk: bytes) -> None:
        """Add to the body, or drop the body once it is too large to keep."""
        self.size += len(chunk)
        if self.size > MAX_STORED_RESPONSE_BYTES:
            self.is_oversized = True
            self.chunks.clear()
        else:
            self.chunks.append(chunk)
        self._notify()

    def end(self, state: ResponseState) -> None:
        """Note the end of the answer."""
        self.state = state
        self._notify()

    @property
    def is_done(self) -> bool:
        """Whether nothing more will come."""
        return self.state in (ResponseState.COMPLETE, ResponseState.ABORTED)

    async def wait_done(self, deadline: float) -> bool:
        """Wait until the answer has ended.

        Returns:
            Whether it has ended before `deadline`.
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
    """Answers by request id, the oldest dropped first.

    The claim on a request id outlives the answer, so that a resend after the
    answer was dropped is refused, not run again.
    """

    def __init__(self):
        """Make an empty store."""
        self._responses: collections.OrderedDict[RequestId, StoredResponse] = (
            collections.OrderedDict()
        )

    def get(self, request: RequestId) -> StoredResponse | None:
        """Return the answer to `request`, if it is kept."""
        return self._responses.get(request)

    def add(self, answer: StoredResponse) -> None:
        """Keep `answer`, and drop old ones to make room."""
        self._responses[answer.request] = answer
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
        """Drop the answer to `request`."""
        self._responses.pop(request, None)

    def running(self) -> list[StoredResponse]:
        """Return the answers that have not ended."""
        return [a for a in self._responses.values() if not a.is_done]
