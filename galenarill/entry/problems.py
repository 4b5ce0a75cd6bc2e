"""HTTP problem responses (RFC 9457)."""

import enum
import json

from aiohttp import web

__all__ = ["RunState", "problem_response"]


class RunState(enum.Enum):
    """Whether a request is known to have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


def problem_response(
    status: int,
    kind: str,
    detail: str,
    run: RunState = RunState.NOT_RUN,
    *,
    retry_after: int | None = None,
    headers: dict[str, str] | None = None,
    **extensions,
) -> web.Response:
    """Return a problem as `application/problem+json`.

    Args:
        status: HTTP status.
        kind: Problem type, unique and listed in docs/API.md.
        detail: Explanation for a human reader.
        run: Whether the request ran. `NOT_RUN` is allowed only if no byte of
            it can have reached a backend server.
        retry_after: Seconds after which a retry may succeed, or None.
        headers: Additional headers.
        **extensions: Extension members of the problem (RFC 9457).

    Returns:
        The response.
    """
    body = {
        "type": f"urn:galenarill:problem:{kind}",
        "title": kind.replace("-", " "),
        "status": status,
        "detail": detail,
        "run": run.value,
        **extensions,
    }
    response = web.Response(
        status=status,
        body=json.dumps(body).encode(),
        content_type="application/problem+json",
        headers=headers,
    )
    if retry_after is not None:
        response.headers["Retry-After"] = str(retry_after)
    return response
