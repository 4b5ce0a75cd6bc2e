"""Exceptions of galenarill, all derived from `GalenarillError`."""

import dataclasses

__all__ = [
    "GalenarillError",
    "Finding",
    "SettingsError",
    "SettingsErrorGroup",
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
    """Base class of all exceptions of galenarill."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One fault found in a settings file.

    Attributes:
        file: File that contains the fault.
        line: Line number from 1, or 0 if the line is unknown.
        path: Dotted path of the setting.
        text: Description of the fault, with the offending value.
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
        finding: The fault and its location.
    """

    def __init__(self, finding: Finding):
        """Create an error whose message is the text form of `finding`."""
        super().__init__(str(finding))
        self.finding = finding


class SettingsErrorGroup(ExceptionGroup[SettingsError], GalenarillError):
    """All faults found by one check of the settings."""

    def derive(self, excs):
        """Return a group of the same type, as `split` and `except*` require."""
        return SettingsErrorGroup(self.message, excs)


class ProtocolError(GalenarillError):
    """A message violates the protocol."""


class AuthenticationError(GalenarillError):
    """A peer, caller or operator could not be authenticated."""


class ConflictError(GalenarillError):
    """A change is based on a version that is no longer current."""


class CommandRefusedError(GalenarillError):
    """The replicated state machine refused a command."""


class NotLeaderError(GalenarillError):
    """No leader of the replicated log can be reached."""


class JournalError(GalenarillError):
    """The journal on disk cannot be used."""


class JournalCorruptError(JournalError):
    """A synced record of the journal is corrupt."""


class RequestRefusedError(GalenarillError):
    """A caller's request was refused before it ran.

    Attributes:
        reason: Machine-readable reason code.
    """

    def __init__(self, reason: str, detail: str):
        """Create an error with a `reason` code and the message `detail`."""
        super().__init__(detail)
        self.reason = reason
