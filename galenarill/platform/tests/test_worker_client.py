"""Tests of what answers, or their lack, say about orders to workers."""

import asyncio

import pytest

from galenarill.platform.worker_client import HttpWorkerClient
from galenarill.routing import Resources
from galenarill.workers import Verdict, WorkerReport


@pytest.mark.parametrize("listens", [False, True])
def test_only_a_refused_connection_shows_that_a_worker_has_ended(listens):
    """An established connection that is reset leaves the outcome unknown."""

    async def renew():
        async def hang_up(reader, writer):
            await reader.readline()
            writer.transport.abort()

        server = await asyncio.start_server(hang_up, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        if not listens:
            server.close()
            await server.wait_closed()
        worker = WorkerReport(
            "w", 1, 1, "p", "m", f"{host}:{port}", "a", "r", (), Resources()
        )
        client = HttpWorkerClient()
        try:
            return await client.renew(worker, 1, 0, None, 0, 0.7)
        finally:
            await client.aclose()
            server.close()

    expected = Verdict.NO_ANSWER if listens else Verdict.NO_LISTENER
    assert asyncio.run(renew()).verdict is expected
