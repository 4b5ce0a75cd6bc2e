"""Driver of a replica: stores, sends and applies its output."""

import abc
import asyncio
import logging
import random
from collections.abc import Callable

from galenarill.common import VmId
from galenarill.consensus.journal import Journal, JournalContents
from galenarill.consensus.messages import Entry, Snapshot
from galenarill.consensus.replica import Ready, Replica, Role
from galenarill.errors import JournalError

__all__ = ["LogDriver", "StateMachine", "restore_replica"]

# Entries applied since the last snapshot after which a new one is taken.
COMPACTION_THRESHOLD_ENTRIES = 1000
# Time that a leader collects entries for a sync of its own disk while others
# commit them without it, in seconds. The sync holds up the event loop.
DEFERRED_SYNC_SECONDS = 0.1

logger = logging.getLogger(__name__)


class StateMachine(abc.ABC):
    """State machine to which committed entries are applied in order."""

    @property
    @abc.abstractmethod
    def version(self) -> int:
        """Index of the last entry applied."""

    @abc.abstractmethod
    def apply(self, entry: Entry) -> None:
        """Apply a committed entry of any kind."""

    @abc.abstractmethod
    def encode(self) -> bytes:
        """Encode the state for a snapshot."""

    @abc.abstractmethod
    def restore(self, data: bytes, index: int) -> None:
        """Replace the state with that of a snapshot."""


class LogDriver:
    """Connects a replica to its journal, its peers and its state machine.

    Proposals made in the same iteration of the event loop share one sync. A
    leader writes its own copy later while a majority without it answers.
    """

    def __init__(
        self,
        replica: Replica,
        journal: Journal | None,
        machine: StateMachine,
        send: Callable[[VmId, object], bool],
        on_processed: Callable[[bool], None],
        clock: Callable[[], float],
    ):
        """Create a driver.

        Args:
            replica: Replica, as restored from the journal.
            journal: Journal, or None for a replica without a disk.
            machine: State machine to which entries are applied.
            send: Sends a message to a peer.
            on_processed: Called with whether anything was applied, after
                each call of `process_ready`.
            clock: Monotonic clock in seconds.
        """
        self._replica = replica
        self._journal = journal
        self._state_machine = machine
        self._send = send
        self._on_processed = on_processed
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._is_processing_scheduled = False
        self._failure: JournalError | None = None
        # Entries in the replica's log that are not written yet.
        self._deferred: list[Entry] = []
        self._deferred_timer: asyncio.TimerHandle | None = None

    def tick(self) -> None:
        """Run the replica's timers, then process its output.

        Raises:
            JournalError: If a write to the journal has failed. The process
                must exit, because it is unknown what has reached the disk.
        """
        if self._failure is not None:
            raise self._failure
        self._replica.tick(self._clock())
        self.process_ready()

    def receive(self, sender: VmId, message) -> None:
        """Pass a message from a peer to the replica."""
        self._replica.receive(sender, message, self._clock())
        self.schedule_processing()

    def propose(self, data: bytes) -> int:
        """Append a command, to be synced in the next processing run.

        Returns:
            The index of the entry, valid if it is committed in this term.

        Raises:
            NotLeaderError: If this replica is not the leader.
        """
        index = self._replica.propose(data)
        self.schedule_processing()
        return index

    def schedule_processing(self) -> None:
        """Schedule `process_ready` for the next iteration of the event loop."""
        if not self._is_processing_scheduled:
            self._is_processing_scheduled = True
            self._loop.call_soon(self.process_ready)

    def process_ready(self) -> None:
        """Store, send and apply what the replica has produced."""
        self._is_processing_scheduled = False
        if self._failure is not None:
            return
        replica = self._replica
        ready = replica.take_ready()
        is_deferred = (
            self._journal is not None
            and ready.may_defer_sync
            and replica.can_commit_without_own_disk(self._clock())
        )
        if is_deferred:
            self._defer(ready.entries)
        elif self._write_log(ready):
            replica.mark_synced(replica.log.last_index, self._clock())
        else:
            return
        for peer, message in ready.messages:
            self._send(peer, message)
        if ready.restore is not None:
            self._state_machine.restore(ready.restore.data, ready.restore.index)
        for entry in ready.committed:
            self._state_machine.apply(entry)
        has_applied_entries = bool(ready.restore is not None or ready.committed)
        if has_applied_entries:
            self._compact()
        self._on_processed(has_applied_entries)
        if ready.needs_sync and not is_deferred and replica.role is Role.LEADER:
            # `mark_synced` may have committed the entries just written.
            self.schedule_processing()

    def _defer(self, entries: list[Entry]) -> None:
        """Write entries later, together with others."""
        self._deferred += entries
        if self._deferred and self._deferred_timer is None:
            self._deferred_timer = self._loop.call_later(
                DEFERRED_SYNC_SECONDS, self._write_deferred
            )

    def _write_deferred(self) -> None:
        self._deferred_timer = None
        if not self._deferred or self._failure is not None:
            return
        last = self._deferred[-1]
        if self._write_log(Ready()) and (
            # Entries of another leader may have replaced it in the log.
            self._replica.log.term_at(last.index) == last.term
        ):
            self._replica.mark_synced(last.index, self._clock())
            self.schedule_processing()

    def _write_log(self, ready: Ready) -> bool:
        """Write and sync the log, with the entries deferred before.

        Returns:
            Whether it is written. Otherwise nothing may be sent or applied any
            more, and the next tick raises.
        """
        try:
            if self._journal is not None:
                self._write_journal(ready)
        except JournalError as error:
            logger.critical("journal failed", extra={"why": str(error)})
            self._failure = error
            return False
        return True

    def _write_journal(self, ready: Ready) -> None:
        if ready.snapshot is not None:
            self._install_snapshot(ready.snapshot)
            return
        if self._deferred:
            # A record of its own: later entries may replace some of these.
            self._journal.append(None, self._deferred)
            self._deferred = []
        if ready.needs_sync:
            self._journal.append(ready.hard_state, ready.entries)

    def _compact(self) -> None:
        version = self._state_machine.version
        if (
            version - self._replica.log.snapshot.index
            < COMPACTION_THRESHOLD_ENTRIES
        ):
            return
        self._install_snapshot(
            self._replica.compact(version, self._state_machine.encode())
        )

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        if self._journal is None:
            return
        log = self._replica.log
        entries = log.entries(
            snapshot.index + 1, log.last_index - snapshot.index
        )
        self._journal.install(snapshot, self._replica.hard_state, entries)
        self._deferred = []


def restore_replica(
    vm: VmId,
    peers: frozenset[VmId],
    initial_voters: frozenset[VmId],
    contents: JournalContents | None,
    now: float,
    **options,
) -> Replica:
    """Create a replica from the contents of its journal.

    Args:
        vm: VM of the replica.
        peers: The other VMs.
        initial_voters: Voters that bootstrap a new log.
        contents: Contents of the journal, or None for a replica without a
            disk.
        now: Time in seconds.
        **options: Passed on to `Replica`.

    Returns:
        The replica.
    """
    if contents is None:
        return Replica(
            vm, peers, initial_voters, "", random.Random(), now, **options
        )
    if contents.torn_bytes:
        logger.warning(
            "incomplete last record truncated from journal",
            extra={"bytes": contents.torn_bytes},
        )
    return Replica(
        vm,
        peers,
        initial_voters,
        contents.disk,
        random.Random(),
        now,
        hard_state=contents.hard_state,
        snapshot=contents.snapshot,
        entries=contents.entries,
        **options,
    )
