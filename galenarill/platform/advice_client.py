"""The platform's policy service over HTTP."""

import asyncio

import aiohttp
import msgspec

from galenarill.workers import Advice, AdviceClient
from galenarill.world import WorkerId

__all__ = ["HttpAdviceClient"]

# Time for an answer, in seconds: the service takes its calls in turn.
CALL_TIMEOUT_SECONDS = 3.0
DEFAULT_VALID_MS = 1000.0


class _AdviceResponse(msgspec.Struct):
    # Rows of a worker's id and its ticket.
    good: list[list[str]]
    valid_ms: float = DEFAULT_VALID_MS


class HttpAdviceClient(AdviceClient):
    """The platform's call for advice."""

    def __init__(self, address: str):
        """Use the service at `address`, `host:port`."""
        self._url = f"http://{address}/galenarill/advise"
        self._session = aiohttp.ClientSession()

    async def aclose(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def ask(self, step: str, workers: list[WorkerId]) -> Advice | None:
        """Ask which of some workers may run a step."""
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
            # The caller logs that there was no advice.
            return None
        return Advice(
            {WorkerId(row[0]): row[1] for row in answer.good if len(row) > 1},
            answer.valid_ms / 1000,
        )
