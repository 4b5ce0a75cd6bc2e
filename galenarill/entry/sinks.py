"""Response sinks: the caller, and the store of responses."""

import contextlib

from aiohttp import web

from galenarill.common import RequestId
from galenarill.entry.executor import CallerDisconnectedError, ResponseSink
from galenarill.entry.responses import ResponseState, StoredResponse

__all__ = ["CallerSink", "StoringSink"]


class CallerSink(ResponseSink):
    """Streams a response to the caller.

    Attributes:
        response: Response to the caller, or None before it has begun.
    """

    def __init__(
        self, request: web.Request, request_id: RequestId, is_leaving: bool
    ):
        """Make a sink.

        Args:
            request: Request of the caller.
            request_id: Id of the request.
            is_leaving: Whether to close the connection after the response.
        """
        self._request = request
        self._request_id = request_id
        self._is_leaving = is_leaving
        self.response: web.StreamResponse | None = None

    async def whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Receive a complete response."""
        # The handler returns the response, and aiohttp sends it in one write.
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
        """Receive the status and headers."""
        self._set_response(web.StreamResponse(status=status), headers)
        with _convert_disconnects():
            await self.response.prepare(self._request)

    async def write(self, chunk: bytes) -> None:
        """Receive a chunk of the body."""
        with _convert_disconnects():
            await self.response.write(chunk)

    async def finish(self) -> None:
        """End a complete response."""
        with _convert_disconnects():
            await self.response.write_eof()

    async def abort(self) -> None:
        """End a response that was cut off in its body."""
        # Aborting the connection shows the caller that the response is
        # incomplete.
        if self._request.transport is not None:
            self._request.transport.abort()


class StoringSink(ResponseSink):
    """Stores a response, and forwards it while the caller is connected."""

    def __init__(self, stored: StoredResponse, caller_sink: CallerSink | None):
        """Make a sink.

        Args:
            stored: Stored response to fill.
            caller_sink: Sink of the caller, or None without one.
        """
        self._stored = stored
        self._caller_sink = caller_sink

    def detach(self) -> None:
        """Stop forwarding to the caller."""
        self._caller_sink = None

    async def whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Receive a complete response."""
        self._stored.begin(status, headers)
        self._stored.write(body)
        self._stored.end(ResponseState.COMPLETE)
        await self._forward("whole", status, headers, body)

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Receive the status and headers."""
        self._stored.state = ResponseState.RUNNING
        self._stored.begin(status, headers)
        await self._forward("begin", status, headers)

    async def write(self, chunk: bytes) -> None:
        """Receive a chunk of the body."""
        self._stored.write(chunk)
        await self._forward("write", chunk)

    async def finish(self) -> None:
        """End a complete response."""
        self._stored.end(ResponseState.COMPLETE)
        await self._forward("finish")

    async def abort(self) -> None:
        """End a response that was cut off in its body."""
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
