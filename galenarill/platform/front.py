"""HTTP server of a gateway for callers and for load balancer health checks."""

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
from galenarill.common import monotonic_now
from galenarill.errors import ProtocolError
from galenarill.gateway.service import GatewayService
from galenarill.platform.http import RETRY_AFTER_HEADERS, json_response, listen
from galenarill.platform.wire import decode_job, is_job_id

__all__ = ["FrontServer"]

DEADLINE_HEADER = "X-Galenarill-Deadline-Ms"
DEFAULT_DEADLINE_MS = 3000.0
# Part of the caller's deadline that is reserved for sending the response.
RESPONSE_MARGIN_SECONDS = 0.05

_STATUSES = {
    Code.NO_CONFIGURATION: 503,
    Code.UNKNOWN_QUEUE: 404,
    Code.UNKNOWN_KEY: 401,
    Code.UNKNOWN: 410,
    Code.INVALID: 400,
    Code.ID_IN_USE: 409,
    Code.TOO_LATE: 429,
    Code.ABOVE_LIMIT: 429,
    Code.TOO_MANY_WITHDRAWN: 429,
}


class FrontServer:
    """Translates callers' HTTP requests into calls of the gateway service."""

    def __init__(self, service: GatewayService):
        """Create a server that forwards requests to `service`."""
        self._service = service
        self._runners: list[web.ServerRunner] = []

    async def start(self, caller_address: str, readiness_address: str) -> None:
        """Start listening for callers and for readiness probes.

        Args:
            caller_address: `host:port` for callers.
            readiness_address: `host:port` for the load balancer's probes.
        """
        self._runners = [
            await listen(self._serve_readiness, readiness_address),
            await listen(self._serve_caller, caller_address),
        ]

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        for runner in self._runners:
            await runner.cleanup()

    async def _serve_readiness(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self._service.is_ready else 503)

    async def _serve_caller(self, request: web.BaseRequest) -> web.Response:
        deadline = (
            monotonic_now()
            + _remaining_seconds(request)
            - RESPONSE_MARGIN_SECONDS
        )
        routing_fields = (
            request.headers.get("Host", "").partition(":")[0],
            request.path,
            _api_key(request),
        )
        _, _, job_id = request.path.rpartition("/")
        try:
            if request.method == "POST" and is_job_id(job_id):
                spec = decode_job(await request.read())
                leader_request = SubmitJob(*routing_fields, job_id, spec)
            elif request.method == "GET" and not job_id:
                leader_request = AskQueue(*routing_fields)
            elif request.method == "GET":
                leader_request = AskJob(*routing_fields, job_id)
            elif request.method == "DELETE":
                leader_request = WithdrawJob(*routing_fields, job_id)
            else:
                return web.Response(status=405)
        except ProtocolError as error:
            return json_response({"error": str(error)}, 400)
        try:
            reply = await self._service.call_leader(leader_request, deadline)
        except NoLeaderError:
            return web.Response(status=503, headers=RETRY_AFTER_HEADERS)
        except NoAnswerError:
            return web.Response(status=504)
        if reply.code is not Code.DONE:
            status = _STATUSES[reply.code]
            headers = RETRY_AFTER_HEADERS if status == 503 else None
            if status == 429:
                headers = {"Retry-After": str(reply.number)}
            return json_response({"error": reply.code.value}, status, headers)
        if isinstance(leader_request, AskQueue):
            return json_response({"waiting": reply.number})
        if isinstance(leader_request, AskJob):
            return json_response({"state": reply.text})
        return json_response({})


def _remaining_seconds(request: web.BaseRequest) -> float:
    try:
        return float(request.headers[DEADLINE_HEADER]) / 1000
    except (KeyError, ValueError):
        return DEFAULT_DEADLINE_MS / 1000


def _api_key(request: web.BaseRequest) -> str | None:
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key else None
