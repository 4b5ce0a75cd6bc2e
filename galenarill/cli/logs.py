"""Reading of log files for the commands that analyse them."""

import pathlib
import sys
from typing import TYPE_CHECKING

from galenarill.errors import GalenarillError

if TYPE_CHECKING:
    from galenarill.telemetry import LogLine

__all__ = ["read_log_files"]


def read_log_files(
    files: list[pathlib.Path], clock_offsets: dict[str, float] | None = None
) -> tuple[list["LogLine"], int]:
    """Parse the lines of log files; "-" is standard input.

    Args:
        files: Log files.
        clock_offsets: Seconds to add to the times of a VM, by VM.

    Returns:
        The parsed lines, and the number of malformed lines.

    Raises:
        GalenarillError: If a file cannot be read.
    """
    # Imported here because the package also loads the metrics libraries, which
    # would slow down the start of every other command.
    from galenarill.telemetry import read_log

    lines, unreadable = [], 0
    for file in files:
        found, malformed = read_log(_read_lines(file), clock_offsets)
        lines += found
        unreadable += malformed
    return lines, unreadable


def _read_lines(file: pathlib.Path) -> list[str]:
    try:
        if str(file) == "-":
            return sys.stdin.read().splitlines()
        return file.read_text(encoding="utf-8", errors="replace").splitlines()
    except OSError as error:
        raise GalenarillError(f"cannot read {file}: {error}") from error
