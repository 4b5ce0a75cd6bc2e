"""Timeline of one request, merged from the logs of several processes."""

import dataclasses
import datetime
import heapq
import itertools
from collections.abc import Iterable, Iterator

import msgspec

__all__ = ["LogLine", "read_log", "request_timeline"]

# Fields that every line has, as opposed to the fields of its event.
_ENVELOPE_FIELDS = frozenset({"event", "level", "name", "vm", "at"})
# Events that affect every request in progress.
_GLOBAL_EVENTS = frozenset(
    {
        "started",
        "stopping",
        "leading",
        "no longer leading",
        "configuration in force",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes:
        at: Unix time in seconds at which the line was written, by the clock of
            its process, plus the offset given for its VM.
        vm: VM of the process.
        event: Name of the event.
        fields: Fields of the event.
    """

    at: float
    vm: str
    event: str
    fields: dict

    def mentions(self, correlation_id: str) -> bool:
        """Return whether a field holds the id or the id of one of its tasks.

        The id of a task starts with the id of its job and a dot.
        """
        return any(
            text == correlation_id or text.startswith(f"{correlation_id}.")
            for value in self.fields.values()
            for text in _iter_strings(value)
        )

    @property
    def workers(self) -> set[str]:
        """Workers that the line mentions."""
        named = {self.fields.get("worker"), *self.fields.get("workers", ())}
        return {worker for worker in named if worker}


def read_log(
    lines: Iterable[str], clock_offsets: dict[str, float] | None = None
) -> tuple[list[LogLine], int]:
    """Parse log lines, with or without a prefix before the JSON.

    Lines without JSON are ignored.

    Args:
        lines: Lines of one or several processes.
        clock_offsets: Seconds to add to the times of a VM, by VM.

    Returns:
        The parsed lines, and the number of malformed lines.

    Example:
        >>> torn = '{"event": "job acc'
        >>> good = '{"event": "up", "vm": "a", "at": "1970-01-01T00:00:01Z"}'
        >>> read, unreadable = read_log([good, torn])
        >>> read[0].at, read[0].event, unreadable
        (1.0, 'up', 1)
    """
    read, unreadable = [], 0
    for text in lines:
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            fields = msgspec.json.decode(text[begin:])
            line = LogLine(
                datetime.datetime.fromisoformat(fields["at"]).timestamp()
                + (clock_offsets or {}).get(fields["vm"], 0.0),
                fields["vm"],
                fields["event"],
                {k: v for k, v in fields.items() if k not in _ENVELOPE_FIELDS},
            )
        except (ValueError, KeyError, TypeError):
            unreadable += 1
            continue
        read.append(line)
    return read, unreadable


def request_timeline(
    lines: Iterable[LogLine], correlation_id: str
) -> list[LogLine]:
    """Return the lines that concern one request or job, in order of time.

    These are the lines that mention its id. Between the first and the last of
    them, lines about its workers and events of processes, leaders and
    configurations are included too. The lines of one VM keep their order even
    if its clock was set back.

    Args:
        lines: Lines of all processes; those of one VM in the order in which
            they were written.
        correlation_id: Id of the request or job.

    Returns:
        The lines; empty if no line mentions the id.
    """
    ordered = list(_merge_by_time(lines))
    matching = [
        n for n, line in enumerate(ordered) if line.mentions(correlation_id)
    ]
    if not matching:
        return []
    workers = set().union(*(ordered[n].workers for n in matching))
    return [
        line
        for line in ordered[matching[0] : matching[-1] + 1]
        if line.mentions(correlation_id)
        or line.event in _GLOBAL_EVENTS
        or (
            line.workers & workers
            and not line.fields.get("job")
            and not line.fields.get("task")
        )
    ]


def _merge_by_time(lines: Iterable[LogLine]) -> Iterator[LogLine]:
    lines_by_vm: dict[str, list[LogLine]] = {}
    for line in lines:
        lines_by_vm.setdefault(line.vm, []).append(line)
    streams = []
    for written in lines_by_vm.values():
        latest = itertools.accumulate((line.at for line in written), max)
        streams.append(zip(latest, written, strict=True))
    for _, line in heapq.merge(*streams, key=lambda entry: entry[0]):
        yield line


def _iter_strings(value) -> Iterator[str]:
    if isinstance(value, str):
        yield value
    elif isinstance(value, list):
        for item in value:
            yield from _iter_strings(item)
