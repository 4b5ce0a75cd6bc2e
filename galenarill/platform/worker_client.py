"""HTTP client that sends orders to workers."""

import asyncio
import functools

import aiohttp
import msgspec
import yarl

from galenarill.errors import ProtocolError
from galenarill.platform.wire import decode_clock_and_reason, decode_lists
from galenarill.workers import (
    OrderAnswer,
    StartOrder,
    Verdict,
    WorkerClient,
    WorkerReport,
)

__all__ = ["HttpWorkerClient"]

# Timeout of orders that are not repeated sooner.
ORDER_TIMEOUT_SECONDS = 0.7
# Connections per worker: one for lease renewals, the others for orders. Opening
# one costs the leader more than an order that waits for the previous one.
MAX_CONNECTIONS = 4
EXPECTED_INSTANCE_HEADER = "X-Galenarill-Expect-Instance"

# URLs that are kept: four for each of 2,000 workers.
MAX_URLS = 8_000

# In place of an HTTP status.
_NO_RESPONSE = 0
_REFUSED = -1

_VERDICT_BY_REASON = {
    "fence": Verdict.FENCED,
    "old": Verdict.OLD,
    "late": Verdict.LATE,
    "room": Verdict.NO_ROOM,
    "ticket": Verdict.NO_TICKET,
}


class HttpWorkerClient(WorkerClient):
    """Sends orders to workers over persistent HTTP connections."""

    def __init__(self):
        """Create the connection pool without opening a connection."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, limit_per_host=MAX_CONNECTIONS, keepalive_timeout=30
            ),
            # Each call has a timeout of its own, and workers set no cookies.
            timeout=aiohttp.ClientTimeout(total=None),
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            auto_decompress=False,
        )

    async def aclose(self) -> None:
        """Close the HTTP session."""
        await self._session.close()

    async def renew(
        self,
        worker: WorkerReport,
        token: int,
        acknowledged_end: int,
        until_ms: int | None,
        wait_ms: int,
        timeout_seconds: float,
    ) -> OrderAnswer:
        """Renew a worker's lease and fetch its lists of runs."""
        body = {"fence": token, "seen_upto": acknowledged_end}
        if until_ms is not None:
            body["until_ms"] = until_ms
        if wait_ms:
            body["wait_ms"] = wait_ms
        status, data = await self._call(
            worker, "hold", body, timeout_seconds + wait_ms / 1000
        )
        answer = _to_order_answer(status, data)
        if answer.verdict is not Verdict.DONE:
            return answer
        try:
            lists = decode_lists(data)
        except ProtocolError:
            return OrderAnswer(Verdict.NO_ANSWER)
        return OrderAnswer(Verdict.DONE, lists.clock_ms, lists)

    async def start(
        self, worker: WorkerReport, order: StartOrder, timeout_seconds: float
    ) -> OrderAnswer:
        """Order a worker to start a run."""
        body = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "until_ms": order.until_ms,
            "fence": order.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return _to_order_answer(
            *await self._call(worker, "run-start", body, timeout_seconds)
        )

    async def stop(
        self, worker: WorkerReport, task: str, run: int, token: int
    ) -> OrderAnswer:
        """Stop a run, and prevent its start if it has not started yet."""
        body = {"task": task, "run": run, "fence": token}
        return _to_order_answer(
            *await self._call(worker, "run-stop", body, ORDER_TIMEOUT_SECONDS)
        )

    async def throttle(
        self,
        worker: WorkerReport,
        task: str,
        run: int,
        percent: int,
        token: int,
    ) -> OrderAnswer:
        """Limit a run to `percent` of its full speed."""
        body = {"task": task, "run": run, "percent": percent, "fence": token}
        return _to_order_answer(
            *await self._call(worker, "pace", body, ORDER_TIMEOUT_SECONDS)
        )

    async def _call(
        self,
        worker: WorkerReport,
        name: str,
        body: dict,
        timeout_seconds: float,
    ) -> tuple[int, bytes]:
        """Return the HTTP status, or what replaces it, and the body."""
        try:
            async with asyncio.timeout(timeout_seconds):
                async with self._session.post(
                    _order_url(worker.address, name),
                    allow_redirects=False,
                    data=msgspec.json.encode(body),
                    headers={
                        "Content-Type": "application/json",
                        EXPECTED_INSTANCE_HEADER: worker.worker,
                    },
                ) as response:
                    return response.status, await response.read()
        except aiohttp.ClientConnectorError as error:
            is_refused = isinstance(error.os_error, ConnectionRefusedError)
            return (_REFUSED if is_refused else _NO_RESPONSE), b""
        # An address or id that the HTTP client can't use is a ValueError.
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            # The caller logs the consequences of a missing response.
            return _NO_RESPONSE, b""


@functools.lru_cache(maxsize=MAX_URLS)
def _order_url(address: str, name: str) -> yarl.URL:
    """Return the URL of an order; parsing it takes a tenth of a call."""
    return yarl.URL(f"http://{address}/galenarill/{name}")


def _to_order_answer(status: int, data: bytes) -> OrderAnswer:
    if status == _REFUSED:
        return OrderAnswer(Verdict.NO_LISTENER)
    clock_ms, reason = decode_clock_and_reason(data) if data else (None, "")
    match status:
        case 200:
            verdict = Verdict.DONE
        case 409:
            verdict = _VERDICT_BY_REASON.get(reason, Verdict.INVALID)
        case 421:
            # The clock belongs to another instance and must not be used.
            verdict, clock_ms = Verdict.OTHER_INCARNATION, None
        case 429 | 503:
            verdict = Verdict.UNHEALTHY
        case 400 | 404:
            verdict = Verdict.INVALID
        case _:
            verdict = Verdict.NO_ANSWER
    return OrderAnswer(verdict, clock_ms)
