"""Messages and log entries of the replicated log."""

import enum

import msgspec

from galenarill.world import VmId

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
    """What an entry of the log holds."""

    NOOP = 0
    COMMAND = 1
    CONFIGURATION = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    Attributes:
        index: Position from 1.
        term: Term of the leader that appended it.
        kind: What `data` is.
        data: Encoded command or configuration.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """Who votes.

    Attributes:
        voters: Disk id of each voter. A voter with another disk has lost its
            promises and does not count.
        learners: Disk id of each replica that catches up to become a voter.
    """

    voters: dict[VmId, str]
    learners: dict[VmId, str] = {}


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """What a replica must have synced before it answers.

    Attributes:
        term: Latest term that it knows.
        voted_for: Candidate that it voted for in `term`, or "".
    """

    term: int = 0
    voted_for: VmId | str = ""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State that replaces the log up to an index.

    Attributes:
        index: Last entry that it covers.
        term: Term of that entry.
        configuration: Configuration as of that entry.
        data: Encoded state machine.
    """

    index: int
    term: int
    configuration: Configuration
    data: bytes


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="cv"):
    """Asks for a vote, or whether one would be given.

    Attributes:
        term: Term that the candidate would lead.
        last_index: Last entry of the candidate's log.
        last_term: Term of that entry.
        is_pre_vote: Whether only to ask.
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
        term: Term of the voter, or the term asked for in a granted pre-vote.
        granted: Whether the vote is given.
        is_pre_vote: Whether it answers a pre-vote.
        disk: Disk id of the voter.
    """

    term: int
    granted: bool
    is_pre_vote: bool
    disk: str


class Append(msgspec.Struct, frozen=True, array_like=True, tag="ca"):
    """Entries from the leader; without entries, a heartbeat.

    Attributes:
        term: Term of the leader.
        previous_index: Index before the first entry.
        previous_term: Term of that entry.
        commit_index: Last committed entry.
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
        success: Whether the log matched.
        index: Last entry that matches the leader's log, or, without success,
            the entry after which to try again.
        sequence: Number of the message that is answered.
        disk: Disk id of the replica.
    """

    term: int
    success: bool
    index: int
    sequence: int
    disk: str


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="cs"):
    """A snapshot for a replica whose next entry is no longer in the log.

    Attributes:
        term: Term of the leader.
        sequence: Number of this message, echoed in the reply.
        snapshot: The snapshot.
    """

    term: int
    sequence: int
    snapshot: Snapshot


class DiskAnnouncement(msgspec.Struct, frozen=True, array_like=True, tag="ci"):
    """Tells the other configured voters which disk a replica has.

    Attributes:
        disk: Disk id.
        is_blank: Whether the disk belongs to no log yet.
    """

    disk: str
    is_blank: bool
