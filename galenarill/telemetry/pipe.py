"""Non-blocking log output with bounded memory and bounded rate."""

import collections
import logging
import os
import select
import time

__all__ = ["NonBlockingLogHandler", "EventRateLimiter"]

# Maximum size of the buffer; lines beyond it are dropped.
MAX_BUFFERED_BYTES = 1 << 20
# Buffer size that triggers a write before the next flush, and the maximum size
# of a batch. A write of up to PIPE_BUF bytes to a pipe is atomic.
MAX_BATCH_BYTES = select.PIPE_BUF
# Maximum number of lines per event and second; lines beyond it are counted.
MAX_EVENT_LINES_PER_SECOND = 200


class NonBlockingLogHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking.

    If the reader stalls, lines are buffered up to `MAX_BUFFERED_BYTES`, then
    dropped and counted. Warnings are written at once, other lines in batches.

    Attributes:
        dropped: Number of lines dropped since the start.
    """

    def __init__(self, fd: int):
        """Write to the descriptor `fd`, which is set to non-blocking."""
        super().__init__()
        os.set_blocking(fd, False)
        self._fd = fd
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._unreported_drops = 0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line, or drop and count it if the buffer is full."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._unreported_drops += 1
            self.dropped += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)
        if (
            record.levelno >= logging.WARNING
            or self._buffered_bytes > MAX_BATCH_BYTES
        ):
            self.flush()

    def flush(self) -> None:
        """Write as many lines as possible without blocking."""
        while self._lines:
            data = self._take_batch()
            try:
                written = os.write(self._fd, data)
            except (BlockingIOError, BrokenPipeError):
                written = 0
            self._buffered_bytes -= written
            if written < len(data):
                self._lines.appendleft(data[written:])
                return
        if self._unreported_drops:
            count, self._unreported_drops = self._unreported_drops, 0
            logging.getLogger(__name__).warning(
                "log lines dropped", extra={"count": count}
            )

    def _take_batch(self) -> bytes:
        """Remove and return whole lines for one write, at least one line."""
        batch = [self._lines.popleft()]
        size = len(batch[0])
        while self._lines and size + len(self._lines[0]) <= MAX_BATCH_BYTES:
            batch.append(self._lines.popleft())
            size += len(batch[-1])
        return b"".join(batch)


class EventRateLimiter(logging.Filter):
    """Limits the number of lines per event and second.

    Lines at level WARNING and above always pass. When the first line of a new
    second arrives, the numbers of lines suppressed in the previous one are
    logged by event.
    """

    def __init__(self, clock=time.monotonic):
        """Create a limiter that reads the time in seconds from `clock`."""
        super().__init__()
        self._clock = clock
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is to be written."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            counts, self._counts = self._counts, collections.Counter()
            suppressed = {
                event: count - MAX_EVENT_LINES_PER_SECOND
                for event, count in counts.items()
                if count > MAX_EVENT_LINES_PER_SECOND
            }
            if suppressed:
                logging.getLogger(__name__).warning(
                    "log lines left out", extra={"events": suppressed}
                )
        if record.levelno >= logging.WARNING:
            return True
        self._counts[record.msg] += 1
        return self._counts[record.msg] <= MAX_EVENT_LINES_PER_SECOND
