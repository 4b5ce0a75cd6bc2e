"""Execution of a caller's request on backend servers, with retries."""

import abc
import asyncio
import dataclasses
import enum
import logging
import time
from collections.abc import AsyncIterator

import aiohttp
import yarl

from galenarill.common import PoolId, QueueId, RequestId, TeamId, VmId
from galenarill.entry.connections import PermitConnections
from galenarill.entry.problems import RunState
from galenarill.entry.slots import SlotManager
from galenarill.entry.trials import Trial, TrialGate
from galenarill.errors import RequestRefusedError
from galenarill.scheduling import (
    AttemptStart,
    BrokenRequests,
    RetryBudget,
    ServiceTimeEstimator,
)

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
# Broken attempts after which a request is retried only while no other suspect
# is on trial. A sound request may share the first server with the cause.
MIN_BROKEN_FOR_TRIAL = 2
BODY_READ_TIMEOUT_SECONDS = 20.0
# A response of known length up to this size is read whole and sent in
# one write, which saves two.
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
    """The request has no response, and a backend server may have run it.

    Attributes:
        status: HTTP status for the caller.
        kind: Problem type for the caller.
        run: Whether the request is known to have run.
    """

    def __init__(self, status: int, kind: str, detail: str, run: RunState):
        """Store the status and problem type for the caller."""
        super().__init__(detail)
        self.status = status
        self.kind = kind
        self.run = run


class CallerDisconnectedError(Exception):
    """The caller has closed its connection."""


class RequestBody:
    """Body of a request: buffered if it is small, else streamed once."""

    def __init__(self, buffered: bytes, remainder: aiohttp.StreamReader | None):
        """Make a body of `buffered`, followed by `remainder` if given."""
        self._buffered = buffered
        self._remainder = remainder
        self._is_consumed = False
        self._is_fully_sent = remainder is None

    @property
    def is_fully_sent(self) -> bool:
        """Whether the whole body was received and passed to the HTTP client."""
        return self._is_fully_sent

    @property
    def can_replay(self) -> bool:
        """Whether the body can still be sent from its start."""
        return self._remainder is None or not self._is_consumed

    def data(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body in a form that aiohttp accepts as `data`."""
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
        team: Team on whose behalf it runs.
        queue: Queue that it was submitted to.
        pool: Pool of the queue.
        method: HTTP method.
        path: Path and query for the backend server.
        headers: Headers for the backend server.
        body: Body.
        deadline: Loop time by which the response must have begun.
        is_idempotent: Whether it may run more than once.
        claim_token: Token of the claim on the request id, or "" without one.
        may_have_run: Whether any byte of it may have reached a backend server.
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
    """Destination of a response.

    The methods raise `CallerDisconnectedError` if the caller has closed its
    connection.
    """

    async def whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Receive a complete response."""
        await self.begin(status, headers)
        await self.write(body)
        await self.finish()

    @abc.abstractmethod
    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Receive the status and headers."""

    @abc.abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Receive a chunk of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End a complete response."""

    @abc.abstractmethod
    async def abort(self) -> None:
        """End a response that was cut off in its body."""


class _AttemptResult(enum.Enum):
    RESPONDED = enum.auto()
    NOT_SENT = enum.auto()
    FAILED = enum.auto()


class RequestExecutor:
    """Runs requests on backend servers.

    Each attempt needs a slot. An attempt that was not sent is retried on
    another backend server; one that failed only if the request is idempotent
    and the retry budget of the team allows it.
    """

    def __init__(
        self,
        slots: SlotManager,
        connections: PermitConnections,
        broken: BrokenRequests,
    ):
        """Make an executor.

        Args:
            slots: Slot manager of this VM.
            connections: Connections to backend servers.
            broken: Broken attempts of this VM and its peers.
        """
        self._slots = slots
        self._connections = connections
        self._broken = broken
        self._trials = TrialGate()
        self._retry_budgets: dict[TeamId, RetryBudget] = {}
        self._service_times: dict[QueueId, ServiceTimeEstimator] = {}
        self._loop = asyncio.get_running_loop()

    async def run(self, spec: RequestSpec, sink: ResponseSink) -> None:
        """Run a request and pass its response to `sink`.

        Args:
            spec: The request.
            sink: Receives the response.

        Raises:
            RequestRefusedError: If the request did not run and will not.
            OutcomeUnknownError: If it has no response and may have run.
            CallerDisconnectedError: If `sink` raises it.
        """
        budget = self._retry_budgets.setdefault(spec.team, RetryBudget())
        budget.earn()
        service_time = self._service_times.setdefault(
            spec.queue, ServiceTimeEstimator()
        )
        failed_on: set[VmId] = set()
        while True:
            trial = await self._enter_trial(spec)
            try:
                start = await self._acquire(spec, service_time, failed_on)
                if trial is not None:
                    trial.begin_attempt()
                is_last_attempt = len(failed_on) + 1 >= MAX_SERVERS_PER_REQUEST
                may_retry = spec.is_idempotent and not is_last_attempt
                began_at = self._loop.time()
                result = await self._attempt(
                    spec, sink, start, may_retry, budget
                )
            finally:
                if trial is not None:
                    trial.end()
            if result is _AttemptResult.RESPONDED:
                service_time.count(self._loop.time() - began_at)
                return
            failed_on.add(start.permit.server)
            self._check_retry(spec, result, is_last_attempt, budget)

    async def _enter_trial(self, spec: RequestSpec) -> Trial | None:
        """Wait for the turn of a request that may crash backend servers.

        Returns:
            The trial, or None if the request is not suspect.

        Raises:
            OutcomeUnknownError: If it has broken too often, or gets no turn.
        """
        broken = self._broken.count(spec.request, self._loop.time())
        if broken >= MAX_SERVERS_PER_REQUEST:
            raise _outcome_unknown(f"{broken} backend servers broke off")
        if broken < MIN_BROKEN_FOR_TRIAL:
            return None
        try:
            return await self._trials.enter(spec.pool, spec.deadline)
        except TimeoutError as error:
            raise _outcome_unknown("no answer before the deadline", 504) from (
                error
            )

    async def _acquire(
        self,
        spec: RequestSpec,
        service_time: ServiceTimeEstimator,
        failed_on: set[VmId],
    ) -> AttemptStart:
        """Wait for a slot on a server that the request has not failed on."""
        now = self._loop.time()
        try:
            return await self._slots.acquire(
                spec.request,
                spec.pool,
                spec.team,
                service_time.start_deadline(spec.deadline, now),
                frozenset(failed_on),
            )
        except RequestRefusedError as error:
            if spec.may_have_run:
                raise _outcome_unknown(str(error)) from error
            raise

    def _check_retry(
        self,
        spec: RequestSpec,
        result: _AttemptResult,
        is_last_attempt: bool,
        budget: RetryBudget,
    ) -> None:
        """Raise an error unless another backend server may be tried."""
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
        start: AttemptStart,
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
                and (budget.tokens >= 1)
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
            # Before the body is complete, the failure may be the caller's.
            release(failed=spec.body.is_fully_sent, running=start.attempt)
            status = status or -1
            if timer.expired():
                raise _outcome_unknown(
                    "no answer before the deadline", 504
                ) from error
            if spec.body.is_fully_sent:
                self._broken.announce(
                    spec.request, start.attempt, self._loop.time()
                )
            if has_begun:
                await sink.abort()
                return _AttemptResult.RESPONDED
            return _AttemptResult.FAILED
        finally:
            if response is not None:
                # aiohttp doesn't release the connection of an incomplete
                # response before garbage collection.
                response.close()
            if not is_released:
                # The caller disconnected or cancelled; the backend server may
                # still run the attempt.
                self._slots.release(permit.permit_id, running=start.attempt)
            _log_attempt(spec, start, status, time.monotonic() - began_at)


def _is_bufferable(spec: RequestSpec, response: aiohttp.ClientResponse) -> bool:
    """Return whether the body has a known length and fits the buffer."""
    length = response.content_length
    # The response to HEAD has a Content-Length but no body.
    return (
        spec.method != "HEAD"
        and length is not None
        and length <= MAX_BUFFERED_RESPONSE_BYTES
    )


def _outcome_unknown(detail: str, status: int = 502) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        status, "outcome-unknown", detail, RunState.UNKNOWN
    )


def _attempt_headers(
    spec: RequestSpec, start: AttemptStart
) -> list[tuple[str, str]]:
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
    spec: RequestSpec, start: AttemptStart, status: int, seconds: float
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
