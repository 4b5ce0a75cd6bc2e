"""Command that explains where a job would go now."""

import asyncio
from typing import Annotated

import aiohttp
import cyclopts
import msgspec

from galenarill.errors import GalenarillError

__all__ = ["explain"]

CALL_TIMEOUT_SECONDS = 5.0


def explain(
    coordinator: str,
    *,
    host: str,
    path: str,
    key: str | None = None,
    count: int = 1,
    cpu: int = 1000,
    mem_mb: int = 0,
    gpu: int = 0,
    estimate_ms: float = 0.0,
    label: str = "",
    data_rack: str = "",
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> None:
    """Explain where a job would go now, and why, without sending it.

    Example: galenarill explain 10.0.0.5:9100 --host a.example --path /x/1

    Args:
        coordinator: host:port of the metrics page of any coordinator.
        host: Host that the job would be sent to.
        path: Path that it would be sent to.
        key: Key of the tenant.
        count: Number of tasks.
        cpu: CPU of a task, in millicores.
        mem_mb: Memory of a task, in MB.
        gpu: GPUs of a task.
        estimate_ms: Estimated duration of a task, or 0 if unknown.
        label: Label that the worker must have.
        data_rack: Rack of the input data.
        json: Print JSON instead of a table.
    """
    question = {
        "host": host,
        "path": path,
        "key": key,
        "count": count,
        "cpu": cpu,
        "mem_mb": mem_mb,
        "gpu": gpu,
        "estimate_ms": estimate_ms,
        "label": label,
        "data_rack": data_rack,
    }
    answer = asyncio.run(_ask(coordinator, question))
    if json:
        print(msgspec.json.format(msgspec.json.encode(answer)).decode())
    else:
        _print_table(answer)


async def _ask(coordinator: str, question: dict) -> dict:
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(
                f"http://{coordinator}/explain", json=question
            ) as response,
        ):
            status, body = response.status, await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        why = str(error) or "no answer in time"
        raise GalenarillError(f"{coordinator} is unreachable: {why}") from error
    try:
        answer = msgspec.json.decode(body, type=dict)
    except msgspec.DecodeError as error:
        raise GalenarillError(
            f"{coordinator} gave no explanation (status {status}); "
            "is it a coordinator's metrics page?"
        ) from error
    if status != 200:
        raise GalenarillError(answer.get("error", f"status {status}"))
    return answer


def _print_table(answer: dict) -> None:
    admission = "accepted"
    if not answer["is_accepted"]:
        admission = f"rejected, retry after {answer['retry_after_seconds']} s"
    worker = answer["worker"] or "none has room"
    if answer["usable"] and not answer["worker"]:
        worker += ": tasks placed before it take it"
    placed = f"{answer['tasks_placed']} of {answer['tasks']}"
    rows = [
        ("queue", answer["queue"]),
        ("pool", answer["pool"]),
        ("tenant", answer["tenant"] or "-"),
        ("admission", admission),
        ("groups before it", answer["groups_before"]),
        ("workers", answer["workers"]),
        *(
            (f"  {rule}", number)
            for rule, number in sorted(answer["left_out"].items())
        ),
        ("  usable", answer["usable"]),
        *(
            (f"tenant's {name}", f"{answer['tenant_used'][name]} of {limit}")
            for name, limit in answer.get("tenant_limit", {}).items()
            if limit
        ),
        ("worker now", worker),
        ("tasks placed now", placed),
    ]
    if answer["needs_advice"]:
        rows.append(("note", "the policy service decides before placement"))
    for name, value in rows:
        print(f"{name:<34} {value}")
