"""Set-up of structured JSON logging."""

import logging
import logging.handlers
import sys

from pythonjsonlogger.msgspec import MsgspecFormatter

from galenarill.telemetry.pipe import EventRateLimiter, NonBlockingLogHandler

__all__ = ["start_logging", "start_nonblocking_logging", "LogBuffer"]

BUFFER_CAPACITY_RECORDS = 200


class LogBuffer(logging.handlers.MemoryHandler):
    """Buffers log records, and flushes at once on a warning or worse."""

    def __init__(self, target: logging.Handler):
        """Create a buffer whose records are written by `target`."""
        super().__init__(
            BUFFER_CAPACITY_RECORDS, flushLevel=logging.WARNING, target=target
        )


def start_logging(vm: str, file: str, level: int = logging.INFO) -> LogBuffer:
    """Log JSON lines to `file`, or to standard error.

    Args:
        vm: Id of this entry VM, added to each line.
        file: Path of the log file, or "" for standard error.
        level: Lowest level that is logged.

    Returns:
        The buffer, which the event loop has to flush periodically.
    """
    if file:
        target: logging.Handler = logging.handlers.WatchedFileHandler(file)
    else:
        target = logging.StreamHandler(sys.stderr)
    target.setFormatter(_formatter(vm))
    buffer = LogBuffer(target)
    _replace_root_handler(buffer, level)
    return buffer


def start_nonblocking_logging(
    vm: str, level: int = logging.INFO
) -> NonBlockingLogHandler:
    """Log JSON lines to standard output without blocking on its reader.

    Args:
        vm: Id of this VM, added to each line.
        level: Lowest level that is logged.

    Returns:
        The handler, which the event loop has to flush periodically.
    """
    log_handler = NonBlockingLogHandler(sys.stdout.fileno())
    log_handler.setFormatter(_formatter(vm))
    log_handler.addFilter(EventRateLimiter())
    _replace_root_handler(log_handler, level)
    return log_handler


def _formatter(vm: str) -> MsgspecFormatter:
    return MsgspecFormatter(
        "%(message)s %(levelname)s %(name)s",
        rename_fields={"message": "event", "levelname": "level"},
        static_fields={"vm": vm},
        timestamp="at",
    )


def _replace_root_handler(handler: logging.Handler, level: int) -> None:
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Both libraries log every connection, which the project's own lines already
    # cover. A connection that breaks during its handshake is not an error of
    # this process.
    logging.getLogger("websockets").setLevel(logging.CRITICAL)
    logging.getLogger("aiohttp.access").setLevel(logging.ERROR)
