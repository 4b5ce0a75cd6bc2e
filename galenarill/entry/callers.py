"""HTTP interface for callers: submission, fetching and cancellation."""

import asyncio
import logging
import ssl
import time

from aiohttp import web

from galenarill.claims import (
    ClaimResult,
    RequestIdGenerator,
    is_valid_request_id,
)
from galenarill.common import (
    AvailabilityZoneId,
    PoolId,
    QueueId,
    RequestId,
    TeamId,
    VmId,
)
from galenarill.entry.claims import ClaimManager
from galenarill.entry.executor import (
    CallerDisconnectedError,
    OutcomeUnknownError,
    RequestExecutor,
    RequestSpec,
)
from galenarill.entry.keyring import KeyRing, KeyVerdict
from galenarill.entry.parsing import (
    BadRequestError,
    backend_headers,
    backend_path,
    is_idempotent,
    read_body,
    timeout_seconds,
)
from galenarill.entry.policy import OPEN_TEAM
from galenarill.entry.problems import RunState, problem_response
from galenarill.entry.relay import relay_response
from galenarill.entry.responses import (
    ResponseState,
    ResponseStore,
    StoredResponse,
)
from galenarill.entry.sinks import CallerSink, StoringSink
from galenarill.entry.slots import SlotManager
from galenarill.errors import RequestRefusedError
from galenarill.settings import ProcessSettings, QueueSettings

__all__ = ["CallerInterface"]

MAX_CONCURRENT_REQUESTS = 5_000
MAX_IDS_PER_CALL = 1_000
KEY_VERDICT_STATUS = {
    KeyVerdict.MISSING: 401,
    KeyVerdict.INVALID: 401,
    KeyVerdict.WITHDRAWN: 401,
    KeyVerdict.STALE: 503,
}
REFUSAL_STATUS = {
    "deadline-passed": 503,
    "queue-too-long": 503,
    "queue-full": 429,
    "servers-unreachable": 503,
    "entry-vm-full": 503,
}

logger = logging.getLogger(__name__)


class CallerInterface:
    """Accepts callers' requests and returns the responses to them.

    A response is stored if the caller supplies a request id or asks for
    asynchronous processing; it can then be fetched again by its request id.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        get_state,
        keys: KeyRing,
        claims: ClaimManager,
        slots: SlotManager,
        executor: RequestExecutor,
        tls: ssl.SSLContext | None = None,
    ):
        """Make the interface of one entry VM.

        Args:
            settings: Settings of this process.
            get_state: Returns the replicated state.
            keys: Key ring of this VM.
            claims: Claim manager of this VM.
            slots: Slot manager of this VM.
            executor: Request executor of this VM.
            tls: TLS context for connections to other entry VMs, or None for
                plain HTTP.
        """
        self._tls = tls
        self._loop = asyncio.get_running_loop()
        az = AvailabilityZoneId(settings.local_peer.availability_zone)
        self._ids = RequestIdGenerator(az)
        self._peers = {VmId(p.id): p.callers for p in settings.entry_vms}
        self._vm = VmId(settings.vm)
        self._get_state = get_state
        self._keys = keys
        self._claims = claims
        self._slots = slots
        self._executor = executor
        self._responses = ResponseStore()
        self._active_handlers = 0
        self._no_active_handlers = asyncio.Event()
        self._no_active_handlers.set()
        self._is_leaving = False

    @property
    def requests_in_progress(self) -> int:
        """Number of requests in progress, also of disconnected callers."""
        return self._active_handlers + len(self._responses.running())

    def leave(self) -> None:
        """Close callers' connections after their responses from now on."""
        self._is_leaving = True

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self.requests_in_progress:
            tasks = [stored.task for stored in self._responses.running()]
            if tasks:
                await asyncio.wait(tasks)
            else:
                await self._no_active_handlers.wait()

    def add_routes(self, app: web.Application) -> None:
        """Add the callers' endpoints to `app`."""
        app.router.add_post("/v1/request-ids", self._issue_ids)
        app.router.add_get("/v1/requests/{request}", self._fetch)
        app.router.add_delete("/v1/requests/{request}", self._cancel)
        app.router.add_post("/v1/cancellations", self._cancel_many)
        app.router.add_route("*", "/v1/queues/{queue}", self._submit)
        app.router.add_route("*", "/v1/queues/{queue}/{tail:.*}", self._submit)

    async def _issue_ids(self, request: web.Request) -> web.Response:
        text = request.query.get("count", "1")
        if not text.isdigit() or not 0 < int(text) <= MAX_IDS_PER_CALL:
            detail = f"count must be from 1 to {MAX_IDS_PER_CALL}, not {text!r}"
            return problem_response(400, "bad-request", detail)
        ids = [self._ids.issue(time.time()) for _ in range(int(text))]
        return web.json_response({"request_ids": ids}, status=201)

    async def _submit(self, request: web.Request) -> web.StreamResponse:
        if self._active_handlers >= MAX_CONCURRENT_REQUESTS:
            return self._refusal("entry-vm-full", "too many requests here")
        self._active_handlers += 1
        self._no_active_handlers.clear()
        try:
            return await self._admit(request)
        except BadRequestError as error:
            return problem_response(400, "bad-request", str(error))
        except RequestRefusedError as error:
            return self._refusal(error.reason, str(error))
        except OutcomeUnknownError as error:
            return problem_response(
                error.status, error.kind, str(error), error.run
            )
        except CallerDisconnectedError:
            return problem_response(499, "caller-gone", "", RunState.UNKNOWN)
        finally:
            self._active_handlers -= 1
            if not self._active_handlers:
                self._no_active_handlers.set()

    def _refusal(self, reason: str, detail: str) -> web.Response:
        logger.info("refused", extra={"reason": reason, "detail": detail})
        status = REFUSAL_STATUS[reason]
        retry_after = 1 if status in (429, 503) else None
        return problem_response(status, reason, detail, retry_after=retry_after)

    async def _admit(self, request: web.Request) -> web.StreamResponse:
        queue_id = QueueId(request.match_info["queue"])
        queue = self._get_state().settings.queues.get(queue_id)
        if queue is None:
            if not self._keys.is_fresh():
                return self._key_refusal(KeyVerdict.STALE)
            return problem_response(404, "no-queue", f"no queue {queue_id!r}")
        verdict, team = self._authenticate(request, queue)
        if verdict is not KeyVerdict.VALID:
            return self._key_refusal(verdict)
        waiting = self._slots.holder.waiting_for(PoolId(queue.pool), team)
        if waiting >= queue.max_waiting:
            detail = f"{waiting} requests of the team wait for {queue.pool}"
            return self._refusal("queue-full", detail)
        spec = await self._read_request(request, queue_id, queue, team)
        has_supplied_id = "Galenarill-Request-Id" in request.headers
        is_asynchronous = "respond-async" in request.headers.get("Prefer", "")
        if has_supplied_id:
            if earlier_response := await self._find_earlier_response(
                request, spec
            ):
                return earlier_response
        if has_supplied_id or is_asynchronous:
            return await self._run_and_store(request, spec, is_asynchronous)
        sink = CallerSink(request, spec.request, self._is_leaving)
        await self._executor.run(spec, sink)
        return sink.response

    def _key_refusal(self, verdict: KeyVerdict) -> web.Response:
        logger.info("refused", extra={"reason": verdict.value})
        status = KEY_VERDICT_STATUS[verdict]
        headers = {"WWW-Authenticate": "Bearer"} if status == 401 else None
        retry_after = 1 if status == 503 else None
        detail = "no valid key came with the request"
        if verdict is KeyVerdict.STALE:
            detail = "this entry VM cannot tell which keys are withdrawn"
        return problem_response(
            status,
            verdict.value,
            detail,
            headers=headers,
            retry_after=retry_after,
        )

    def _authenticate(
        self, request: web.Request, queue: QueueSettings | None
    ) -> tuple[KeyVerdict, TeamId]:
        verdict, team = self._keys.authenticate(
            request.headers.get("Authorization")
        )
        if verdict is KeyVerdict.VALID:
            if team in self._get_state().settings.teams:
                return verdict, team
            verdict = KeyVerdict.INVALID
        if queue is not None and queue.open:
            return KeyVerdict.VALID, OPEN_TEAM
        return verdict, OPEN_TEAM

    async def _read_request(
        self,
        request: web.Request,
        queue_id: QueueId,
        queue: QueueSettings,
        team: TeamId,
    ) -> RequestSpec:
        supplied_id = request.headers.get("Galenarill-Request-Id")
        if supplied_id is not None and not is_valid_request_id(supplied_id):
            raise BadRequestError(
                f"Galenarill-Request-Id {supplied_id!r} is not valid"
            )
        deadline = self._loop.time() + timeout_seconds(request)
        return RequestSpec(
            request=RequestId(supplied_id or self._ids.issue(time.time())),
            team=team,
            queue=queue_id,
            pool=PoolId(queue.pool),
            method=request.method,
            path=backend_path(request),
            headers=backend_headers(request),
            body=await read_body(request, deadline),
            deadline=deadline,
            is_idempotent=is_idempotent(request),
        )

    async def _find_earlier_response(
        self, request: web.Request, spec: RequestSpec
    ) -> web.StreamResponse | None:
        """Look for an earlier request with the same id, and claim the id.

        Returns:
            The response to the earlier request or a problem, or None if this
            request is to run.
        """
        stored = self._responses.get(spec.request)
        if stored is not None:
            return await self._wait_for_stored(request, stored, spec.deadline)
        if spec.is_idempotent:
            return None
        result, owner, token = await self._claims.claim(
            spec.request, spec.deadline
        )
        if result is ClaimResult.WON:
            spec.claim_token = token
            return None
        if result is ClaimResult.TAKEN:
            # Another submission to this VM may have won the claim meanwhile.
            stored = self._responses.get(spec.request)
            if stored is not None:
                return await self._wait_for_stored(
                    request, stored, spec.deadline
                )
            return await self._relay_from_owner(request, spec.request, owner)
        return problem_response(
            503,
            "claim-unavailable",
            "the claims on this request id cannot be reached; it was not run "
            "for this submission, but may have run for an earlier one",
            RunState.UNKNOWN,
            retry_after=2,
            request_id=spec.request,
        )

    async def _wait_for_stored(
        self, request: web.Request, stored: StoredResponse, deadline: float
    ) -> web.StreamResponse:
        """Wait for a stored response, and return it if the team may read it.

        Returns:
            The stored response, or a problem if it does not end before
            `deadline`, is not available, or belongs to another team.
        """
        verdict, team = self._authenticate(request, None)
        if team != stored.team and stored.team != OPEN_TEAM:
            if verdict is not KeyVerdict.VALID:
                return self._key_refusal(verdict)
            detail = "the request id is in use"
            return problem_response(
                409, "request-id-in-use", detail, RunState.UNKNOWN
            )
        if not await stored.wait_done(deadline):
            return problem_response(
                202,
                "still-running",
                "the request has no answer yet",
                RunState.UNKNOWN,
                headers={"Location": f"/v1/requests/{stored.request}"},
                request_id=stored.request,
            )
        return _stored_response(stored)

    async def _relay_from_owner(
        self, request: web.Request, request_id: RequestId, owner: VmId | str
    ) -> web.StreamResponse:
        """Fetch a response from the entry VM that holds the claim."""
        address = self._peers.get(owner)
        if address is None or owner == self._vm:
            return _outcome_unknown(request_id)
        response = await relay_response(request, address, request_id, self._tls)
        return response or _outcome_unknown(request_id)

    async def _run_and_store(
        self, request: web.Request, spec: RequestSpec, is_asynchronous: bool
    ) -> web.StreamResponse:
        """Run a request and store its response, even if the caller leaves."""
        stored = StoredResponse(spec)
        caller_sink = None
        if not is_asynchronous:
            caller_sink = CallerSink(request, spec.request, self._is_leaving)
        sink = StoringSink(stored, caller_sink)
        task = asyncio.create_task(self._execute_and_store(spec, stored, sink))
        stored.task = task
        self._responses.add(stored)
        if is_asynchronous:
            return web.json_response(
                {"request_id": spec.request},
                status=202,
                headers={"Location": f"/v1/requests/{spec.request}"},
            )
        try:
            response = await asyncio.shield(task)
        except asyncio.CancelledError:
            sink.detach()
            if not task.cancelled():
                raise
            # Cancelled through the API; this caller is still connected.
            run = RunState.UNKNOWN if spec.may_have_run else RunState.NOT_RUN
            response = problem_response(
                409, "cancelled", "it was cancelled", run
            )
        return response or caller_sink.response

    async def _execute_and_store(
        self, spec: RequestSpec, stored: StoredResponse, sink: StoringSink
    ) -> web.Response | None:
        """Run a request, and store its response or problem.

        Returns:
            The problem, or None if the sink received a response.
        """
        try:
            await self._executor.run(spec, sink)
            return None
        except RequestRefusedError as error:
            self._release_id(spec)
            response = self._refusal(error.reason, str(error))
        except OutcomeUnknownError as error:
            response = problem_response(
                error.status, error.kind, str(error), error.run
            )
        except asyncio.CancelledError:
            if not spec.may_have_run:
                self._release_id(spec)
            stored.end(ResponseState.ABORTED)
            raise
        stored.begin(response.status, [("Content-Type", response.content_type)])
        stored.write(response.body)
        stored.end(ResponseState.COMPLETE)
        return response

    def _release_id(self, spec: RequestSpec) -> None:
        """Release the id of a request that did not run, so it can be reused."""
        self._responses.remove(spec.request)
        if spec.claim_token:
            self._claims.abandon(spec.request, spec.claim_token)

    async def _fetch(self, request: web.Request) -> web.StreamResponse:
        request_id = RequestId(request.match_info["request"])
        stored = self._responses.get(request_id)
        verdict, _ = self._authenticate(request, None)
        if stored is None:
            if verdict is not KeyVerdict.VALID:
                return self._key_refusal(verdict)
            if "Galenarill-Relayed" not in request.headers:
                for address in self._other_addresses():
                    response = await relay_response(
                        request, address, request_id, self._tls
                    )
                    if response is not None:
                        return response
            return problem_response(
                404,
                "no-answer",
                f"no answer to {request_id!r} is kept",
                RunState.UNKNOWN,
            )
        try:
            deadline = self._loop.time() + timeout_seconds(request)
        except BadRequestError as error:
            return problem_response(400, "bad-request", str(error))
        return await self._wait_for_stored(request, stored, deadline)

    def _other_addresses(self) -> list[str]:
        reachable_peers = set(self._keys.reachable())
        return [a for vm, a in self._peers.items() if vm in reachable_peers]

    async def _cancel(self, request: web.Request) -> web.Response:
        request_id = RequestId(request.match_info["request"])
        verdict, team = self._authenticate(request, None)
        if verdict is not KeyVerdict.VALID:
            return self._key_refusal(verdict)
        state = self._cancel_one(request_id, team)
        if state is None:
            detail = f"no request {request_id!r} of this team is here"
            return problem_response(404, "no-request", detail, RunState.UNKNOWN)
        return web.json_response({"request_id": request_id, "run": state.value})

    async def _cancel_many(self, request: web.Request) -> web.Response:
        verdict, team = self._authenticate(request, None)
        if verdict is not KeyVerdict.VALID:
            return self._key_refusal(verdict)
        try:
            ids = (await request.json())["request_ids"]
            if not isinstance(ids, list):
                raise ValueError("request_ids must be a list")
        except (ValueError, KeyError, TypeError) as error:
            return problem_response(
                400, "bad-request", f"not a cancellation: {error}"
            )
        results = {}
        for request_id in ids:
            state = self._cancel_one(RequestId(str(request_id)), team)
            results[str(request_id)] = state.value if state else "not-here"
        return web.json_response({"run": results})

    def _cancel_one(
        self, request_id: RequestId, team: TeamId
    ) -> RunState | None:
        """Cancel a request, and return whether it ran.

        Returns:
            What is known of whether it ran, or None if this VM has no request
            of `team` with this id.
        """
        stored = self._responses.get(request_id)
        if stored is None or stored.team != team:
            return None
        if stored.state is ResponseState.COMPLETE:
            return RunState.RAN
        stored.task.cancel()
        if stored.spec.may_have_run:
            return RunState.UNKNOWN
        return RunState.NOT_RUN


def _stored_response(stored: StoredResponse) -> web.Response:
    if stored.state is ResponseState.ABORTED:
        return _outcome_unknown(stored.request)
    if stored.is_oversized:
        return problem_response(
            410,
            "answer-not-kept",
            "the request has run; its answer was too large to keep",
            RunState.RAN,
            request_id=stored.request,
        )
    response = web.Response(status=stored.status, body=b"".join(stored.chunks))
    for name, value in stored.headers:
        if name.lower() != "content-length":
            response.headers[name] = value
    response.headers["Galenarill-Request-Id"] = stored.request
    return response


def _outcome_unknown(request_id: RequestId) -> web.Response:
    return problem_response(
        502,
        "outcome-unknown",
        "the request was submitted before, and may have run",
        RunState.UNKNOWN,
        request_id=request_id,
    )
