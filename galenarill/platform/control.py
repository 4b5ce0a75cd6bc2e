"""HTTP server of a coordinator for calls from workers and operators."""

import logging

from aiohttp import web

from galenarill.cluster import (
    AskWave,
    BeginWave,
    ChangeConfiguration,
    ChangeEvacuation,
    Code,
    NoAnswerError,
    NoLeaderError,
    ReadConfiguration,
)
from galenarill.common import AvailabilityZoneId, WorkerId, monotonic_now
from galenarill.coordinator.service import CoordinatorService
from galenarill.errors import ProtocolError
from galenarill.platform.fields import is_zone_id
from galenarill.platform.http import RETRY_AFTER_HEADERS, json_response, listen
from galenarill.platform.wire import (
    decode_configuration,
    decode_report,
    decode_wave,
)
from galenarill.routing import ConfigurationFault

__all__ = ["ControlServer"]

INSTANCES_PREFIX = "/galenarill/instances/"
WAVE_STATUS_PREFIX = "/galenarill/wave-get/"
EVACUATION_PREFIX = "/galenarill/evacuation/"
# Clients fail over to another node after 1 s, so respond before that.
CALL_TIMEOUT_SECONDS = 0.9
# Digits of the largest number of a wave.
MAX_WAVE_DIGITS = 16

logger = logging.getLogger(__name__)


class ControlServer:
    """Translates HTTP calls of workers and operators into service calls."""

    def __init__(self, service: CoordinatorService):
        """Create a server that forwards calls to `service`."""
        self._service = service
        self._runner: web.ServerRunner | None = None

    async def start(self, address: str) -> None:
        """Start listening on `address` (`host:port`)."""
        self._runner = await listen(self._dispatch, address)

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _dispatch(self, request: web.BaseRequest) -> web.Response:
        method, path = request.method, request.path
        try:
            if path.startswith(INSTANCES_PREFIX):
                return await self._serve_instance(
                    request, path[len(INSTANCES_PREFIX) :]
                )
            if path == "/galenarill/config" and method == "PUT":
                return await self._change_configuration(request)
            if path == "/galenarill/config" and method == "GET":
                reply = await self._call_leader(ReadConfiguration())
                if reply.code is not Code.DONE:
                    return _service_unavailable()
                return web.Response(
                    body=reply.document, content_type="application/json"
                )
            if path == "/galenarill/wave-start" and method == "POST":
                wave = decode_wave(await request.read())
                return await self._change_state(BeginWave(*wave))
            if path.startswith(WAVE_STATUS_PREFIX) and method == "GET":
                return await self._wave_status(path[len(WAVE_STATUS_PREFIX) :])
            if path.startswith(EVACUATION_PREFIX):
                return await self._change_evacuation(
                    method, path[len(EVACUATION_PREFIX) :]
                )
        except ProtocolError as error:
            return json_response({"error": str(error)}, 400)
        except (NoLeaderError, NoAnswerError):
            return _service_unavailable()
        return web.Response(status=404)

    async def _call_leader(self, request):
        return await self._service.call_leader(
            request, monotonic_now() + CALL_TIMEOUT_SECONDS
        )

    async def _change_state(self, request) -> web.Response:
        """Acknowledge a change that was committed, and no other."""
        reply = await self._call_leader(request)
        if reply.code is not Code.DONE:
            return _service_unavailable()
        return json_response({})

    async def _serve_instance(
        self, request: web.BaseRequest, worker: str
    ) -> web.Response:
        if request.method == "DELETE":
            self._service.note_left(WorkerId(worker))
            return json_response({})
        if request.method != "PUT":
            return web.Response(status=405)
        report = decode_report(worker, await request.read())
        deadline = monotonic_now() + CALL_TIMEOUT_SECONDS
        await self._service.note_report(report, deadline)
        return json_response({})

    async def _change_configuration(
        self, request: web.BaseRequest
    ) -> web.Response:
        configuration = decode_configuration(await request.read())
        if isinstance(configuration, ConfigurationFault):
            logger.info(
                "configuration refused", extra={"why": configuration.value}
            )
            return json_response({"error": configuration.value}, 400)
        return await self._change_state(ChangeConfiguration(configuration))

    async def _change_evacuation(self, method: str, zone: str) -> web.Response:
        if method not in ("POST", "DELETE"):
            return web.Response(status=405)
        if not is_zone_id(zone):
            raise ProtocolError(
                "not a valid zone id: letters, digits, '.', '_' and '-', at "
                f"most 64, not {zone[:80]!r}"
            )
        reply = await self._call_leader(
            ChangeEvacuation(AvailabilityZoneId(zone), method == "POST")
        )
        match reply.code:
            case Code.DONE:
                return json_response({})
            case Code.UNKNOWN_ZONE:
                return json_response({"error": f"no zone {zone!r}"}, 404)
        return _service_unavailable()

    async def _wave_status(self, wave: str) -> web.Response:
        if not wave.isdecimal() or len(wave) > MAX_WAVE_DIGITS:
            return json_response({"error": "not a wave"}, 400)
        reply = await self._call_leader(AskWave(int(wave)))
        if reply.code is Code.UNKNOWN:
            return web.Response(status=404)
        return json_response({"state": reply.text})


def _service_unavailable() -> web.Response:
    return web.Response(status=503, headers=RETRY_AFTER_HEADERS)
