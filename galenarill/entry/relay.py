"""Fetching of a stored response from another entry VM."""

import ssl

import aiohttp
from aiohttp import web

from galenarill.common import RequestId

__all__ = ["relay_response"]

# Longer than the longest timeout of a request, which is 600 s.
RELAY_TIMEOUT_SECONDS = 620.0
CONNECT_TIMEOUT_SECONDS = 1.0
CHUNK_BYTES = 64 * 1024


async def relay_response(
    request: web.Request,
    address: str,
    request_id: RequestId,
    tls: ssl.SSLContext | None,
) -> web.StreamResponse | None:
    """Fetch the response that another entry VM stores.

    Args:
        request: Request of the caller, whose key is sent to the other VM.
        address: `host:port` of the other VM.
        request_id: Id of the request whose response is fetched.
        tls: TLS context of the connection, or None for plain HTTP.

    Returns:
        The response, or None if the other VM does not have it or cannot be
        reached.
    """
    headers = {"Galenarill-Relayed": "true"}
    for name in ("Authorization", "Galenarill-Timeout-Seconds"):
        if name in request.headers:
            headers[name] = request.headers[name]
    scheme = "https" if tls else "http"
    timeout = aiohttp.ClientTimeout(
        total=RELAY_TIMEOUT_SECONDS, sock_connect=CONNECT_TIMEOUT_SECONDS
    )
    try:
        async with (
            aiohttp.ClientSession(
                timeout=timeout, auto_decompress=False
            ) as session,
            session.get(
                f"{scheme}://{address}/v1/requests/{request_id}",
                headers=headers,
                ssl=tls or True,
            ) as upstream,
        ):
            if upstream.status == 404:
                return None
            body = await upstream.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return None
    response = web.Response(status=upstream.status, body=body)
    for name, value in upstream.headers.items():
        if name.lower() not in ("content-length", "transfer-encoding", "date"):
            response.headers[name] = value
    return response
