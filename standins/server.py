"""Fake backend server that records the requests it executed."""

import asyncio
import contextlib
import dataclasses
import hashlib
import itertools
import random
import secrets
import ssl
import time

import aiohttp
from aiohttp import web

__all__ = ["FakeServer", "Execution"]

ANNOUNCE_RETRY_SECONDS = 0.2
CHUNK_BYTES = 16 * 1024


@dataclasses.dataclass
class Execution:
    """One attempt of a request that reached the backend server.

    Attributes:
        request: Request id.
        attempt: Attempt id.
        team: Team of the request, or "" without one.
        server: VM of the backend server.
        began_at: Unix time of the start, in seconds.
        ended_at: Unix time of the end, in seconds, or 0 while it runs.
    """

    request: str
    attempt: str
    team: str
    server: str
    began_at: float
    ended_at: float = 0.0


class FakeServer:
    """Backend server that sleeps, streams or fails as the query requests.

    Parameters of the query: `sleep` is the time in seconds before the
    response, `bytes` the size of a streamed body, `status` the HTTP status,
    `tag` a text to echo; `cut` aborts the connection after the first chunk of
    the body, `crash` aborts every connection and starts a new incarnation,
    with the value `late` after the first chunk of the body. An execution
    continues when the connection of its request breaks.

    Attributes:
        vm: Id of its VM.
        pool: Its pool.
        slots: Number of requests that it reports it can run at once.
        connections: Number of connections that it reports it accepts.
        entry_vms: `host:port` of the entry VMs that receive announcements.
        incarnation: Random id of this start of the server.
        executions: Record of every attempt that arrived.
        running: Attempts in progress, by attempt id.
        most_running: Highest number of attempts in progress at once.
        most_connections: Highest number of open connections.
        fails_all_requests: Whether it answers each request with status 500.
        announcements_paused: Whether it sends no announcements.
        is_leaving: Whether its announcements say that it is leaving.
        tls: TLS context for connections to the entry VMs, or None.
        address: `host:port` of the listener.
    """

    def __init__(self, vm: str, pool: str, entry_vms: list[str], slots: int):
        """Create a backend server that is not listening yet.

        Args:
            vm: Id of its VM.
            pool: Its pool.
            entry_vms: `host:port` of the entry VMs that receive announcements.
            slots: Number of requests that it reports it can run at once.
        """
        self.vm = vm
        self.pool = pool
        self.slots = slots
        self.connections = 60
        self.entry_vms = entry_vms
        self.incarnation = secrets.token_hex(4)
        self.executions: list[Execution] = []
        self.running: dict[str, Execution] = {}
        self.most_running = 0
        self.most_connections = 0
        self.fails_all_requests = False
        self.announcements_paused = False
        self.is_leaving = False
        self.tls: ssl.SSLContext | None = None
        self.address = ""
        self._last_stamp = ""
        self._announce_interval_seconds = 1.0
        self._sequence = itertools.count(1)
        self._runner: web.AppRunner | None = None
        self._announce_task: asyncio.Task | None = None

    async def start(self, port: int = 0) -> None:
        """Start listening and sending announcements."""
        app = web.Application(client_max_size=1 << 30)
        app.router.add_route("*", "/{tail:.*}", self._handle)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        self._announce_task = asyncio.create_task(self._announce_forever())

    async def stop(self) -> None:
        """Stop immediately, without announcing that it is leaving."""
        self._announce_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._announce_task
        await self._runner.cleanup()

    async def restart(self) -> None:
        """Stop immediately and start again as a new incarnation."""
        port = int(self.address.rpartition(":")[2])
        await self.stop()
        self.incarnation = secrets.token_hex(4)
        self.running.clear()
        self._sequence = itertools.count(1)
        await self.start(port)

    def describe(self) -> dict:
        """Return the records of this server in a form that JSON can encode."""
        return {
            "vm": self.vm,
            "pool": self.pool,
            "most_running": self.most_running,
            "most_connections": self.most_connections,
            "executions": [
                [e.request, e.team, e.began_at, e.ended_at]
                for e in self.executions
            ],
        }

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        execution = Execution(
            request.headers.get("Galenarill-Request-Id", ""),
            request.headers.get("Galenarill-Attempt-Id", ""),
            request.headers.get("Galenarill-Team", ""),
            self.vm,
            time.time(),
        )
        self.executions.append(execution)
        self.running[execution.attempt] = execution
        self.most_running = max(self.most_running, len(self.running))
        connections = len(self._runner.server.connections)
        self.most_connections = max(self.most_connections, connections)
        try:
            # Shielded: the execution continues if the connection breaks.
            return await asyncio.shield(self._answer(request, execution))
        finally:
            execution.ended_at = time.time()
            self.running.pop(execution.attempt, None)

    async def _answer(
        self, request: web.Request, execution: Execution
    ) -> web.StreamResponse:
        query = request.query
        digest = hashlib.sha256()
        size = 0
        async for chunk in request.content.iter_any():
            digest.update(chunk)
            size += len(chunk)
        await asyncio.sleep(float(query.get("sleep", 0)))
        if query.get("crash", "late") != "late":
            self._crash()
        if self.fails_all_requests:
            return web.Response(status=500, text="broken")
        if "bytes" in query or "cut" in query:
            return await self._stream(request, int(query.get("bytes", 100000)))
        return web.json_response(
            {
                "request": execution.request,
                "team": execution.team,
                "server": self.vm,
                "path": request.path,
                "size": size,
                "digest": digest.hexdigest(),
                "tag": query.get("tag", ""),
            },
            status=int(query.get("status", 200)),
        )

    def _crash(self) -> None:
        """Break all connections, and go on as a new incarnation."""
        for connection in list(self._runner.server.connections):
            connection.transport.abort()
        self.incarnation = secrets.token_hex(4)
        self._sequence = itertools.count(1)
        self.running.clear()

    async def _stream(
        self, request: web.Request, size: int
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        if "crash" in request.query:
            response.content_length = size
        await response.prepare(request)
        for offset in range(0, size, CHUNK_BYTES):
            await response.write(b"x" * min(CHUNK_BYTES, size - offset))
            if "cut" in request.query:
                request.transport.abort()
                return response
            if "crash" in request.query:
                # A reset connection discards what its peer has not read yet.
                await asyncio.sleep(0.1)
                self._crash()
                return response
        await response.write_eof()
        return response

    async def _announce_forever(self) -> None:
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=2.0)
        ) as session:
            while True:
                delay = ANNOUNCE_RETRY_SECONDS
                if not self.announcements_paused and await self.announce(
                    session
                ):
                    delay = self._announce_interval_seconds
                await asyncio.sleep(delay)

    async def announce(self, session: aiohttp.ClientSession) -> bool:
        """Send one announcement to a random entry VM.

        Returns:
            Whether the entry VM accepted it.
        """
        scheme = "https" if self.tls else "http"
        url = f"{scheme}://{random.choice(self.entry_vms)}"
        body = {
            "pool": self.pool,
            "address": self.address,
            "incarnation": self.incarnation,
            "sequence": next(self._sequence),
            "slots": self.slots,
            "connections": self.connections,
            "running": list(self.running),
            "leaving": self.is_leaving,
            "seen": self._last_stamp,
        }
        try:
            async with session.post(
                f"{url}/v1/backend-servers/{self.vm}",
                json=body,
                ssl=self.tls or True,
            ) as response:
                if response.status != 200:
                    return False
                reply = await response.json()
                self.pool, self._last_stamp = reply["pool"], reply["stamp"]
                self._announce_interval_seconds = reply["renew_after_seconds"]
                return True
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
