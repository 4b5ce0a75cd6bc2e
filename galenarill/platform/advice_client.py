"""HTTP client of the platform's policy service."""

import asyncio
import contextlib

import aiohttp
import msgspec

from galenarill.common import WorkerId
from galenarill.errors import ProtocolError
from galenarill.platform.fields import Number
from galenarill.workers import Advice, AdviceClient

__all__ = ["HttpAdviceClient", "decode_advice"]

# The service handles calls one at a time, so a call may queue behind others.
CALL_TIMEOUT_SECONDS = 3.0
DEFAULT_VALID_MS = 1000.0


class _AdviceResponse(msgspec.Struct):
    # Rows of [worker id, ticket], decoded one by one.
    good: list[msgspec.Raw]
    valid_ms: Number = DEFAULT_VALID_MS


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
            return decode_advice(data)
        except (aiohttp.ClientError, TimeoutError, OSError, ProtocolError):
            # The caller logs the missing advice.
            return None


def decode_advice(data: bytes) -> Advice:
    """Decode a response of the policy service; odd rows are left out.

    Raises:
        ProtocolError: If the message is malformed.
    """
    try:
        answer = msgspec.json.decode(data, type=_AdviceResponse)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ProtocolError(str(error)) from error
    tickets = {}
    for row in answer.good:
        with contextlib.suppress(msgspec.DecodeError, UnicodeDecodeError):
            worker, ticket = msgspec.json.decode(row, type=tuple[str, str])
            tickets[WorkerId(worker)] = ticket
    return Advice(tickets, answer.valid_ms / 1000)
