"""One replica of the replicated log, without I/O or a clock of its own."""

import dataclasses
import enum
import random

import cbor2
import msgspec

from galenarill.common import VmId
from galenarill.consensus import messages
from galenarill.consensus.log import ReplicaLog
from galenarill.consensus.messages import (
    Configuration,
    Entry,
    EntryKind,
    HardState,
    Snapshot,
)
from galenarill.errors import NotLeaderError

__all__ = [
    "Replica",
    "Role",
    "Ready",
    "ELECTION_TIMEOUT_SECONDS",
    "encode_configuration",
]

# Heartbeat period, as a fraction of the election timeout.
HEARTBEAT_FRACTION = 0.25
# Heartbeat period for replicas that are neither voters nor learners.
OBSERVER_HEARTBEAT_SECONDS = 1.0
# Minimum election timeout. Actual timeouts are drawn from the range between
# this and twice this.
ELECTION_TIMEOUT_SECONDS = 1.0
# Allowance for clock drift between VMs, as a fraction of the election timeout.
CLOCK_DRIFT_FRACTION = 0.1
MAX_APPEND_ENTRIES = 64
# A learner becomes a voter once it lags by at most this many entries.
PROMOTION_LAG_ENTRIES = 8
# Time without acknowledgements after which a voter may be replaced by a learner
# that has caught up.
VOTER_REPLACEMENT_SECONDS = 4.0
DISK_ANNOUNCEMENT_SECONDS = 0.5


class Role(enum.Enum):
    """Role of a replica in its term.

    A `BLANK` replica does not belong to a log yet.
    """

    BLANK = "blank"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(slots=True)
class Ready:
    """Work for the driver, in this order.

    Attributes:
        snapshot: Snapshot to store in place of the log, or None.
        hard_state: Hard state to store, or None.
        entries: Entries to store, replacing any at the same or later indexes.
        messages: Messages to send once the above is synced, or stored in
            memory if `may_defer_sync`.
        committed: Entries to apply then.
        restore: Snapshot to load into the state machine, or None.
        may_defer_sync: Whether `entries` may be synced later, before any later
            work that may not be deferred. Until then this replica does not
            count itself among those that hold them.
    """

    snapshot: Snapshot | None = None
    hard_state: HardState | None = None
    entries: list[Entry] = dataclasses.field(default_factory=list)
    messages: list[tuple[VmId, object]] = dataclasses.field(
        default_factory=list
    )
    committed: list[Entry] = dataclasses.field(default_factory=list)
    restore: Snapshot | None = None
    may_defer_sync: bool = False

    @property
    def needs_sync(self) -> bool:
        """Whether anything has to be written and synced."""
        return bool(self.snapshot or self.hard_state or self.entries)


@dataclasses.dataclass(slots=True)
class _Progress:
    next_index: int
    match_index: int = 0
    # Send times of unacknowledged messages, by sequence number.
    sent: dict[int, float] = dataclasses.field(default_factory=dict)
    # Send time of the latest message that was acknowledged.
    last_acknowledged_at: float = float("-inf")
    heartbeat_deadline: float = 0.0
    disk: str = ""


class Replica:
    """Leader election and log replication, after Raft.

    Pre-votes prevent a replica that was partitioned from disrupting the leader
    when it reconnects. The leader holds a lease while a majority has
    acknowledged messages sent within the election timeout, less an allowance
    for clock drift. Followers refuse votes for an election timeout after a
    message from the leader, so no second leader is elected during a lease. A
    leader without acknowledgements from a majority for two election timeouts
    steps down.

    A voter counts only with the disk that the configuration names. If it comes
    back with another disk, it is demoted to a learner, and promoted again once
    it has caught up.

    Blank replicas bootstrap a log only if every initial voter is blank.

    The driver passes in time and messages, takes a `Ready`, stores it, sends
    its messages, applies its entries and calls `mark_synced`. Proposals made
    between two calls of `take_ready` share one sync.

    References:
        Ongaro, Ousterhout. In Search of an Understandable Consensus Algorithm.
        USENIX ATC 2014. Ongaro. Consensus: Bridging Theory and Practice. 2014.
    """

    def __init__(
        self,
        vm: VmId,
        peers: frozenset[VmId],
        initial_voters: frozenset[VmId],
        disk: str,
        rng: random.Random,
        now: float,
        *,
        hard_state: HardState | None = None,
        snapshot: Snapshot | None = None,
        entries: list[Entry] | None = None,
        target_voters: int = 0,
        election_timeout_seconds: float = ELECTION_TIMEOUT_SECONDS,
    ):
        """Create a replica.

        Args:
            vm: VM of this replica.
            peers: The other entry VMs, voters or not.
            initial_voters: Voters that bootstrap a new log.
            disk: Id of this replica's disk, or "" if it has none.
            rng: Random source for election timeouts.
            now: Time in seconds.
            hard_state: Hard state on the disk.
            snapshot: Snapshot on the disk, or None if the disk is blank.
            entries: Entries on the disk after the snapshot.
            target_voters: Number of voters to keep by replacing unresponsive
                voters with replicas that have joined, or 0 for a fixed set of
                voters.
            election_timeout_seconds: Minimum election timeout, which must be
                the same on every replica.
        """
        self._election_timeout_seconds = election_timeout_seconds
        self._heartbeat_seconds = election_timeout_seconds * HEARTBEAT_FRACTION
        self._clock_drift_seconds = (
            election_timeout_seconds * CLOCK_DRIFT_FRACTION
        )
        self._vm = vm
        self._target_voters = target_voters
        self._peers = peers
        self._initial_voters = initial_voters
        self._disk = disk
        self._rng = rng
        self._hard_state = hard_state or HardState()
        self._is_blank = snapshot is None
        self._log = ReplicaLog(
            snapshot or Snapshot(0, 0, Configuration({}), b"")
        )
        self._log.append(entries or [])
        self._configurations = [(0, self._log.snapshot.configuration)]
        self._record_configurations(entries or [])
        self._commit_index = self._log.snapshot.index
        self._applied_index = self._log.snapshot.index
        self._synced_index = self._log.last_index
        self._role = Role.BLANK if self._is_blank else Role.FOLLOWER
        self._leader: VmId | None = None
        self._leader_heard_at = float("-inf")
        self._read_index = -1
        self._votes: set[VmId] = set()
        self._progress: dict[VmId, _Progress] = {}
        self._sequence = 0
        self._term_started_at = 0.0
        self._election_deadline = 0.0
        self._announcement_deadline = now
        self._blank_disks: dict[VmId, str] = {}
        self._ready = Ready()
        # Before a restart, this voter may have acknowledged a message that
        # extends the leader's lease.
        self._votes_refused_until = now + self._election_timeout_seconds
        self._reset_election_timer(now)

    @property
    def role(self) -> Role:
        """Role of this replica."""
        return self._role

    @property
    def term(self) -> int:
        """Latest known term."""
        return self._hard_state.term

    @property
    def hard_state(self) -> HardState:
        """Term and vote, which must be on disk before a reply."""
        return self._hard_state

    @property
    def leader(self) -> VmId | None:
        """Leader of the current term, if known."""
        return self._leader

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._commit_index

    @property
    def log(self) -> ReplicaLog:
        """Snapshot and the entries after it."""
        return self._log

    @property
    def disk(self) -> str:
        """Id of this replica's disk."""
        return self._disk

    @property
    def configuration(self) -> Configuration:
        """Latest configuration in the log, committed or not."""
        return self._configurations[-1][1]

    @property
    def is_voter(self) -> bool:
        """Whether the configuration lists this replica's disk as a voter."""
        voters = self.configuration.voters
        return bool(self._disk) and voters.get(self._vm) == self._disk

    @property
    def is_synced(self) -> bool:
        """Whether the whole log is on disk."""
        return self._synced_index == self._log.last_index

    def has_leader_lease(self, now: float) -> bool:
        """Return whether this replica leads and holds the leader lease.

        No other replica can be elected while it does.
        """
        if self._role is not Role.LEADER:
            return False
        limit = now - self._election_timeout_seconds + self._clock_drift_seconds
        return self._has_quorum(self._acknowledgement_times(), limit)

    def is_caught_up(self) -> bool:
        """Return whether this replica has applied the read index.

        The read index is the commit index of a leader that held its lease. It
        does not expire: a replica that loses contact with the leader keeps the
        last one, since versions only increase.
        """
        return 0 <= self._read_index <= self._applied_index

    def can_commit_without_own_disk(self, now: float) -> bool:
        """Return whether enough other voters answer to commit entries.

        The sync of this leader's own disk then delays no commit.
        """
        voters = self.configuration.voters
        limit = now - 2 * self._heartbeat_seconds
        answering = sum(
            vm in voters and vm != self._vm and at > limit
            for vm, at in self._acknowledgement_times().items()
        )
        return answering > len(voters) // 2

    def can_serve_reads(self, now: float) -> bool:
        """Return whether this leader can serve linearizable reads.

        It holds the leader lease and has applied an entry of its own term, so
        it has applied every entry that earlier leaders committed.
        """
        return self._log.term_at(
            self._applied_index
        ) == self.term and self.has_leader_lease(now)

    def is_leader_alive(self, now: float) -> bool:
        """Return whether a leader was active within two election timeouts.

        A leader returns whether it holds its own lease.
        """
        if self._role is Role.LEADER:
            return self.has_leader_lease(now)
        return now < self._leader_heard_at + 2 * self._election_timeout_seconds

    def add_peer(self, peer: VmId) -> None:
        """Add a replica that was not known at the start."""
        if peer in self._peers or peer == self._vm:
            return
        self._peers |= {peer}
        if self._role is Role.LEADER:
            self._progress[peer] = _Progress(self._log.last_index + 1)

    def tick(self, now: float) -> None:
        """Run the timers that are due at `now`."""
        if self._role is Role.LEADER:
            self._tick_leader(now)
            return
        if self._disk and now >= self._announcement_deadline:
            self._announcement_deadline = now + DISK_ANNOUNCEMENT_SECONDS
            if self._is_blank or not self.is_voter:
                self._announce_disk()
            if self._is_blank:
                self._bootstrap_if_all_blank()
        if self.is_voter and now >= self._election_deadline:
            self._start_election(now, is_pre_vote=True)

    def propose(self, data: bytes) -> int:
        """Append a command.

        Args:
            data: Encoded command.

        Returns:
            The index of the entry, valid if it is committed in this term.

        Raises:
            NotLeaderError: If this replica is not the leader.
        """
        if self._role is not Role.LEADER:
            raise NotLeaderError(f"{self._vm} does not lead the log")
        return self._append_as_leader(EntryKind.COMMAND, data)

    def mark_synced(self, index: int, now: float) -> None:
        """Record that the log up to `index` is on disk."""
        self._synced_index = max(
            self._synced_index, min(index, self._log.last_index)
        )
        if self._role is Role.LEADER:
            self._advance_commit(now)

    def compact(self, index: int, data: bytes) -> Snapshot:
        """Replace applied entries with a snapshot.

        Args:
            index: Index of the last entry that `data` includes.
            data: Encoded state machine.

        Returns:
            The snapshot, for the driver to store.
        """
        term = self._log.term_at(index)
        configuration = self._configuration_at(index)
        snapshot = Snapshot(index, term, configuration, data)
        self._log.compact(snapshot)
        later_configurations = [c for c in self._configurations if c[0] > index]
        self._configurations = [(index, configuration), *later_configurations]
        return snapshot

    def take_ready(self) -> Ready:
        """Return the work for the driver since the last call."""
        if self._role is Role.LEADER:
            self._send_new_entries()
        ready, self._ready = self._ready, Ready()
        if self._commit_index > self._applied_index:
            first = self._applied_index + 1
            count = self._commit_index - self._applied_index
            ready.committed = list(self._log.entries(first, count))
            self._applied_index = self._commit_index
        ready.may_defer_sync = (
            self._role is Role.LEADER
            and ready.snapshot is None
            and ready.hard_state is None
        )
        return ready

    def receive(self, sender: VmId, message, now: float) -> None:
        """Handle a message from `sender`."""
        match message:
            case messages.DiskAnnouncement():
                self._receive_disk_announcement(sender, message)
            case messages.VoteRequest():
                self._receive_vote_request(sender, message, now)
            case messages.VoteReply():
                self._receive_vote_reply(sender, message, now)
            case messages.Append():
                self._receive_append(sender, message, now)
            case messages.InstallSnapshot():
                self._receive_snapshot(sender, message, now)
            case messages.AppendReply():
                self._receive_append_reply(sender, message, now)

    def _send(self, peer: VmId, message) -> None:
        self._ready.messages.append((peer, message))

    def _set_hard_state(self, term: int, voted_for: VmId | str) -> None:
        state = HardState(term, voted_for)
        if state != self._hard_state:
            self._hard_state = state
            self._ready.hard_state = state

    def _reset_election_timer(self, now: float) -> None:
        wait = self._rng.uniform(
            self._election_timeout_seconds, 2 * self._election_timeout_seconds
        )
        self._election_deadline = now + wait

    def _has_quorum(self, times: dict[VmId, float], limit: float) -> bool:
        voters = self.configuration.voters
        count = sum(times.get(vm, float("-inf")) > limit for vm in voters)
        return count > len(voters) // 2

    def _acknowledgement_times(self) -> dict[VmId, float]:
        times = {
            vm: progress.last_acknowledged_at
            for vm, progress in self._progress.items()
            if progress.disk == self.configuration.voters.get(vm)
        }
        if self.is_voter:
            times[self._vm] = float("inf")
        return times

    def _record_configurations(self, entries: list[Entry]) -> None:
        for entry in entries:
            if entry.kind is EntryKind.CONFIGURATION:
                configuration = _decode_configuration(entry.data)
                self._configurations.append((entry.index, configuration))

    def _configuration_at(self, index: int) -> Configuration:
        return [c for i, c in self._configurations if i <= index][-1]

    def _become_follower(
        self, term: int, leader: VmId | None, now: float
    ) -> None:
        if term > self._hard_state.term:
            self._set_hard_state(term, "")
        if not self._is_blank:
            self._role = Role.FOLLOWER
        self._leader = leader
        self._progress = {}
        self._reset_election_timer(now)

    def _announce_disk(self) -> None:
        announcement = messages.DiskAnnouncement(self._disk, self._is_blank)
        for peer in sorted((self._initial_voters | self._peers) - {self._vm}):
            self._send(peer, announcement)

    def _receive_disk_announcement(
        self, sender: VmId, message: messages.DiskAnnouncement
    ) -> None:
        progress = self._progress.get(sender)
        if progress is not None:
            progress.disk = message.disk
            if message.is_blank:
                progress.match_index = 0
        if not self._is_blank or sender not in self._initial_voters:
            return
        if not message.is_blank:
            self._blank_disks.pop(sender, None)
            return
        self._blank_disks[sender] = message.disk
        self._bootstrap_if_all_blank()

    def _bootstrap_if_all_blank(self) -> None:
        """Bootstrap a log if every initial voter is known to be blank."""
        disks = {**self._blank_disks, self._vm: self._disk}
        if self._vm not in self._initial_voters or (
            not disks.keys() >= self._initial_voters
        ):
            return
        voters = {vm: disks[vm] for vm in sorted(self._initial_voters)}
        snapshot = Snapshot(0, 0, Configuration(voters), b"")
        self._announce_disk()
        self._is_blank = False
        self._role = Role.FOLLOWER
        self._log = ReplicaLog(snapshot)
        self._configurations = [(0, snapshot.configuration)]
        self._ready.snapshot = snapshot

    def _start_election(self, now: float, *, is_pre_vote: bool) -> None:
        """Request pre-votes, or votes once a majority has granted pre-votes."""
        self._reset_election_timer(now)
        self._role = Role.PRE_CANDIDATE if is_pre_vote else Role.CANDIDATE
        self._leader = None
        self._votes = {self._vm}
        if not is_pre_vote:
            self._set_hard_state(self.term + 1, self._vm)
        request = messages.VoteRequest(
            self.term + is_pre_vote,
            self._log.last_index,
            self._log.last_term,
            is_pre_vote,
            self._disk,
        )
        for peer in sorted(self.configuration.voters.keys() - {self._vm}):
            self._send(peer, request)
        self._count_votes(now, is_pre_vote=is_pre_vote)

    def _receive_vote_request(
        self, sender: VmId, message: messages.VoteRequest, now: float
    ) -> None:
        has_recent_leader = (
            now < self._leader_heard_at + self._election_timeout_seconds
        )
        if has_recent_leader or now < self._votes_refused_until:
            granted = False
        elif self._role is Role.LEADER and self.has_leader_lease(now):
            granted = False
        else:
            granted = self._can_grant_vote(sender, message)
            if message.term > self.term and not message.is_pre_vote:
                self._become_follower(message.term, None, now)
        if message.is_pre_vote:
            term = message.term if granted else self.term
            self._send(
                sender, messages.VoteReply(term, granted, True, self._disk)
            )
            return
        if granted:
            self._set_hard_state(self.term, sender)
            self._reset_election_timer(now)
        self._send(
            sender, messages.VoteReply(self.term, granted, False, self._disk)
        )

    def _can_grant_vote(
        self, sender: VmId, message: messages.VoteRequest
    ) -> bool:
        voters = self.configuration.voters
        if not self.is_voter or voters.get(sender) != message.disk:
            return False
        if message.term < self.term:
            return False
        if message.term == self.term and (
            message.is_pre_vote
            or self._hard_state.voted_for not in ("", sender)
        ):
            return False
        own_position = (self._log.last_term, self._log.last_index)
        return (message.last_term, message.last_index) >= own_position

    def _receive_vote_reply(
        self, sender: VmId, message: messages.VoteReply, now: float
    ) -> None:
        if self._role not in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            return
        if not message.granted:
            if message.term > self.term:
                self._become_follower(message.term, None, now)
            return
        if self.configuration.voters.get(sender) != message.disk:
            return
        # A pre-vote is for the next term, a vote for the current one.
        if message.term != self.term + message.is_pre_vote:
            return
        if message.is_pre_vote != (self._role is Role.PRE_CANDIDATE):
            return
        self._votes.add(sender)
        self._count_votes(now, is_pre_vote=message.is_pre_vote)

    def _count_votes(self, now: float, *, is_pre_vote: bool) -> None:
        voters = self.configuration.voters
        if len(self._votes & voters.keys()) <= len(voters) // 2:
            return
        if is_pre_vote:
            self._start_election(now, is_pre_vote=False)
        else:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self._role = Role.LEADER
        self._leader = self._vm
        self._term_started_at = now
        self._progress = {
            peer: _Progress(self._log.last_index + 1) for peer in self._peers
        }
        self._append_as_leader(EntryKind.NOOP, b"")

    def _append_as_leader(self, kind: EntryKind, data: bytes) -> int:
        entry = Entry(self._log.last_index + 1, self.term, kind, data)
        self._append_entries([entry])
        return entry.index

    def _append_entries(self, entries: list[Entry]) -> None:
        first = entries[0].index
        self._synced_index = min(self._synced_index, first - 1)
        self._configurations = [c for c in self._configurations if c[0] < first]
        self._log.append(entries)
        self._record_configurations(entries)
        pending = [e for e in self._ready.entries if e.index < first]
        self._ready.entries = pending + entries

    def _tick_leader(self, now: float) -> None:
        limit = now - 2 * self._election_timeout_seconds
        if (
            now > self._term_started_at + 2 * self._election_timeout_seconds
            and not (self._has_quorum(self._acknowledgement_times(), limit))
        ):
            self._become_follower(self.term, None, now)
            return
        if self._is_commit_current(now):
            self._read_index = self._commit_index
        for peer, progress in self._progress.items():
            if now < progress.heartbeat_deadline:
                continue
            is_member = (
                peer in self.configuration.voters
                or peer in self.configuration.learners
            )
            progress.heartbeat_deadline = now + (
                self._heartbeat_seconds
                if is_member
                else OBSERVER_HEARTBEAT_SECONDS
            )
            self._send_append(peer, progress, now)
        self._update_membership(now)

    def _send_new_entries(self) -> None:
        for peer, progress in self._progress.items():
            if progress.next_index <= self._log.last_index:
                self._send_append(peer, progress, None)

    def _send_append(
        self, peer: VmId, progress: _Progress, now: float | None
    ) -> None:
        """Send the entries from `next_index` on, or the snapshot.

        Args:
            peer: Receiver.
            progress: Its progress. `next_index` advances without waiting for
                the reply.
            now: Time in seconds, or None if the reply must not extend the
                leader's lease.
        """
        self._sequence += 1
        if now is not None:
            progress.sent[self._sequence] = now
            if len(progress.sent) > 64:
                del progress.sent[next(iter(progress.sent))]
        previous = progress.next_index - 1
        previous_term = self._log.term_at(previous)
        if previous_term is None:
            if now is None:
                # Snapshots are sent with heartbeats only, which limits how
                # often they are resent.
                return
            self._send(
                peer,
                messages.InstallSnapshot(
                    self.term, self._sequence, self._log.snapshot
                ),
            )
            return
        entries = self._log.entries(progress.next_index, MAX_APPEND_ENTRIES)
        progress.next_index += len(entries)
        self._send(
            peer,
            messages.Append(
                self.term,
                previous,
                previous_term,
                self._commit_index,
                self._sequence,
                now is not None and self._is_commit_current(now),
                entries,
            ),
        )

    def _is_commit_current(self, now: float) -> bool:
        """Return whether no leader has committed more than this one.

        The leader must hold its lease and have committed an entry of its term.
        """
        is_own_term = self._log.term_at(self._commit_index) == self.term
        return is_own_term and self.has_leader_lease(now)

    def _accept_leader(self, sender: VmId, term: int, now: float) -> bool:
        if term < self.term:
            return False
        if term > self.term or self._role is not Role.FOLLOWER:
            self._become_follower(term, sender, now)
        self._leader = sender
        self._leader_heard_at = now
        self._reset_election_timer(now)
        return True

    def _receive_append(
        self, sender: VmId, message: messages.Append, now: float
    ) -> None:
        if not self._accept_leader(sender, message.term, now):
            self._reply_to_leader(sender, message.sequence, False, 0)
            return
        previous = message.previous_index
        if self._is_blank or (
            previous > self._log.snapshot.index
            and self._log.term_at(previous) != message.previous_term
        ):
            # -1 requests a snapshot, which includes the configuration.
            retry_after = (
                -1 if self._is_blank else min(previous - 1, self._commit_index)
            )
            self._reply_to_leader(sender, message.sequence, False, retry_after)
            return
        new = [e for e in message.entries if e.index > self._log.snapshot.index]
        for position, entry in enumerate(new):
            if self._log.term_at(entry.index) != entry.term:
                self._append_entries(new[position:])
                break
        match_index = previous + len(message.entries)
        self._commit_index = max(
            self._commit_index, min(message.commit_index, match_index)
        )
        if message.is_commit_current:
            self._read_index = message.commit_index
        self._reply_to_leader(sender, message.sequence, True, match_index)

    def _receive_snapshot(
        self, sender: VmId, message: messages.InstallSnapshot, now: float
    ) -> None:
        if not self._accept_leader(sender, message.term, now):
            self._reply_to_leader(sender, message.sequence, False, 0)
            return
        snapshot = message.snapshot
        if self._is_blank or snapshot.index > self._commit_index:
            self._is_blank = False
            self._role = Role.FOLLOWER
            self._log.compact(snapshot)
            later_configurations = [
                c for c in self._configurations if c[0] > snapshot.index
            ]
            self._configurations = [
                (snapshot.index, snapshot.configuration),
                *later_configurations,
            ]
            self._commit_index = self._applied_index = snapshot.index
            self._synced_index = self._log.last_index
            self._ready.snapshot = snapshot
            self._ready.restore = snapshot
            self._ready.entries = []
        self._reply_to_leader(sender, message.sequence, True, snapshot.index)

    def _reply_to_leader(
        self, leader: VmId, sequence: int, success: bool, index: int
    ) -> None:
        self._send(
            leader,
            messages.AppendReply(
                self.term, success, index, sequence, self._disk
            ),
        )

    def _receive_append_reply(
        self, sender: VmId, message: messages.AppendReply, now: float
    ) -> None:
        if message.term > self.term:
            self._become_follower(message.term, None, now)
            return
        progress = self._progress.get(sender)
        if progress is None or message.term < self.term:
            return
        progress.disk = message.disk
        sent_at = progress.sent.pop(message.sequence, None)
        if sent_at is not None:
            progress.last_acknowledged_at = max(
                progress.last_acknowledged_at, sent_at
            )
        if message.success:
            progress.match_index = max(progress.match_index, message.index)
            progress.next_index = max(
                progress.next_index, progress.match_index + 1
            )
            self._advance_commit(now)
        else:
            progress.next_index = message.index + 1
            if message.index < progress.match_index:
                # The replica has lost entries that it had acknowledged.
                progress.match_index = message.index
        if progress.match_index < self._log.last_index:
            progress.heartbeat_deadline = min(
                progress.heartbeat_deadline, now + self._heartbeat_seconds
            )

    def _advance_commit(self, now: float) -> None:
        voters = self.configuration.voters
        matches = []
        for vm, disk in voters.items():
            if vm == self._vm:
                matches.append(self._synced_index if self.is_voter else 0)
                continue
            progress = self._progress.get(vm)
            if progress is not None and progress.disk == disk:
                matches.append(progress.match_index)
            else:
                matches.append(0)
        matches.sort(reverse=True)
        candidate = matches[len(voters) // 2]
        if candidate <= self._commit_index:
            return
        # Entries of earlier terms are committed only through a later entry of
        # the current term.
        if self._log.term_at(candidate) == self.term:
            self._commit_index = candidate
            for progress in self._progress.values():
                progress.heartbeat_deadline = min(
                    progress.heartbeat_deadline, now
                )

    def _update_membership(self, now: float) -> None:
        """Propose the next membership change, if one is due.

        A change adds a learner, demotes a voter whose disk has changed,
        removes an unresponsive voter or promotes a learner that has caught up.
        """
        index, configuration = self._configurations[-1]
        if index > self._commit_index or not self._is_commit_current(now):
            return
        voters = dict(configuration.voters)
        learners = dict(configuration.learners)
        for vm, progress in self._progress.items():
            if not progress.disk:
                continue
            if vm in voters and voters[vm] != progress.disk:
                del voters[vm]
                learners[vm] = progress.disk
                break
            if vm in voters:
                continue
            if learners.get(vm) != progress.disk:
                if vm in learners or self._target_voters:
                    learners[vm] = progress.disk
                    break
                continue
            if not self._has_caught_up(progress):
                continue
            if self._target_voters and len(voters) >= self._target_voters:
                if unresponsive := self._find_unresponsive_voter(now):
                    del voters[unresponsive]
                    break
                continue
            voters[vm] = learners.pop(vm)
            break
        new_configuration = Configuration(voters, learners)
        if new_configuration != configuration:
            self._append_as_leader(
                EntryKind.CONFIGURATION, encode_configuration(new_configuration)
            )

    def _has_caught_up(self, progress: _Progress) -> bool:
        lag = self._log.last_index - progress.match_index
        return bool(progress.match_index) and lag <= PROMOTION_LAG_ENTRIES

    def _find_unresponsive_voter(self, now: float) -> VmId | None:
        """Return a voter without recent acknowledgements, or None."""
        limit = now - VOTER_REPLACEMENT_SECONDS
        if self._term_started_at > limit:
            return None
        for vm in sorted(self.configuration.voters):
            progress = self._progress.get(vm)
            if vm == self._vm:
                continue
            if progress is None or progress.last_acknowledged_at < limit:
                return vm
        return None


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode `configuration` as the data of a log entry."""
    return cbor2.dumps(msgspec.to_builtins(configuration))


def _decode_configuration(data: bytes) -> Configuration:
    return msgspec.convert(cbor2.loads(data), Configuration)
