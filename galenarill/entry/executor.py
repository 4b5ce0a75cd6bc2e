"""Running one caller's request on backend servers."""

import abc
import asyncio
import dataclasses
import enum
import logging
import time
from collections.abc import AsyncIterator

import aiohttp
import yarl

from galenarill.entry.connections import PermitConnections
from galenarill.entry.problems import RunState
from galenarill.entry.slots import SlotManager
from galenarill.errors import RequestRefusedError
from galenarill.scheduling import RetryBudget, ServiceTime, Start
from galenarill.world import PoolId, QueueId, RequestId, TeamId, VmId

__all__ = [
    "RequestExecutor",
    "RequestSpec",
    "RequestBody",
    "ResponseSink",
    "OutcomeUnknownError",
    "CallerDisconnectedError",
    "HOP_BY_HOP_HEADERS",
]

MAX_SERVERS_PER_REQUEST = 3
BODY_READ_TIMEOUT_SECONDS = 20.0
# Answers up to this size are read whole, which saves two writes.
MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

logger = logging.getLogger(__name__)


class OutcomeUnknownError(Exception):
    """A request that has no answer.

    Attributes:
        status: HTTP status for the caller.
        kind: Name of the problem.
        run: What is known of whether it ran.
    """

    def __init__(self, status: int, kind: str, detail: str, run: RunState):
        """Store what the caller is told."""
        super().__init__(detail)
        self.status = status
        self.kind = kind
        self.run = run


class CallerDisconnectedError(Exception):
    """The caller has closed its connection."""


class RequestBody:
    """Body of a request, kept if it is small and streamed once if not."""

    def __init__(self, buffered: bytes, remainder: aiohttp.StreamReader | None):
        """Make a body of `buffered` bytes that `remainder` may follow."""
        self._buffered = buffered
        self._remainder = remainder
        self._is_consumed = False
        self._is_fully_sent = remainder is None

    @property
    def is_fully_sent(self) -> bool:
        """Whether the caller has sent all of it, and it was passed on."""
        return self._is_fully_sent

    @property
    def can_replay(self) -> bool:
        """Whether the body can be sent (again) from its start."""
        return self._remainder is None or not self._is_consumed

    def data(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body for the HTTP client."""
        if self._remainder is None:
            return self._buffered or None
        return self._stream()

    async def _stream(self) -> AsyncIterator[bytes]:
        self._is_consumed = True
        yield self._buffered
        while True:
            async with asyncio.timeout(BODY_READ_TIMEOUT_SECONDS):
                chunk = await self._remainder.readany()
            if not chunk:
                self._is_fully_sent = True
                return
            yield chunk


@dataclasses.dataclass(slots=True)
class RequestSpec:
    """A caller's request.

    Attributes:
        request: Request id.
        team: Team that it runs for.
        queue: Queue that it was submitted to.
        pool: Pool of the queue.
        method: HTTP method.
        path: Path and query for the backend server.
        headers: Headers for the backend server.
        body: Body.
        deadline: Time by which the answer must have begun.
        is_idempotent: Whether it may run more than once.
        claim_token: Token of the claim on the request id, or "".
        may_have_run: Whether a byte of it may have reached a backend server.
    """

    request: RequestId
    team: TeamId
    queue: QueueId
    pool: PoolId
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: RequestBody
    deadline: float
    is_idempotent: bool
    claim_token: str = ""
    may_have_run: bool = False


class ResponseSink(abc.ABC):
    """Receiver of an answer.

    Each method raises `CallerDisconnectedError` when nobody listens any more.
    """

    async def whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Take a complete answer."""
        await self.begin(status, headers)
        await self.write(body)
        await self.finish()

    @abc.abstractmethod
    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Take the head of the answer."""

    @abc.abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Take a part of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Note that the answer is complete."""

    @abc.abstractmethod
    async def abort(self) -> None:
        """Note that the rest of the answer is lost."""


class _AttemptResult(enum.Enum):
    RESPONDED = enum.auto()
    NOT_SENT = enum.auto()
    FAILED = enum.auto()


class RequestExecutor:
    """Runs requests: slot, attempt, retry where it is allowed."""

    def __init__(self, slots: SlotManager, connections: PermitConnections):
        """Make an execution over this VM's slots."""
        self._slots = slots
        self._connections = connections
        self._retry_budgets: dict[TeamId, RetryBudget] = {}
        self._service_times: dict[QueueId, ServiceTime] = {}
        self._loop = asyncio.get_running_loop()

    async def run(self, spec: RequestSpec, sink: ResponseSink) -> None:
        """Run a request to its answer.

        Args:
            spec: The request.
            sink: Receives the answer.

        Raises:
            RequestRefusedError: If it did not run and will not.
            OutcomeUnknownError: If it has no answer and may have run.
        """
        budget = self._retry_budgets.setdefault(spec.team, RetryBudget())
        budget.earn()
        service_time = self._service_times.setdefault(spec.queue, ServiceTime())
        failed_on: set[VmId] = set()
        while True:
            now = self._loop.time()
            start_deadline = service_time.start_deadline(spec.deadline, now)
            try:
                start = await self._slots.acquire(
                    spec.request,
                    spec.pool,
                    spec.team,
                    start_deadline,
                    frozenset(failed_on),
                )
            except RequestRefusedError as error:
                if spec.may_have_run:
                    raise _outcome_unknown(str(error)) from error
                raise
            is_last_attempt = len(failed_on) + 1 >= MAX_SERVERS_PER_REQUEST
            may_retry = spec.is_idempotent and not is_last_attempt
            began_at = self._loop.time()
            result = await self._attempt(spec, sink, start, may_retry, budget)
            if result is _AttemptResult.RESPONDED:
                service_time.count(self._loop.time() - began_at)
                return
            failed_on.add(start.permit.server)
            self._check_retry(spec, result, is_last_attempt, budget)

    def _check_retry(
        self,
        spec: RequestSpec,
        result: _AttemptResult,
        is_last_attempt: bool,
        budget: RetryBudget,
    ) -> None:
        """Raise unless the request may go to another backend server."""
        if result is _AttemptResult.FAILED:
            if not spec.is_idempotent:
                raise _outcome_unknown("the backend server failed while it ran")
            if not spec.body.can_replay:
                raise _outcome_unknown("the body is too large to be sent again")
            if not budget.spend():
                raise _outcome_unknown("the retry budget is spent")
        if is_last_attempt:
            detail = f"failed on {MAX_SERVERS_PER_REQUEST} backend servers"
            if spec.may_have_run:
                raise _outcome_unknown(detail)
            raise RequestRefusedError("servers-unreachable", detail)

    async def _attempt(
        self,
        spec: RequestSpec,
        sink: ResponseSink,
        start: Start,
        may_retry: bool,
        budget: RetryBudget,
    ) -> _AttemptResult:
        permit = start.permit
        session = self._connections.get(permit.permit_id)
        began_at = time.monotonic()
        is_released = False

        def release(**outcome) -> None:
            nonlocal is_released
            is_released = True
            self._slots.release(permit.permit_id, **outcome)

        status = 0
        response = None
        has_begun = False
        may_have_run_before = spec.may_have_run
        spec.may_have_run = True
        try:
            async with asyncio.timeout_at(spec.deadline) as timer:
                response = await session.request(
                    spec.method,
                    yarl.URL(
                        f"http://{permit.address}{spec.path}", encoded=True
                    ),
                    headers=[*spec.headers, *_attempt_headers(spec, start)],
                    data=spec.body.data(),
                    allow_redirects=False,
                )
                timer.reschedule(None)
            status = response.status
            is_failure = status >= 500
            if (
                is_failure
                and may_retry
                and spec.body.can_replay
                and (budget.saved >= 1)
            ):
                await response.read()
                release(failed=True)
                return _AttemptResult.FAILED
            headers = _response_headers(response)
            if _is_bufferable(spec, response):
                body = await response.read()
                release(failed=is_failure)
                await sink.whole(status, headers, body)
                return _AttemptResult.RESPONDED
            await sink.begin(status, headers)
            has_begun = True
            async for chunk in response.content.iter_any():
                await sink.write(chunk)
            release(failed=is_failure)
            await sink.finish()
            return _AttemptResult.RESPONDED
        except aiohttp.ClientConnectorError:
            spec.may_have_run = may_have_run_before
            release(failed=True)
            return _AttemptResult.NOT_SENT
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            # Until the body has come, the caller may be to blame.
            release(failed=spec.body.is_fully_sent, running=start.attempt)
            status = status or -1
            if has_begun:
                await sink.abort()
                return _AttemptResult.RESPONDED
            if timer.expired():
                raise _outcome_unknown(
                    "no answer before the deadline", 504
                ) from error
            return _AttemptResult.FAILED
        finally:
            if response is not None:
                # A connection whose answer broke off is not free by itself.
                response.close()
            if not is_released:
                # The caller has gone; the backend server may go on.
                self._slots.release(permit.permit_id, running=start.attempt)
            _log_attempt(spec, start, status, time.monotonic() - began_at)


def _is_bufferable(spec: RequestSpec, response: aiohttp.ClientResponse) -> bool:
    """Tell whether the answer has a known, small body."""
    length = response.content_length
    # The length that answers HEAD is that of a body which does not come.
    return (
        spec.method != "HEAD"
        and length is not None
        and length <= MAX_BUFFERED_RESPONSE_BYTES
    )


def _outcome_unknown(detail: str, status: int = 502) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        status, "outcome-unknown", detail, RunState.UNKNOWN
    )


def _attempt_headers(spec: RequestSpec, start: Start) -> list[tuple[str, str]]:
    return [
        ("Galenarill-Request-Id", spec.request),
        ("Galenarill-Attempt-Id", start.attempt),
        ("Galenarill-Team", spec.team),
    ]


def _response_headers(
    response: aiohttp.ClientResponse,
) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    ]


def _log_attempt(
    spec: RequestSpec, start: Start, status: int, seconds: float
) -> None:
    logger.info(
        "routed",
        extra={
            "request": spec.request,
            "team": spec.team,
            "queue": spec.queue,
            "server": start.permit.server,
            "attempt": start.attempt,
            "reason": start.permit.reason,
            "status": status,
            "seconds": round(seconds, 4),
        },
    )
