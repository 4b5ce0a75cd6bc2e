"""Messages, log entries and persistent state of the replicated log."""

import enum

import msgspec

from galenarill.common import VmId

__all__ = [
    "EntryKind",
    "Entry",
    "Configuration",
    "HardState",
    "Snapshot",
    "VoteRequest",
    "VoteReply",
    "Append",
    "AppendReply",
    "InstallSnapshot",
    "DiskAnnouncement",
]


class EntryKind(enum.IntEnum):
    """Kind of data in a log entry."""

    NOOP = 0
    COMMAND = 1
    CONFIGURATION = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    Attributes:
        index: Position in the log, starting at 1.
        term: Term of the leader that appended it.
        kind: Kind of `data`.
        data: Encoded command or configuration.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """Membership of the replicated log.

    Attributes:
        voters: Disk id of each voter. A voter with another disk has lost its
            votes and acknowledged entries, and does not count towards quorums.
        learners: Disk id of each replica that receives entries without voting
            until it has caught up.
    """

    voters: dict[VmId, str]
    learners: dict[VmId, str] = {}


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """State that a replica must sync before it replies.

    Attributes:
        term: Latest known term.
        voted_for: Candidate that got this replica's vote in `term`, or "".
    """

    term: int = 0
    voted_for: VmId | str = ""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State machine snapshot that replaces the log up to an index.

    Attributes:
        index: Index of the last entry that it covers.
        term: Term of that entry.
        configuration: Configuration as of that entry.
        data: Encoded state machine.
    """

    index: int
    term: int
    configuration: Configuration
    data: bytes


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="cv"):
    """Request for a vote or a pre-vote.

    Attributes:
        term: Term in which the candidate would lead.
        last_index: Index of the last entry in the candidate's log.
        last_term: Term of that entry.
        is_pre_vote: Whether this is a pre-vote, which does not change the
            state of the voter.
        disk: Disk id of the candidate.
    """

    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool
    disk: str


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag="cV"):
    """Answer to `VoteRequest`.

    Attributes:
        term: Term of the voter, or the requested term for a granted pre-vote.
        granted: Whether the vote is granted.
        is_pre_vote: Whether this answers a pre-vote.
        disk: Disk id of the voter.
    """

    term: int
    granted: bool
    is_pre_vote: bool
    disk: str


class Append(msgspec.Struct, frozen=True, array_like=True, tag="ca"):
    """Entries from the leader; a heartbeat if there are none.

    Attributes:
        term: Term of the leader.
        previous_index: Index of the entry before the first one.
        previous_term: Term of that entry.
        commit_index: Index of the last entry known to be committed.
        sequence: Number of this message, echoed in the reply.
        is_commit_current: Whether the leader held its lease and had committed
            an entry of its term when it sent this, so that no other leader
            had committed more than `commit_index`.
        entries: The entries.
    """

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    sequence: int
    is_commit_current: bool
    entries: tuple[Entry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag="cA"):
    """Answer to `Append` and `InstallSnapshot`.

    Attributes:
        term: Term of the replica.
        success: Whether the log matched at `previous_index`.
        index: Index of the last entry that matches the leader's log. If
            `success` is False, index of the entry after which to retry.
        sequence: Number of the message that this answers.
        disk: Disk id of the replica.
    """

    term: int
    success: bool
    index: int
    sequence: int
    disk: str


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="cs"):
    """Snapshot for a replica whose next entry is no longer in the log.

    Attributes:
        term: Term of the leader.
        sequence: Number of this message, echoed in the reply.
        snapshot: The snapshot.
    """

    term: int
    sequence: int
    snapshot: Snapshot


class DiskAnnouncement(msgspec.Struct, frozen=True, array_like=True, tag="ci"):
    """Announces a replica's disk to its peers and the initial voters.

    Attributes:
        disk: Disk id.
        is_blank: Whether the disk does not belong to a log yet.
    """

    disk: str
    is_blank: bool
