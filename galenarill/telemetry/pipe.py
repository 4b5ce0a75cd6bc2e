"""Log lines on standard output that never block and stay bounded."""

import collections
import logging
import os
import select
import time

__all__ = ["LogPipe", "EventLimiter"]

# Bytes that may wait for a reader; beyond this, lines are dropped.
MAX_WAITING_BYTES = 1 << 20
# Bytes after which lines are written without waiting for the next flush, and
# the most that one write holds: what a pipe takes as a whole or not at all.
FLUSH_BYTES = select.PIPE_BUF
# Lines of one event that are written in a second; the others are counted.
LINES_PER_SECOND = 200


class LogPipe(logging.Handler):
    """Writes lines to a file descriptor when it takes them.

    A reader that stops reading costs lines, which are counted, and nothing
    else. Warnings are written at once, other lines in batches.
    """

    def __init__(self, file: int):
        """Write to the descriptor `file`, which is made non-blocking."""
        super().__init__()
        os.set_blocking(file, False)
        self._file = file
        self._lines: collections.deque[bytes] = collections.deque()
        self._waiting = 0
        self._dropped = 0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._waiting + len(line) > MAX_WAITING_BYTES:
            self._dropped += 1
            self.dropped += 1
            return
        self._lines.append(line)
        self._waiting += len(line)
        if record.levelno >= logging.WARNING or self._waiting > FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._lines:
            data = self._take_batch()
            try:
                written = os.write(self._file, data)
            except (BlockingIOError, BrokenPipeError):
                written = 0
            self._waiting -= written
            if written < len(data):
                self._lines.appendleft(data[written:])
                return
        if self._dropped:
            count, self._dropped = self._dropped, 0
            logging.getLogger(__name__).warning(
                "log lines dropped", extra={"count": count}
            )

    def _take_batch(self) -> bytes:
        """Take whole lines that fit into one write, one line at least."""
        batch = [self._lines.popleft()]
        size = len(batch[0])
        while self._lines and size + len(self._lines[0]) <= FLUSH_BYTES:
            batch.append(self._lines.popleft())
            size += len(batch[-1])
        return b"".join(batch)


class EventLimiter(logging.Filter):
    """Lets a bounded number of lines of each event through a second.

    What was left out is told once a second, by event.
    """

    def __init__(self, clock=time.monotonic):
        """Measure seconds by `clock`."""
        super().__init__()
        self._clock = clock
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether a line is written."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            counts, self._counts = self._counts, collections.Counter()
            left_out = {
                event: count - LINES_PER_SECOND
                for event, count in counts.items()
                if count > LINES_PER_SECOND
            }
            if left_out:
                logging.getLogger(__name__).warning(
                    "log lines left out", extra={"events": left_out}
                )
        if record.levelno >= logging.WARNING:
            return True
        self._counts[record.msg] += 1
        return self._counts[record.msg] <= LINES_PER_SECOND
