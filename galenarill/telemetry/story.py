"""Timeline of one request, merged from the logs of several processes."""

import dataclasses
import datetime
import heapq
import itertools
from collections.abc import Iterable, Iterator

import msgspec

__all__ = ["LogLine", "read_log", "tell_story"]

# Fields that every line has, as opposed to the fields of its event.
_FRAME = frozenset({"event", "level", "name", "vm", "at"})
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
            its process, corrected by the shift given for its VM.
        vm: VM of the process.
        event: Name of the event.
        fields: Fields of the event.
    """

    at: float
    vm: str
    event: str
    fields: dict

    def names(self, subject: str) -> bool:
        """Return whether a field holds the id `subject`, or a task of it.

        The id of a task starts with the id of its job and a dot.
        """
        return any(
            text == subject or text.startswith(f"{subject}.")
            for value in self.fields.values()
            for text in _texts(value)
        )

    @property
    def workers(self) -> set[str]:
        """Workers that the line mentions."""
        named = {self.fields.get("worker"), *self.fields.get("workers", ())}
        return {worker for worker in named if worker}


def read_log(
    lines: Iterable[str], shifts: dict[str, float] | None = None
) -> tuple[list[LogLine], int]:
    """Parse log lines, with or without a prefix before the JSON.

    Lines without JSON are ignored.

    Args:
        lines: Lines of one or several processes.
        shifts: Seconds to add to the times of a VM, by VM.

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
                + (shifts or {}).get(fields["vm"], 0.0),
                fields["vm"],
                fields["event"],
                {k: v for k, v in fields.items() if k not in _FRAME},
            )
        except (ValueError, KeyError, TypeError):
            unreadable += 1
            continue
        read.append(line)
    return read, unreadable


def tell_story(lines: Iterable[LogLine], subject: str) -> list[LogLine]:
    """Return the lines that concern one request or job, in order of time.

    These are the lines that mention its id. Between the first and the last of
    them, lines about its workers and events of processes, leaders and
    configurations are included too. The lines of one VM keep their order even
    if its clock was set back.

    Args:
        lines: Lines of all processes; those of one VM in the order in which
            they were written.
        subject: Id of the request or job.

    Returns:
        The lines; empty if no line mentions the id.
    """
    ordered = list(_merge(lines))
    own = [n for n, line in enumerate(ordered) if line.names(subject)]
    if not own:
        return []
    workers = set().union(*(ordered[n].workers for n in own))
    return [
        line
        for line in ordered[own[0] : own[-1] + 1]
        if line.names(subject)
        or line.event in _GLOBAL_EVENTS
        or (
            line.workers & workers
            and not line.fields.get("job")
            and not line.fields.get("task")
        )
    ]


def _merge(lines: Iterable[LogLine]) -> Iterator[LogLine]:
    by_vm: dict[str, list[LogLine]] = {}
    for line in lines:
        by_vm.setdefault(line.vm, []).append(line)
    streams = []
    for written in by_vm.values():
        latest = itertools.accumulate((line.at for line in written), max)
        streams.append(zip(latest, written, strict=True))
    for _, line in heapq.merge(*streams, key=lambda entry: entry[0]):
        yield line


def _texts(value) -> Iterator[str]:
    if isinstance(value, str):
        yield value
    elif isinstance(value, list):
        for item in value:
            yield from _texts(item)
