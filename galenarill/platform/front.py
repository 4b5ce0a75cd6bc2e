"""The platform's calls of callers and its balancer, served by a gateway."""

from aiohttp import web

from galenarill.cluster import (
    AskJob,
    AskQueue,
    Code,
    NoAnswerError,
    NoLeaderError,
    SubmitJob,
    WithdrawJob,
)
from galenarill.errors import ProtocolError
from galenarill.gateway.service import GatewayService
from galenarill.platform.http import RETRY_AFTER, json_response, listen
from galenarill.platform.wire import decode_job, is_job_id
from galenarill.world import steady_now

__all__ = ["FrontServer"]

DEADLINE = "X-Galenarill-Deadline-Ms"
DEFAULT_DEADLINE_MS = 3000.0
# Time that an answer needs to reach the caller, in seconds.
ANSWER_SECONDS = 0.05

_STATUSES = {
    Code.NO_CONFIGURATION: 503,
    Code.UNKNOWN_QUEUE: 404,
    Code.UNKNOWN_KEY: 401,
    Code.UNKNOWN: 410,
    Code.INVALID: 400,
}


class FrontServer:
    """Translates callers' requests."""

    def __init__(self, service: GatewayService):
        """Serve from `service`."""
        self._service = service
        self._runners: list[web.ServerRunner] = []

    async def start(self, callers: str, readiness: str) -> None:
        """Listen for callers and for the balancer."""
        self._runners = [
            await listen(self._ready, readiness),
            await listen(self._serve, callers),
        ]

    async def stop(self) -> None:
        """Stop listening."""
        for runner in self._runners:
            await runner.cleanup()

    async def _ready(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self._service.is_ready else 503)

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        deadline = steady_now() + _seconds_left(request) - ANSWER_SECONDS
        place = (
            request.headers.get("Host", "").partition(":")[0],
            request.path,
            _key(request),
        )
        _, _, job = request.path.rpartition("/")
        try:
            if request.method == "POST" and is_job_id(job):
                spec = decode_job(await request.read())
                question = SubmitJob(*place, job, spec)
            elif request.method == "GET" and not job:
                question = AskQueue(*place)
            elif request.method == "GET":
                question = AskJob(*place, job)
            elif request.method == "DELETE":
                question = WithdrawJob(*place, job)
            else:
                return web.Response(status=405)
        except ProtocolError as error:
            return json_response({"error": str(error)}, 400)
        try:
            reply = await self._service.ask(question, deadline)
        except NoLeaderError:
            return web.Response(status=503, headers=RETRY_AFTER)
        except NoAnswerError:
            return web.Response(status=504)
        if reply.code is not Code.DONE:
            status = _STATUSES[reply.code]
            headers = RETRY_AFTER if status == 503 else None
            return json_response({"error": reply.code.value}, status, headers)
        if isinstance(question, AskQueue):
            return json_response({"waiting": reply.number})
        if isinstance(question, AskJob):
            return json_response({"state": reply.text})
        return json_response({})


def _seconds_left(request: web.BaseRequest) -> float:
    try:
        return float(request.headers[DEADLINE]) / 1000
    except (KeyError, ValueError):
        return DEFAULT_DEADLINE_MS / 1000


def _key(request: web.BaseRequest) -> str | None:
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key else None
