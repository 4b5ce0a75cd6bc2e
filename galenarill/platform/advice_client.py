"""HTTP client of the platform's policy service."""

import asyncio

import aiohttp
import msgspec

from galenarill.common import WorkerId
from galenarill.workers import Advice, AdviceClient

__all__ = ["HttpAdviceClient"]

# The service handles calls one at a time, so a call may queue behind others.
CALL_TIMEOUT_SECONDS = 3.0
DEFAULT_VALID_MS = 1000.0


class _AdviceResponse(msgspec.Struct):
    # Rows of [worker id, ticket].
    good: list[list[str]]
    valid_ms: float = DEFAULT_VALID_MS


class HttpAdviceClient(AdviceClient):
    """Calls the platform's policy service over HTTP."""

    def __init__(self, address: str):
        """Create a client of the service at `address` (`host:port`)."""
        self._url = f"http://{address}/galenarill/advise"
        self._session = aiohttp.ClientSession()

    async def aclose(self) -> None:
        """Close the HTTP session."""
        await self._session.close()

    async def ask(self, step: str, workers: list[WorkerId]) -> Advice | None:
        """Return advice on which of `workers` may run `step`, or None."""
        body = msgspec.json.encode({"step": step, "workers": workers})
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                async with self._session.post(
                    self._url,
                    data=body,
                    headers={"Content-Type": "application/json"},
                ) as response:
                    data = await response.read()
                    if response.status != 200:
                        return None
            answer = msgspec.json.decode(data, type=_AdviceResponse)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            msgspec.DecodeError,
        ):
            # The caller logs the missing advice.
            return None
        return Advice(
            {WorkerId(row[0]): row[1] for row in answer.good if len(row) > 1},
            answer.valid_ms / 1000,
        )
