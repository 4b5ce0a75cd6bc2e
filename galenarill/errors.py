"""Errors raised by galenarill, in one tree below `GalenarillError`."""

import dataclasses

__all__ = [
    "GalenarillError",
    "Finding",
    "SettingsError",
    "SettingsFindings",
    "ProtocolError",
    "AuthenticationError",
    "ConflictError",
    "CommandRefusedError",
    "NotLeaderError",
    "JournalError",
    "JournalCorruptError",
    "RequestRefusedError",
]


class GalenarillError(Exception):
    """Root of the error tree."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One fault found in a settings file.

    Attributes:
        file: File in which the fault stands.
        line: Line number from 1, or 0 where no line can be named.
        path: Dotted path of the setting.
        text: What is wrong, with the offending value.
    """

    file: str
    line: int
    path: str
    text: str

    def __str__(self) -> str:
        """Return `file:line: path: text`."""
        return f"{self.file}:{self.line}: {self.path}: {self.text}"


class SettingsError(GalenarillError):
    """One fault in a settings file.

    Attributes:
        finding: The fault with its place.
    """

    def __init__(self, finding: Finding):
        """Wrap `finding`."""
        super().__init__(str(finding))
        self.finding = finding


class SettingsFindings(ExceptionGroup[SettingsError], GalenarillError):
    """Every fault that one check of the settings found."""

    def derive(self, excs):
        """Return a group of the same type, as `split` and `except*` need."""
        return SettingsFindings(self.message, excs)


class ProtocolError(GalenarillError):
    """A message that does not follow the protocol."""


class AuthenticationError(GalenarillError):
    """A peer, caller or operator could not prove who it is."""


class ConflictError(GalenarillError):
    """A change is based on a version that is no longer current."""


class CommandRefusedError(GalenarillError):
    """The replicated state refused a command."""


class NotLeaderError(GalenarillError):
    """No leader of the replicated log can be reached."""


class JournalError(GalenarillError):
    """The journal on disk cannot be used."""


class JournalCorruptError(JournalError):
    """A synced record of the journal is damaged."""


class RequestRefusedError(GalenarillError):
    """A caller's request was refused before it ran.

    Attributes:
        reason: Machine-readable reason.
    """

    def __init__(self, reason: str, detail: str):
        """Store `reason` beside the text for people."""
        super().__init__(detail)
        self.reason = reason
