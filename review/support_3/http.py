"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import contextlib
import json


class HttpServer:
    """Serves requests at one address until it is closed.

    `handle` is called with method, path, headers and body, and returns a
    status and a JSON value.
    """

    def __init__(self, handle):
        """Create a server that is not listening yet."""
        self._handle = handle
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def open(self, host, port):
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self):
        """Stop listening and break off all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._writers.add(writer)
        self._tasks.add(task)
        try:
            while True:
                request = await _read_message(reader)
                if request is None:
                    break
                (method, path, _), headers, body = request
                status, value = await self._handle(method, path, headers, body)
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} Status\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()


async def call(address, method, path, *, headers=(), body=None, seconds=3.0):
    """Make one call on a connection of its own.

    Header values are text, or bytes that are sent as they are.

    Returns:
        Status and decoded body; status 0 if there was no complete answer.
    """
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1".encode()]
    named = dict(headers)
    named.setdefault("Host", address)
    for name, value in named.items():
        value = value if isinstance(value, bytes) else value.encode()
        lines.append(name.encode() + b": " + value)
    lines.append(f"Content-Length: {len(data)}".encode())
    if data:
        lines.append(b"Content-Type: application/json")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + data)
            await writer.drain()
            answer = await _read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.transport.abort()
    if answer is None:
        return 0, None
    (_, status, *_), _, body = answer
    value = None
    with contextlib.suppress(ValueError):
        value = json.loads(body)
    return int(status), value


async def _read_message(reader):
    """Return the words of the first line, the headers and the body."""
    first = await reader.readline()
    if not first.strip():
        return None
    headers = {}
    while line := (await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return first.decode("latin-1").split(None, 2), headers, body
