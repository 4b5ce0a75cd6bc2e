"""Receivers of answers: the caller, and the store of kept answers."""

import contextlib

from aiohttp import web

from galenarill.entry.answers import Answer, AnswerState
from galenarill.entry.execution import AnswerSink, CallerGoneError
from galenarill.world import RequestId

__all__ = ["CallerSink", "KeepingSink"]


class CallerSink(AnswerSink):
    """Passes an answer on to the caller as it arrives."""

    def __init__(
        self, request: web.Request, request_id: RequestId, is_leaving: bool
    ):
        """Make a sink for the caller of `request`."""
        self._request = request
        self._request_id = request_id
        self._is_leaving = is_leaving
        self.response: web.StreamResponse | None = None

    async def whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Take a complete answer."""
        # The handler returns it, and aiohttp sends head and body at once.
        self._set_response(web.Response(status=status, body=body), headers)

    def _set_response(
        self, response: web.StreamResponse, headers: list[tuple[str, str]]
    ) -> None:
        self.response = response
        for name, value in headers:
            if name != "Content-Length" or not isinstance(
                response, web.Response
            ):
                response.headers.add(name, value)
        response.headers["Galenarill-Request-Id"] = self._request_id
        if self._is_leaving:
            response.force_close()

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Take the head of the answer."""
        self._set_response(web.StreamResponse(status=status), headers)
        with _caller_gone():
            await self.response.prepare(self._request)

    async def write(self, chunk: bytes) -> None:
        """Take a part of the body."""
        with _caller_gone():
            await self.response.write(chunk)

    async def finish(self) -> None:
        """Note that the answer is complete."""
        with _caller_gone():
            await self.response.write_eof()

    async def abort(self) -> None:
        """Note that the rest of the answer is lost."""
        # The connection breaks, so that the caller cannot take the part that
        # has arrived for the whole.
        if self._request.transport is not None:
            self._request.transport.abort()


class KeepingSink(AnswerSink):
    """Keeps an answer, and passes it on while the caller is there."""

    def __init__(self, answer: Answer, live: CallerSink | None):
        """Keep into `answer`, and pass on to `live` if there is a caller."""
        self._answer = answer
        self._live = live

    def detach(self) -> None:
        """Go on without the caller."""
        self._live = None

    async def whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Take a complete answer."""
        self._answer.begin(status, headers)
        self._answer.write(body)
        self._answer.end(AnswerState.COMPLETE)
        await self._pass_on("whole", status, headers, body)

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Take the head of the answer."""
        self._answer.state = AnswerState.RUNNING
        self._answer.begin(status, headers)
        await self._pass_on("begin", status, headers)

    async def write(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._answer.write(chunk)
        await self._pass_on("write", chunk)

    async def finish(self) -> None:
        """Note that the answer is complete."""
        self._answer.end(AnswerState.COMPLETE)
        await self._pass_on("finish")

    async def abort(self) -> None:
        """Note that the rest of the answer is lost."""
        self._answer.end(AnswerState.BROKEN)
        await self._pass_on("abort")

    async def _pass_on(self, method: str, *args) -> None:
        if self._live is None:
            return
        try:
            await getattr(self._live, method)(*args)
        except CallerGoneError:
            self.detach()


@contextlib.contextmanager
def _caller_gone():
    try:
        yield
    except ConnectionError as error:
        raise CallerGoneError from error
