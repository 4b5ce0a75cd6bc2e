"""HTTP interface for callers."""

import asyncio
import logging
import ssl
import time

from aiohttp import web

from galenarill.claims import ClaimResult, RequestIds, is_valid_id
from galenarill.entry.answers import Answer, AnswerState, AnswerStore
from galenarill.entry.claims import Claims
from galenarill.entry.execution import (
    CallerGoneError,
    Execution,
    RequestSpec,
    RunError,
)
from galenarill.entry.keyring import KeyRing, KeyVerdict
from galenarill.entry.parsing import (
    BadRequestError,
    is_idempotent,
    read_body,
    server_headers,
    server_path,
    timeout_seconds,
)
from galenarill.entry.policy import OPEN_TEAM
from galenarill.entry.problems import RunState, problem
from galenarill.entry.relay import relay_answer
from galenarill.entry.sinks import CallerSink, KeepingSink
from galenarill.entry.slots import Slots
from galenarill.errors import RequestRefusedError
from galenarill.settings import ProcessSettings, QueueSettings
from galenarill.world import (
    AvailabilityZoneId,
    PoolId,
    QueueId,
    RequestId,
    TeamId,
    VmId,
)

__all__ = ["CallerInterface"]

MAX_REQUESTS = 5_000
MAX_ISSUED_IDS = 1_000
KEY_STATUS = {
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
    """Takes callers' requests and gives them their answers."""

    def __init__(
        self,
        settings: ProcessSettings,
        get_state,
        keys: KeyRing,
        claims: Claims,
        slots: Slots,
        execution: Execution,
        tls: ssl.SSLContext | None = None,
    ):
        """Make the interface of one entry VM.

        Args:
            settings: Settings of this process.
            get_state: Returns the replicated state.
            keys: Key ring of this VM.
            claims: Claims of this VM.
            slots: Slots of this VM.
            execution: Runs requests.
            tls: For connections to other entry VMs, or None.
        """
        self._tls = tls
        self._loop = asyncio.get_running_loop()
        az = AvailabilityZoneId(settings.own.availability_zone)
        self._ids = RequestIds(az)
        self._peers = {VmId(p.id): p.callers for p in settings.entry_vms}
        self._vm = VmId(settings.vm)
        self._get_state = get_state
        self._keys = keys
        self._claims = claims
        self._slots = slots
        self._execution = execution
        self._answers = AnswerStore()
        self._requests = 0
        self._has_no_handlers = asyncio.Event()
        self._has_no_handlers.set()
        self._is_leaving = False

    @property
    def requests(self) -> int:
        """Requests in progress, those whose caller has gone included."""
        return self._requests + len(self._answers.running())

    def leave(self) -> None:
        """Ask callers to connect elsewhere from now on."""
        self._is_leaving = True

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self.requests:
            tasks = [answer.task for answer in self._answers.running()]
            if tasks:
                await asyncio.wait(tasks)
            else:
                await self._has_no_handlers.wait()

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
        if not text.isdigit() or not 0 < int(text) <= MAX_ISSUED_IDS:
            detail = f"count must be from 1 to {MAX_ISSUED_IDS}, not {text!r}"
            return problem(400, "bad-request", detail)
        ids = [self._ids.issue(time.time()) for _ in range(int(text))]
        return web.json_response({"request_ids": ids}, status=201)

    async def _submit(self, request: web.Request) -> web.StreamResponse:
        if self._requests >= MAX_REQUESTS:
            return self._refused("entry-vm-full", "too many requests here")
        self._requests += 1
        self._has_no_handlers.clear()
        try:
            return await self._admit(request)
        except BadRequestError as error:
            return problem(400, "bad-request", str(error))
        except RequestRefusedError as error:
            return self._refused(error.reason, str(error))
        except RunError as error:
            return problem(error.status, error.kind, str(error), error.run)
        except CallerGoneError:
            return problem(499, "caller-gone", "", RunState.UNKNOWN)
        finally:
            self._requests -= 1
            if not self._requests:
                self._has_no_handlers.set()

    def _refused(self, reason: str, detail: str) -> web.Response:
        logger.info("refused", extra={"reason": reason, "detail": detail})
        status = REFUSAL_STATUS[reason]
        retry_after = 1 if status in (429, 503) else None
        return problem(status, reason, detail, retry_after=retry_after)

    async def _admit(self, request: web.Request) -> web.StreamResponse:
        queue_id = QueueId(request.match_info["queue"])
        queue = self._get_state().settings.queues.get(queue_id)
        if queue is None:
            if not self._keys.is_fresh():
                return self._refused_key(KeyVerdict.STALE)
            return problem(404, "no-queue", f"no queue {queue_id!r}")
        verdict, team = self._authenticate(request, queue)
        if verdict is not KeyVerdict.VALID:
            return self._refused_key(verdict)
        waiting = self._slots.holder.waiting_for(PoolId(queue.pool), team)
        if waiting >= queue.max_waiting:
            detail = f"{waiting} requests of the team wait for {queue.pool}"
            return self._refused("queue-full", detail)
        spec = await self._read_request(request, queue_id, queue, team)
        has_own_id = "Galenarill-Request-Id" in request.headers
        is_async = "respond-async" in request.headers.get("Prefer", "")
        if has_own_id:
            if earlier := await self._find_earlier(request, spec):
                return earlier
        if has_own_id or is_async:
            return await self._run_kept(request, spec, is_async)
        sink = CallerSink(request, spec.request, self._is_leaving)
        await self._execution.run(spec, sink)
        return sink.response

    def _refused_key(self, verdict: KeyVerdict) -> web.Response:
        logger.info("refused", extra={"reason": verdict.value})
        status = KEY_STATUS[verdict]
        headers = {"WWW-Authenticate": "Bearer"} if status == 401 else None
        retry_after = 1 if status == 503 else None
        detail = "no valid key came with the request"
        if verdict is KeyVerdict.STALE:
            detail = "this entry VM cannot tell which keys are withdrawn"
        return problem(
            status,
            verdict.value,
            detail,
            headers=headers,
            retry_after=retry_after,
        )

    def _authenticate(
        self, request: web.Request, queue: QueueSettings | None
    ) -> tuple[KeyVerdict, TeamId]:
        verdict, team = self._keys.check(request.headers.get("Authorization"))
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
        own_id = request.headers.get("Galenarill-Request-Id")
        if own_id is not None and not is_valid_id(own_id):
            raise BadRequestError(
                f"Galenarill-Request-Id {own_id!r} is not valid"
            )
        deadline = self._loop.time() + timeout_seconds(request)
        return RequestSpec(
            request=RequestId(own_id or self._ids.issue(time.time())),
            team=team,
            queue=queue_id,
            pool=PoolId(queue.pool),
            method=request.method,
            path=server_path(request),
            headers=server_headers(request),
            body=await read_body(request, deadline),
            deadline=deadline,
            is_idempotent=is_idempotent(request),
        )

    async def _find_earlier(
        self, request: web.Request, spec: RequestSpec
    ) -> web.StreamResponse | None:
        """Return the answer to an earlier request with the same id."""
        answer = self._answers.get(spec.request)
        if answer is not None:
            return await self._join(request, answer, spec.deadline)
        if spec.is_idempotent:
            return None
        result, owner, token = await self._claims.claim(
            spec.request, spec.deadline
        )
        if result is ClaimResult.WON:
            spec.claim_token = token
            return None
        if result is ClaimResult.TAKEN:
            # A second submission here may have taken the claim meanwhile.
            answer = self._answers.get(spec.request)
            if answer is not None:
                return await self._join(request, answer, spec.deadline)
            return await self._relay(request, spec.request, owner)
        return problem(
            503,
            "claim-unavailable",
            "the claims on this request id cannot be reached; it was not run "
            "for this submission, but may have run for an earlier one",
            RunState.UNKNOWN,
            retry_after=2,
            request_id=spec.request,
        )

    async def _join(
        self, request: web.Request, answer: Answer, deadline: float
    ) -> web.StreamResponse:
        """Give a caller the answer to a request that was submitted before."""
        verdict, team = self._authenticate(request, None)
        if team != answer.team and answer.team != OPEN_TEAM:
            if verdict is not KeyVerdict.VALID:
                return self._refused_key(verdict)
            detail = "the request id is in use"
            return problem(409, "request-id-in-use", detail, RunState.UNKNOWN)
        if not await answer.wait_done(deadline):
            return problem(
                202,
                "still-running",
                "the request has no answer yet",
                RunState.UNKNOWN,
                headers={"Location": f"/v1/requests/{answer.request}"},
                request_id=answer.request,
            )
        return _kept_response(answer)

    async def _relay(
        self, request: web.Request, request_id: RequestId, owner: VmId | str
    ) -> web.StreamResponse:
        """Fetch an answer from the entry VM that runs the request."""
        address = self._peers.get(owner)
        if address is None or owner == self._vm:
            return _unknown_outcome(request_id)
        response = await relay_answer(request, address, request_id, self._tls)
        return response or _unknown_outcome(request_id)

    async def _run_kept(
        self, request: web.Request, spec: RequestSpec, is_async: bool
    ) -> web.StreamResponse:
        """Run a request whose answer is kept, even if the caller goes."""
        answer = Answer(spec)
        live = None
        if not is_async:
            live = CallerSink(request, spec.request, self._is_leaving)
        sink = KeepingSink(answer, live)
        task = asyncio.create_task(self._execute_kept(spec, answer, sink))
        answer.task = task
        self._answers.add(answer)
        if is_async:
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
            # Cancelled by another call; this caller is still there.
            run = RunState.UNKNOWN if spec.may_have_run else RunState.NOT_RUN
            response = problem(409, "cancelled", "it was cancelled", run)
        return response or live.response

    async def _execute_kept(
        self, spec: RequestSpec, answer: Answer, sink: KeepingSink
    ) -> web.Response | None:
        """Run a request and keep the answer.

        Returns:
            The refusal or error, or None if the sink got an answer.
        """
        try:
            await self._execution.run(spec, sink)
            return None
        except RequestRefusedError as error:
            self._forget(spec)
            response = self._refused(error.reason, str(error))
        except RunError as error:
            response = problem(error.status, error.kind, str(error), error.run)
        except asyncio.CancelledError:
            if not spec.may_have_run:
                self._forget(spec)
            answer.end(AnswerState.BROKEN)
            raise
        answer.begin(response.status, [("Content-Type", response.content_type)])
        answer.write(response.body)
        answer.end(AnswerState.COMPLETE)
        return response

    def _forget(self, spec: RequestSpec) -> None:
        """Let the id of a request that did not run be submitted again."""
        self._answers.remove(spec.request)
        if spec.claim_token:
            self._claims.abandon(spec.request, spec.claim_token)

    async def _fetch(self, request: web.Request) -> web.StreamResponse:
        request_id = RequestId(request.match_info["request"])
        answer = self._answers.get(request_id)
        verdict, _ = self._authenticate(request, None)
        if answer is None:
            if verdict is not KeyVerdict.VALID:
                return self._refused_key(verdict)
            if "Galenarill-Relayed" not in request.headers:
                for address in self._other_addresses():
                    response = await relay_answer(
                        request, address, request_id, self._tls
                    )
                    if response is not None:
                        return response
            return problem(
                404,
                "no-answer",
                f"no answer to {request_id!r} is kept",
                RunState.UNKNOWN,
            )
        try:
            deadline = self._loop.time() + timeout_seconds(request)
        except BadRequestError as error:
            return problem(400, "bad-request", str(error))
        return await self._join(request, answer, deadline)

    def _other_addresses(self) -> list[str]:
        live = set(self._keys.reachable())
        return [a for vm, a in self._peers.items() if vm in live]

    async def _cancel(self, request: web.Request) -> web.Response:
        request_id = RequestId(request.match_info["request"])
        verdict, team = self._authenticate(request, None)
        if verdict is not KeyVerdict.VALID:
            return self._refused_key(verdict)
        state = self._cancel_one(request_id, team)
        if state is None:
            detail = f"no request {request_id!r} of this team is here"
            return problem(404, "no-request", detail, RunState.UNKNOWN)
        return web.json_response({"request_id": request_id, "run": state.value})

    async def _cancel_many(self, request: web.Request) -> web.Response:
        verdict, team = self._authenticate(request, None)
        if verdict is not KeyVerdict.VALID:
            return self._refused_key(verdict)
        try:
            ids = (await request.json())["request_ids"]
            if not isinstance(ids, list):
                raise ValueError("request_ids must be a list")
        except (ValueError, KeyError, TypeError) as error:
            return problem(400, "bad-request", f"not a cancellation: {error}")
        results = {}
        for request_id in ids:
            state = self._cancel_one(RequestId(str(request_id)), team)
            results[str(request_id)] = state.value if state else "not-here"
        return web.json_response({"run": results})

    def _cancel_one(
        self, request_id: RequestId, team: TeamId
    ) -> RunState | None:
        """Cancel a request and tell whether it may have run."""
        answer = self._answers.get(request_id)
        if answer is None or answer.team != team:
            return None
        if answer.state is AnswerState.COMPLETE:
            return RunState.RAN
        answer.task.cancel()
        if answer.spec.may_have_run:
            return RunState.UNKNOWN
        return RunState.NOT_RUN


def _kept_response(answer: Answer) -> web.Response:
    if answer.state is AnswerState.BROKEN:
        return _unknown_outcome(answer.request)
    if answer.is_oversized:
        return problem(
            410,
            "answer-not-kept",
            "the request has run; its answer was too large to keep",
            RunState.RAN,
            request_id=answer.request,
        )
    response = web.Response(status=answer.status, body=b"".join(answer.chunks))
    for name, value in answer.headers:
        if name.lower() != "content-length":
            response.headers[name] = value
    response.headers["Galenarill-Request-Id"] = answer.request
    return response


def _unknown_outcome(request_id: RequestId) -> web.Response:
    return problem(
        502,
        "outcome-unknown",
        "the request was submitted before, and may have run",
        RunState.UNKNOWN,
        request_id=request_id,
    )
