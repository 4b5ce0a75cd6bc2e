"""Structured logs."""

import logging
import logging.handlers
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["start_logging", "LogBuffer"]

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
        file: Path, "" for standard error or "-" for standard output.
        level: Lowest level that is logged.

    Returns:
        The buffer, to be flushed by the loop.
    """
    if file == "-":
        target: logging.Handler = logging.StreamHandler(sys.stdout)
    elif file:
        target = logging.handlers.WatchedFileHandler(file)
    else:
        target = logging.StreamHandler(sys.stderr)
    target.setFormatter(
        JsonFormatter(
            "%(message)s %(levelname)s %(name)s",
            rename_fields={"message": "event", "levelname": "level"},
            static_fields={"vm": vm},
            timestamp="at",
        )
    )
    buffer = LogBuffer(target)
    root = logging.getLogger()
    root.handlers[:] = [buffer]
    root.setLevel(level)
    # These tell of every connection, which adds nothing to our own lines.
    logging.getLogger("websockets").setLevel(logging.ERROR)
    logging.getLogger("aiohttp.access").setLevel(logging.ERROR)
    return buffer
