"""Entries of one replica's log that follow its snapshot."""

from galenarill.consensus.messages import Entry, Snapshot
from galenarill.errors import JournalError

__all__ = ["ReplicaLog"]


class ReplicaLog:
    """Entries in memory, from the snapshot's index on.

    Example:
        >>> from galenarill.consensus.messages import Configuration, EntryKind
        >>> log = ReplicaLog(Snapshot(0, 0, Configuration({}), b""))
        >>> log.append([Entry(1, 1, EntryKind.NOOP, b"")])
        >>> log.last_index, log.term_at(1)
        (1, 1)
    """

    def __init__(self, snapshot: Snapshot):
        """Make a log that begins after `snapshot`."""
        self._snapshot = snapshot
        self._entries: list[Entry] = []

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot that precedes the entries."""
        return self._snapshot

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot."""
        return self._snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot."""
        if self._entries:
            return self._entries[-1].term
        return self._snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term at `index`, or None where it is not known."""
        if index == self._snapshot.index:
            return self._snapshot.term
        position = index - self._snapshot.index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def entries(self, first: int, limit: int) -> tuple[Entry, ...]:
        """Return at most `limit` entries from index `first` on."""
        start = first - self._snapshot.index - 1
        return tuple(self._entries[start : start + limit])

    def append(self, entries: list[Entry]) -> None:
        """Append `entries`, replacing those from the first one's index on.

        Raises:
            JournalError: If the entries would leave a gap.
        """
        if not entries:
            return
        position = entries[0].index - self._snapshot.index - 1
        if not 0 <= position <= len(self._entries):
            raise JournalError(
                f"entry {entries[0].index} does not follow {self.last_index}"
            )
        del self._entries[position:]
        self._entries.extend(entries)

    def compact(self, snapshot: Snapshot) -> None:
        """Drop the entries that `snapshot` covers, or all if it disagrees."""
        if self.term_at(snapshot.index) == snapshot.term:
            keep = snapshot.index - self._snapshot.index
            del self._entries[:keep]
        else:
            self._entries.clear()
        self._snapshot = snapshot
