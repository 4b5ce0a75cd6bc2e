"""Tests of the answers to callers."""

import asyncio
import unittest.mock

import aiohttp

from galenarill.cluster import Code, Reply
from galenarill.platform.front import FrontServer


def test_a_rejection_is_answered_with_its_time_to_return():
    """Guards against callers that all return after the same time."""

    async def submit():
        service = unittest.mock.AsyncMock()
        service.call_leader.return_value = Reply(1, Code.TOO_LATE, number=7)
        server = FrontServer(service)
        await server.start("127.0.0.1:0", "127.0.0.1:0")
        host, port = server._runners[1].addresses[0]
        url = f"http://{host}:{port}/a/5c0e7a21d94b36f8"
        body = '{"spec": "x", "steps": [{"count": 1, "cpu": 1}]}'
        async with aiohttp.request("POST", url, data=body) as answer:
            error = await answer.json()
        await server.stop()
        return answer.status, answer.headers["Retry-After"], error

    assert asyncio.run(submit()) == (429, "7", {"error": "too late"})
