"""Parsing of callers' requests."""

import asyncio
import contextlib

from aiohttp import web

from galenarill.entry.executor import HOP_BY_HOP_HEADERS, RequestBody
from galenarill.errors import GalenarillError

__all__ = [
    "BadRequestError",
    "timeout_seconds",
    "is_idempotent",
    "backend_path",
    "backend_headers",
    "read_body",
]

MAX_BUFFERED_BODY_BYTES = 64 * 1024
MAX_BODY_BYTES = 256 * 1024 * 1024
BODY_BUFFER_TIMEOUT_SECONDS = 20.0
DEFAULT_TIMEOUT_SECONDS = 30.0
MAX_TIMEOUT_SECONDS = 600.0
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
# Headers for the entry VM, which are not passed to backend servers.
ENTRY_VM_HEADERS = frozenset(
    {
        "authorization",
        "host",
        "prefer",
        "expect",
        "galenarill-timeout-seconds",
        "galenarill-idempotent",
        "galenarill-request-id",
        "galenarill-attempt-id",
        "galenarill-team",
    }
)


class BadRequestError(GalenarillError):
    """A caller's request has an invalid header or body."""


def timeout_seconds(request: web.Request) -> float:
    """Return the time within which the response must have begun."""
    text = request.headers.get("Galenarill-Timeout-Seconds")
    if text is None:
        return DEFAULT_TIMEOUT_SECONDS
    with contextlib.suppress(ValueError):
        if 0 < float(text) <= MAX_TIMEOUT_SECONDS:
            return float(text)
    raise BadRequestError(
        "Galenarill-Timeout-Seconds must be above 0 and at most "
        f"{MAX_TIMEOUT_SECONDS:.0f}, not {text!r}"
    )


def is_idempotent(request: web.Request) -> bool:
    """Return whether the request may run more than once."""
    text = request.headers.get("Galenarill-Idempotent")
    if text is None:
        return request.method in IDEMPOTENT_METHODS
    if text.lower() not in ("true", "false"):
        raise BadRequestError(
            f"Galenarill-Idempotent must be true or false, not {text!r}"
        )
    return text.lower() == "true"


def backend_path(request: web.Request) -> str:
    """Return the path and query for the backend server."""
    tail = request.rel_url.raw_path.split("/", 4)
    path = f"/{tail[4]}" if len(tail) > 4 else "/"
    query = request.rel_url.raw_query_string
    return f"{path}?{query}" if query else path


def backend_headers(request: web.Request) -> list[tuple[str, str]]:
    """Return the headers for the backend server."""
    named = request.headers.get("Connection", "").lower().split(",")
    dropped = HOP_BY_HOP_HEADERS | ENTRY_VM_HEADERS | {n.strip() for n in named}
    return [
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in dropped
    ]


async def read_body(request: web.Request, deadline: float) -> RequestBody:
    """Buffer a small body, or the start of a larger one.

    Args:
        request: The caller's request.
        deadline: Loop time by which a small body must have been received.

    Returns:
        The body, with the part that is not buffered left to be streamed.

    Raises:
        BadRequestError: If the body is too large or was received too slowly.
    """
    if not request.body_exists:
        return RequestBody(b"", None)
    if (request.content_length or 0) > MAX_BODY_BYTES:
        raise BadRequestError(
            f"the body has {request.content_length} bytes, more than "
            f"{MAX_BODY_BYTES}"
        )
    if request.content.is_eof() and (
        request.content.total_bytes <= MAX_BUFFERED_BODY_BYTES
    ):
        # The whole body has already been received, so no wait is needed.
        return RequestBody(request.content.read_nowait(), None)
    loop = asyncio.get_running_loop()
    limit = min(deadline, loop.time() + BODY_BUFFER_TIMEOUT_SECONDS)
    buffered = bytearray()
    try:
        async with asyncio.timeout_at(limit):
            while len(buffered) <= MAX_BUFFERED_BODY_BYTES:
                chunk = await request.content.readany()
                if not chunk:
                    return RequestBody(bytes(buffered), None)
                buffered += chunk
    except TimeoutError:
        raise BadRequestError("the body came too slowly") from None
    return RequestBody(bytes(buffered), request.content)
