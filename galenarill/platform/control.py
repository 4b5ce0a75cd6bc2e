"""The platform's calls of workers and operators, served by a coordinator."""

import logging

from aiohttp import web

from galenarill.cluster import (
    AskWave,
    BeginWave,
    ChangeConfiguration,
    Code,
    NoAnswerError,
    NoLeaderError,
    ReadConfiguration,
)
from galenarill.coordinator.service import CoordinatorService
from galenarill.errors import ProtocolError
from galenarill.platform.http import RETRY_AFTER, json_response, listen
from galenarill.platform.wire import (
    decode_configuration,
    decode_report,
    decode_wave,
)
from galenarill.routing import ConfigurationFault
from galenarill.world import WorkerId, steady_now

__all__ = ["ControlServer"]

INSTANCES = "/galenarill/instances/"
WAVE_STATUS = "/galenarill/wave-get/"
# Callers go to another node after a second, so answer before that.
ANSWER_SECONDS = 0.9

logger = logging.getLogger(__name__)


class ControlServer:
    """Translates the calls of workers and operators."""

    def __init__(self, service: CoordinatorService):
        """Serve from `service`."""
        self._service = service
        self._runner: web.ServerRunner | None = None

    async def start(self, address: str) -> None:
        """Listen on `address`."""
        self._runner = await listen(self._serve, address)

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        method, path = request.method, request.path
        try:
            if path.startswith(INSTANCES):
                return await self._worker(request, path[len(INSTANCES) :])
            if path == "/galenarill/config" and method == "PUT":
                return await self._configure(request)
            if path == "/galenarill/config" and method == "GET":
                reply = await self._ask(ReadConfiguration())
                if reply.code is not Code.DONE:
                    return _unsure()
                return web.Response(
                    body=reply.document, content_type="application/json"
                )
            if path == "/galenarill/wave-start" and method == "POST":
                wave = decode_wave(await request.read())
                await self._ask(BeginWave(*wave))
                return json_response({})
            if path.startswith(WAVE_STATUS) and method == "GET":
                return await self._wave_status(path[len(WAVE_STATUS) :])
        except ProtocolError as error:
            return json_response({"error": str(error)}, 400)
        except (NoLeaderError, NoAnswerError):
            return _unsure()
        return web.Response(status=404)

    async def _ask(self, question):
        return await self._service.ask(question, steady_now() + ANSWER_SECONDS)

    async def _worker(
        self, request: web.BaseRequest, worker: str
    ) -> web.Response:
        if request.method == "DELETE":
            self._service.note_left(WorkerId(worker))
            return json_response({})
        if request.method != "PUT":
            return web.Response(status=405)
        report = decode_report(worker, await request.read())
        deadline = steady_now() + ANSWER_SECONDS
        await self._service.note_report(report, deadline)
        return json_response({})

    async def _configure(self, request: web.BaseRequest) -> web.Response:
        configuration = decode_configuration(await request.read())
        if isinstance(configuration, ConfigurationFault):
            logger.info(
                "configuration refused", extra={"why": configuration.value}
            )
            return json_response({"error": configuration.value}, 400)
        await self._ask(ChangeConfiguration(configuration))
        return json_response({})

    async def _wave_status(self, number: str) -> web.Response:
        if not number.isdecimal():
            return json_response({"error": "not a wave"}, 400)
        reply = await self._ask(AskWave(int(number)))
        if reply.code is Code.UNKNOWN:
            return web.Response(status=404)
        return json_response({"state": reply.text})


def _unsure() -> web.Response:
    return web.Response(status=503, headers=RETRY_AFTER)
