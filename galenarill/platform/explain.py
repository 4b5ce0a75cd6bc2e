"""HTTP endpoint of a coordinator that explains where a job would go."""

from typing import Annotated

import msgspec
from aiohttp import web

from galenarill.cluster import Code, ExplainJob, NoAnswerError, NoLeaderError
from galenarill.common import monotonic_now
from galenarill.coordinator.service import CoordinatorService
from galenarill.jobs import JobSpec, Step
from galenarill.platform.http import json_response
from galenarill.routing import Resources

__all__ = ["EXPLAIN_PATH", "ExplainEndpoint"]

EXPLAIN_PATH = "/explain"
CALL_TIMEOUT_SECONDS = 2.0
# Most tasks of an explained job. Bounds the time on the leader's thread.
MAX_TASKS = 1000

_Amount = Annotated[int, msgspec.Meta(ge=0, le=2**31)]
_ERRORS = {
    Code.NO_CONFIGURATION: (404, "no configuration yet"),
    Code.UNKNOWN_QUEUE: (404, "no queue has this host and path"),
    Code.UNKNOWN_KEY: (403, "unknown key, and the queue requires one"),
}


class _Question(msgspec.Struct, forbid_unknown_fields=True):
    host: str
    path: str
    key: str | None = None
    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)] = 1
    cpu: _Amount = 1000
    mem_mb: _Amount = 0
    gpu: _Amount = 0
    estimate_ms: Annotated[float, msgspec.Meta(ge=0, le=1e12)] = 0.0
    label: str = ""
    data_rack: str = ""


class ExplainEndpoint:
    """Forwards questions to the leader.

    Attributes:
        service: Coordinator of this process, or None while it has none.
    """

    def __init__(self):
        """Create an endpoint without a coordinator."""
        self.service: CoordinatorService | None = None

    async def serve(self, request: web.BaseRequest) -> web.Response:
        """Answer one HTTP request."""
        if request.method != "POST":
            return web.Response(status=405)
        try:
            question = msgspec.json.decode(await request.read(), type=_Question)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return json_response({"error": f"bad input: {error}"}, 400)
        step = Step(
            question.count,
            Resources(question.cpu, question.mem_mb, question.gpu),
            question.estimate_ms,
            label=question.label,
            data_rack=question.data_rack,
        )
        message = ExplainJob(
            question.host, question.path, question.key, JobSpec("", (step,))
        )
        if self.service is None:
            return json_response({"error": "the coordinator is starting"}, 503)
        try:
            reply = await self.service.call_leader(
                message, monotonic_now() + CALL_TIMEOUT_SECONDS
            )
        except NoLeaderError:
            return json_response({"error": "no leader"}, 503)
        except NoAnswerError:
            return json_response({"error": "the leader does not answer"}, 503)
        if reply.code is Code.DONE:
            return web.Response(
                body=reply.document, content_type="application/json"
            )
        status, text = _ERRORS.get(reply.code, (503, reply.code.value))
        return json_response({"error": text}, status)
