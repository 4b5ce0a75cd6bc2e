"""Structured logs."""

import logging
import logging.handlers
import sys

from pythonjsonlogger.json import JsonFormatter

from galenarill.telemetry.pipe import EventLimiter, LogPipe

__all__ = ["start_logging", "start_piped_logging", "LogBuffer"]

FLUSH_RECORDS = 200


class LogBuffer(logging.handlers.MemoryHandler):
    """Writes log lines in batches, at once from warnings on."""

    def __init__(self, target: logging.Handler):
        """Buffer records for `target`."""
        super().__init__(
            FLUSH_RECORDS, flushLevel=logging.WARNING, target=target
        )


def start_logging(vm: str, file: str, level: int = logging.INFO) -> LogBuffer:
    """Log JSON lines to `file`, or to standard error.

    Args:
        vm: This entry VM, named in each line.
        file: Path, or "".
        level: Lowest level that is logged.

    Returns:
        The buffer, to be flushed by the loop.
    """
    if file:
        target: logging.Handler = logging.handlers.WatchedFileHandler(file)
    else:
        target = logging.StreamHandler(sys.stderr)
    target.setFormatter(_formatter(vm))
    buffer = LogBuffer(target)
    _install(buffer, level)
    return buffer


def start_piped_logging(vm: str, level: int = logging.INFO) -> LogPipe:
    """Log JSON lines to standard output, without ever waiting for its reader.

    Args:
        vm: This VM, named in each line.
        level: Lowest level that is logged.

    Returns:
        The pipe, to be flushed by the loop.
    """
    pipe = LogPipe(sys.stdout.fileno())
    pipe.setFormatter(_formatter(vm))
    pipe.addFilter(EventLimiter())
    _install(pipe, level)
    return pipe


def _formatter(vm: str) -> JsonFormatter:
    return JsonFormatter(
        "%(message)s %(levelname)s %(name)s",
        rename_fields={"message": "event", "levelname": "level"},
        static_fields={"vm": vm},
        timestamp="at",
    )


def _install(handler: logging.Handler, level: int) -> None:
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # These tell of every connection, which adds nothing to our own lines; a
    # connection that breaks in its handshake is no fault of ours.
    logging.getLogger("websockets").setLevel(logging.CRITICAL)
    logging.getLogger("aiohttp.access").setLevel(logging.ERROR)
