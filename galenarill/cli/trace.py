"""Command that shows the timeline of one request from logs."""

import datetime
import pathlib
import sys
from typing import TYPE_CHECKING, Annotated

import cyclopts
import msgspec

from galenarill.cli.logs import read_log_files
from galenarill.errors import GalenarillError

if TYPE_CHECKING:
    from galenarill.telemetry import LogLine

__all__ = ["trace"]


def trace(
    request: str,
    files: Annotated[
        list[pathlib.Path], cyclopts.Parameter(consume_multiple=True)
    ],
    *,
    shift: Annotated[list[str], cyclopts.Parameter(negative="")] = (),
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> None:
    """Show the timeline of a request or job from the logs of all processes.

    Shows each line that mentions its id, and the events of its workers, of
    processes, leaders and configurations in the same period. Malformed lines
    are skipped and counted.

    Example: galenarill trace 7c357f4d33c3061a front-1.log core-1.log

    Args:
        request: Id of the request or job.
        files: Log files; "-" is standard input.
        shift: VM=SECONDS, added to the times of a VM to correct its clock.
        json: Print JSON lines instead of text.
    """
    # Imported here because the package also loads the metrics libraries, which
    # would slow down the start of every other command.
    from galenarill.telemetry import request_timeline

    shifts = dict(_parse_shift(text) for text in shift)
    lines, unreadable = read_log_files(files, shifts)
    timeline = request_timeline(lines, request)
    start = timeline[0].at if timeline else 0.0
    for line in timeline:
        print(_as_json(line) if json else _as_text(line, start))
    if unreadable:
        print(f"{unreadable} unreadable lines passed over", file=sys.stderr)
    if not timeline:
        raise GalenarillError(f"no line in {len(lines)} names {request!r}")


def _parse_shift(text: str) -> tuple[str, float]:
    vm, equals, seconds = text.partition("=")
    try:
        if not vm or not equals:
            raise ValueError
        return vm, float(seconds)
    except ValueError:
        raise GalenarillError(
            f"--shift must be VM=SECONDS, not {text!r}"
        ) from None


def _as_text(line: "LogLine", start: float) -> str:
    fields = " ".join(f"{k}={_format_field(v)}" for k, v in line.fields.items())
    return f"{line.at - start:+9.3f}  {line.vm:20} {line.event:24} {fields}"


def _format_field(value) -> str:
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return str(value)


def _as_json(line: "LogLine") -> str:
    at = datetime.datetime.fromtimestamp(line.at, datetime.UTC).isoformat()
    record = {"at": at, "vm": line.vm, "event": line.event, **line.fields}
    return msgspec.json.encode(record).decode()
