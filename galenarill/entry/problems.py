"""Refusals and errors as problem+json."""

import enum
import json

from aiohttp import web

__all__ = ["RunState", "problem_response"]


class RunState(enum.Enum):
    """What is known of whether a request ran."""

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
    """Return a machine-readable refusal.

    Args:
        status: HTTP status.
        kind: Name of the problem, unique in docs/API.md.
        detail: Text for people.
        run: Whether the request ran. It says `NOT_RUN` only if no byte of it
            can have reached a backend server.
        retry_after: Seconds after which a retry may help.
        headers: Further headers.
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
