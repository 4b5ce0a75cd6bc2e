"""Durable storage of a replica's log: a journal and a snapshot."""

import os
import pathlib
import secrets
import struct

import cbor2
import msgspec
import xxhash

from galenarill.consensus.messages import Entry, HardState, Snapshot
from galenarill.errors import JournalCorruptError, JournalError

__all__ = ["Journal", "JournalContents", "open_journal"]

JOURNAL_FILE = "journal"
SNAPSHOT_FILE = "snapshot"
DISK_FILE = "disk-id"
RECORD_HEADER = struct.Struct("<IQ")
MAX_RECORD_BYTES = 64 * 1024 * 1024


class JournalContents(msgspec.Struct):
    """Contents of a data folder.

    Attributes:
        disk: Id of the disk.
        hard_state: Latest hard state.
        snapshot: Snapshot, or None if the disk is blank, that is, does not
            belong to a log yet.
        entries: Entries after the snapshot.
        torn_bytes: Bytes of an incomplete last record that were truncated.
    """

    disk: str
    hard_state: HardState
    snapshot: Snapshot | None
    entries: list[Entry]
    torn_bytes: int = 0


class _Record(msgspec.Struct, array_like=True, omit_defaults=True):
    hard_state: HardState | None = None
    entries: list[Entry] = []


class Journal:
    """An append-only file of checksummed records, with a snapshot file.

    Each `append` writes one record with one sync, regardless of the number of
    entries.
    """

    def __init__(self, folder: pathlib.Path, fd: int):
        """Wrap an open journal file; use `open_journal` to open one."""
        self._folder = folder
        self._fd = fd

    @property
    def size(self) -> int:
        """Size of the journal file in bytes."""
        return os.fstat(self._fd).st_size

    def append(
        self, hard_state: HardState | None, entries: list[Entry]
    ) -> None:
        """Write and sync one record.

        Args:
            hard_state: Hard state, or None if it has not changed.
            entries: Entries, which replace any at the same or later indexes.

        Raises:
            JournalError: If the write fails. The journal must not be used
                afterwards, because it is unknown what has reached the disk.
        """
        data = _encode_record(_Record(hard_state, entries))
        try:
            _write_all(self._fd, data)
            os.fdatasync(self._fd)
        except OSError as error:
            raise JournalError(f"cannot write the journal: {error}") from error

    def install(
        self,
        snapshot: Snapshot,
        hard_state: HardState,
        entries: tuple[Entry, ...],
    ) -> None:
        """Replace the contents with a snapshot and the entries after it.

        Args:
            snapshot: Snapshot.
            hard_state: Current hard state.
            entries: Entries after the snapshot.

        Raises:
            JournalError: If the write fails.
        """
        try:
            # A crash between the two renames leaves the old journal, which
            # begins before the snapshot; `open_journal` skips the entries that
            # the snapshot covers.
            _write_atomically(
                self._folder / SNAPSHOT_FILE,
                _frame_record(msgspec.to_builtins(snapshot)),
            )
            record = _encode_record(_Record(hard_state, list(entries)))
            _write_atomically(self._folder / JOURNAL_FILE, record)
            os.close(self._fd)
            self._fd = _open_append(self._folder / JOURNAL_FILE)
        except OSError as error:
            raise JournalError(f"cannot write a snapshot: {error}") from error

    def close(self) -> None:
        """Close the journal file."""
        os.close(self._fd)


def open_journal(folder: pathlib.Path) -> tuple[Journal, JournalContents]:
    """Open the journal in `folder`, creating the folder if it is missing.

    An incomplete record at the end is truncated. Its write was never synced,
    so no reply was sent that depends on it.

    Args:
        folder: Data folder.

    Returns:
        The journal and its contents.

    Raises:
        JournalCorruptError: If a file is missing, the snapshot is damaged, or
            the journal is damaged before its last record.
        JournalError: If the folder or its files cannot be accessed.
    """
    try:
        folder.mkdir(parents=True, exist_ok=True)
        disk = _read_disk_id(folder)
        snapshot = _read_snapshot(folder / SNAPSHOT_FILE)
        path = folder / JOURNAL_FILE
        if not path.exists():
            if snapshot is not None:
                raise JournalCorruptError(f"{path} is missing")
            _write_atomically(path, b"")
        hard_state, entries, torn = _read_journal(path, snapshot)
        return (
            Journal(folder, _open_append(path)),
            JournalContents(disk, hard_state, snapshot, entries, torn),
        )
    except OSError as error:
        raise JournalError(f"cannot open {folder}: {error}") from error


def _read_disk_id(folder: pathlib.Path) -> str:
    path = folder / DISK_FILE
    if path.exists():
        return path.read_text().strip()
    if (folder / JOURNAL_FILE).exists():
        raise JournalCorruptError(f"{path} is missing")
    disk = secrets.token_hex(8)
    _write_atomically(path, disk.encode())
    return disk


def _read_snapshot(path: pathlib.Path) -> Snapshot | None:
    if not path.exists():
        return None
    payloads, valid_bytes = _read_valid_records(path.read_bytes())
    if len(payloads) != 1 or valid_bytes != path.stat().st_size:
        raise JournalCorruptError(f"{path} is damaged")
    return _decode_payload(payloads[0], Snapshot, path)


def _read_journal(
    path: pathlib.Path, snapshot: Snapshot | None
) -> tuple[HardState, list[Entry], int]:
    data = path.read_bytes()
    payloads, valid_bytes = _read_valid_records(data)
    if _has_valid_record_after(data, valid_bytes):
        raise JournalCorruptError(f"{path} is damaged at byte {valid_bytes}")
    if valid_bytes < len(data):
        os.truncate(path, valid_bytes)
    hard_state = HardState()
    entries: dict[int, Entry] = {}
    for payload in payloads:
        record = _decode_payload(payload, _Record, path)
        hard_state = record.hard_state or hard_state
        if record.entries:
            first = record.entries[0].index
            for index in [i for i in entries if i >= first]:
                del entries[index]
            entries.update((entry.index, entry) for entry in record.entries)
    snapshot_index = snapshot.index if snapshot else 0
    following = [entries[i] for i in sorted(entries) if i > snapshot_index]
    for position, entry in enumerate(following, snapshot_index + 1):
        if entry.index != position:
            raise JournalCorruptError(f"{path} is missing entry {position}")
    return hard_state, following, len(data) - valid_bytes


def _read_valid_records(data: bytes) -> tuple[list[bytes], int]:
    """Return the payloads of the valid records at the start, and their end."""
    payloads = []
    offset = 0
    while (payload := _read_record(data, offset)) is not None:
        payloads.append(payload)
        offset += RECORD_HEADER.size + len(payload)
    return payloads, offset


def _read_record(data: bytes, offset: int) -> bytes | None:
    start = offset + RECORD_HEADER.size
    if start > len(data):
        return None
    length, checksum = RECORD_HEADER.unpack_from(data, offset)
    if not 0 < length <= MAX_RECORD_BYTES or start + length > len(data):
        return None
    payload = data[start : start + length]
    if xxhash.xxh3_64_intdigest(payload) != checksum:
        return None
    return payload


def _has_valid_record_after(data: bytes, offset: int) -> bool:
    """Return whether a valid record follows the damaged one at `offset`."""
    return any(
        _read_record(data, position) is not None
        for position in range(offset + 1, len(data) - RECORD_HEADER.size)
    )


def _decode_payload(payload: bytes, kind, path: pathlib.Path):
    try:
        return msgspec.convert(cbor2.loads(payload), kind)
    except (msgspec.ValidationError, cbor2.CBORDecodeError) as error:
        raise JournalCorruptError(f"{path} is damaged: {error}") from error


def _frame_record(value) -> bytes:
    payload = cbor2.dumps(value)
    checksum = xxhash.xxh3_64_intdigest(payload)
    return RECORD_HEADER.pack(len(payload), checksum) + payload


def _encode_record(record: _Record) -> bytes:
    return _frame_record(msgspec.to_builtins(record))


def _open_append(path: pathlib.Path) -> int:
    return os.open(path, os.O_WRONLY | os.O_APPEND)


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


def _write_atomically(path: pathlib.Path, data: bytes) -> None:
    """Replace a file so that a crash leaves either the old or the new one."""
    temporary = path.with_name(f"{path.name}.new")
    fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        _write_all(fd, data)
        os.fsync(fd)
    finally:
        os.close(fd)
    os.replace(temporary, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
