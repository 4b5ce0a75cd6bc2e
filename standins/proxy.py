"""TCP proxy that injects faults between two processes."""

import asyncio
import contextlib
import enum

__all__ = ["FaultProxy", "Fault"]

CHUNK_BYTES = 64 * 1024


class Fault(enum.Enum):
    """Fault that the proxy applies to its connections.

    Attributes:
        NONE: Forward data in both directions.
        CUT: Abort the open connections and refuse new ones.
        HALF_OPEN: Keep connections open and discard all data.
        RESET: Abort the open connections once.
        DROP_REQUESTS: Discard data sent to the target.
        DROP_ANSWERS: Discard data received from the target.
    """

    NONE = "none"
    CUT = "cut"
    HALF_OPEN = "half-open"
    RESET = "reset"
    DROP_REQUESTS = "drop-requests"
    DROP_ANSWERS = "drop-answers"


class FaultProxy:
    """Forwards connections to one address, with a fault set at run time.

    Attributes:
        address: `host:port` of the listener.
        delay_seconds: Delay before each chunk is forwarded.
    """

    def __init__(self, target: str):
        """Create a proxy to `target`, given as `host:port`."""
        self.address = ""
        self.delay_seconds = 0.0
        self._target = target
        self._fault = Fault.NONE
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Start listening on loopback; port 0 selects a free port."""
        self._server = await asyncio.start_server(
            self._handle, "127.0.0.1", port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Abort all connections and stop listening."""
        self._server.close()
        self._abort_connections()

    def set_fault(self, fault: Fault) -> None:
        """Replace the current fault; RESET acts once and leaves NONE."""
        if fault in (Fault.CUT, Fault.RESET):
            self._abort_connections()
        self._fault = Fault.NONE if fault is Fault.RESET else fault

    def _abort_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _handle(self, reader, writer) -> None:
        if self._fault is Fault.CUT:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, Fault.DROP_REQUESTS),
                self._forward(target_reader, writer, Fault.DROP_ANSWERS),
            )
        finally:
            self._writers -= {writer, target_writer}
            writer.transport.abort()
            target_writer.transport.abort()

    async def _forward(self, reader, writer, drop_fault: Fault) -> None:
        with contextlib.suppress(ConnectionError, OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._fault in (Fault.HALF_OPEN, drop_fault):
                    continue
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
