"""A path between two addresses that can be cut for a while."""

import asyncio
import contextlib

__all__ = ["CutPath"]


class CutPath:
    """A proxy that holds up all bytes while it is cut.

    As on a partitioned network, what was sent arrives once the cut has healed,
    unless its sender has reset the connection.
    """

    def __init__(self, target: str):
        """Create a path to `host:port` that is not listening yet."""
        self._target = target
        self._is_whole = asyncio.Event()
        self._is_whole.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.address = ""

    async def listen(self) -> None:
        """Start to listen on a free port."""
        self._server = await asyncio.start_server(self._connect, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Close all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Hold up all bytes from now on."""
        self._is_whole.clear()

    def heal(self) -> None:
        """Deliver what was held up."""
        self._is_whole.set()

    async def _connect(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._is_whole.wait()
            host, _, port = self._target.rpartition(":")
            peer_reader, peer_writer = await asyncio.open_connection(
                host, int(port)
            )
            await asyncio.gather(
                self._pump(reader, peer_writer), self._pump(peer_reader, writer)
            )
        except OSError:
            writer.close()
        finally:
            self._tasks.discard(task)

    async def _pump(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._is_whole.wait()
                writer.write(data)
                await writer.drain()
        await self._is_whole.wait()
        with contextlib.suppress(OSError):
            writer.close()
