"""A caller and an operator that follow PROTOCOL.md."""

import asyncio
import json

import aiohttp

HOST = "pule25.example"
PREFIX = "/puxa400/"


class Caller:
    """Sends calls to gateways and coordinators, in turn."""

    def __init__(self, session: aiohttp.ClientSession, system, record):
        """Create a caller of the processes of `system`."""
        self._session = session
        self._system = system
        self._record = record
        self._turn = 0

    async def call(
        self, method: str, address: str, path: str, body=None, **headers
    ) -> tuple[int, dict]:
        """Return status and body; status 0 if there is no answer."""
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                data=None if body is None else json.dumps(body),
                headers={"Content-Type": "application/json"} | headers,
            ) as response:
                text = await response.text()
                return response.status, json.loads(text) if text else {}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, {}

    async def job(
        self,
        method: str,
        job: str,
        body=None,
        key: str = "key-1",
        prefix=PREFIX,
    ) -> tuple[int, dict]:
        """Send one call about a job to the next gateway."""
        fronts = self._system.front_addresses
        self._turn += 1
        return await self.call(
            method,
            fronts[self._turn % len(fronts)],
            prefix + job,
            body,
            Host=HOST,
            Authorization=f"Bearer {key}",
            **{"X-Galenarill-Deadline-Ms": "3000"},
        )

    async def submit(
        self, job: str, body: dict, seconds: float = 20.0, **named
    ):
        """Hand a job in, again after each unclear answer; return the status."""
        end = asyncio.get_running_loop().time() + seconds
        status = 0
        while asyncio.get_running_loop().time() < end:
            status, _ = await self.job("POST", job, body, **named)
            if status not in (0, 502, 503, 504, 429):
                return status
            await asyncio.sleep(0.2)
        return status

    async def operate(
        self, method: str, path: str, body=None, seconds: float = 20.0
    ) -> tuple[int, dict, str]:
        """Send an operator's order until a node answers it."""
        end = asyncio.get_running_loop().time() + seconds
        status, answer, address = 0, {}, ""
        pause = 0.05
        while asyncio.get_running_loop().time() < end:
            for address in self._system.controls:
                status, answer = await self.call(method, address, path, body)
                if 200 <= status < 300 or 400 <= status < 408:
                    return status, answer, address
            await asyncio.sleep(pause)
            pause = min(2 * pause, 1.0)
        return status, answer, address
