"""Helpers shared by the platform's HTTP servers."""

import logging

import msgspec
from aiohttp import web

__all__ = ["listen", "json_response", "RETRY_AFTER_HEADERS"]

# Delay in seconds before a retry; a leader election takes about as long.
RETRY_AFTER_HEADERS = {"Retry-After": "1"}
MAX_BODY_BYTES = 8 * 1024 * 1024

logger = logging.getLogger(__name__)


async def listen(handler, address: str) -> web.ServerRunner:
    """Start an HTTP server that passes every request to `handler`.

    Args:
        handler: Coroutine function that takes a request and returns a response.
        address: `host:port` to listen on.

    Returns:
        The runner; the caller has to call its `cleanup`.
    """

    async def handle_errors(request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPException as error:
            return web.Response(status=error.status, text=error.text)
        except Exception:
            # Status 500 leaves the outcome open, as a lost response does. A
            # refusal could be false: the request may have taken effect.
            logger.exception("request failed", extra={"path": request.path})
            return web.Response(status=500)

    server = web.Server(handle_errors, access_log=None)
    runner = web.ServerRunner(server, handle_signals=False)
    await runner.setup()
    host, _, port = address.rpartition(":")
    site = web.TCPSite(runner, host, int(port), reuse_address=True, backlog=512)
    await site.start()
    return runner


def json_response(value, status: int = 200, headers=None) -> web.Response:
    """Return a response whose body is `value` encoded as JSON."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
        headers=headers,
    )
