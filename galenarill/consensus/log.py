"""In-memory log of a replica, from its snapshot on."""

from galenarill.consensus.messages import Entry, Snapshot
from galenarill.errors import JournalError

__all__ = ["ReplicaLog"]


class ReplicaLog:
    """The entries after the latest snapshot.

    Example:
        >>> from galenarill.consensus.messages import Configuration, EntryKind
        >>> log = ReplicaLog(Snapshot(0, 0, Configuration({}), b""))
        >>> log.append([Entry(1, 1, EntryKind.NOOP, b"")])
        >>> log.last_index, log.term_at(1)
        (1, 1)
    """

    def __init__(self, snapshot: Snapshot):
        """Create a log that begins after `snapshot`."""
        self._snapshot = snapshot
        self._entries: list[Entry] = []

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot that precedes the entries."""
        return self._snapshot

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there is none."""
        return self._snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there is none."""
        if self._entries:
            return self._entries[-1].term
        return self._snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term at `index`, or None if the log does not hold it."""
        if index == self._snapshot.index:
            return self._snapshot.term
        position = index - self._snapshot.index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def entries(self, first: int, limit: int) -> tuple[Entry, ...]:
        """Return up to `limit` entries, starting at index `first`."""
        start = first - self._snapshot.index - 1
        return tuple(self._entries[start : start + limit])

    def append(self, entries: list[Entry]) -> None:
        """Append `entries`, replacing any at the same or later indexes.

        Raises:
            JournalError: If the entries would leave a gap.
        """
        if not entries:
            return
        position = entries[0].index - self._snapshot.index - 1
        if not 0 <= position <= len(self._entries):
            raise JournalError(
                f"entry {entries[0].index} leaves a gap after the last entry, "
                f"{self.last_index}"
            )
        del self._entries[position:]
        self._entries.extend(entries)

    def compact(self, snapshot: Snapshot) -> None:
        """Start after `snapshot`, dropping the entries that it covers.

        All entries are dropped if the log does not hold the snapshot's last
        entry, or holds it with another term.
        """
        if self.term_at(snapshot.index) == snapshot.term:
            keep = snapshot.index - self._snapshot.index
            del self._entries[:keep]
        else:
            self._entries.clear()
        self._snapshot = snapshot
