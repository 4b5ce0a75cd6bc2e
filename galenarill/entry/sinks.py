"""Receivers of answers: the caller, and the store of kept answers."""

import contextlib

from aiohttp import web

from galenarill.entry.executor import CallerDisconnectedError, ResponseSink
from galenarill.entry.responses import ResponseState, StoredResponse
from galenarill.world import RequestId

__all__ = ["CallerSink", "StoringSink"]


class CallerSink(ResponseSink):
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
        with _convert_disconnects():
            await self.response.prepare(self._request)

    async def write(self, chunk: bytes) -> None:
        """Take a part of the body."""
        with _convert_disconnects():
            await self.response.write(chunk)

    async def finish(self) -> None:
        """Note that the answer is complete."""
        with _convert_disconnects():
            await self.response.write_eof()

    async def abort(self) -> None:
        """Note that the rest of the answer is lost."""
        # The connection breaks, so that the caller cannot take the part that
        # has arrived for the whole.
        if self._request.transport is not None:
            self._request.transport.abort()


class StoringSink(ResponseSink):
    """Keeps an answer, and passes it on while the caller is there."""

    def __init__(self, stored: StoredResponse, caller_sink: CallerSink | None):
        """Store in `stored`, and forward to `caller_sink` unless it is None."""
        self._stored = stored
        self._caller_sink = caller_sink

    def detach(self) -> None:
        """Go on without the caller."""
        self._caller_sink = None

    async def whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Take a complete answer."""
        self._stored.begin(status, headers)
        self._stored.write(body)
        self._stored.end(ResponseState.COMPLETE)
        await self._forward("whole", status, headers, body)

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Take the head of the answer."""
        self._stored.state = ResponseState.RUNNING
        self._stored.begin(status, headers)
        await self._forward("begin", status, headers)

    async def write(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._stored.write(chunk)
        await self._forward("write", chunk)

    async def finish(self) -> None:
        """Note that the answer is complete."""
        self._stored.end(ResponseState.COMPLETE)
        await self._forward("finish")

    async def abort(self) -> None:
        """Note that the rest of the answer is lost."""
        self._stored.end(ResponseState.ABORTED)
        await self._forward("abort")

    async def _forward(self, method: str, *args) -> None:
        if self._caller_sink is None:
            return
        try:
            await getattr(self._caller_sink, method)(*args)
        except CallerDisconnectedError:
            self.detach()


@contextlib.contextmanager
def _convert_disconnects():
    try:
        yield
    except ConnectionError as error:
        raise CallerDisconnectedError from error
