"""Runs a replica: stores, sends and applies what it has ready."""

import abc
import asyncio
import logging
import random
from collections.abc import Callable

from galenarill.consensus.journal import Journal, JournalContents
from galenarill.consensus.messages import Entry, Snapshot
from galenarill.consensus.replica import Ready, Replica, Role
from galenarill.errors import JournalError
from galenarill.world import VmId

__all__ = ["LogDriver", "StateMachine", "restore_replica"]

# Applied entries after which the log is replaced by a snapshot.
COMPACTION_THRESHOLD_ENTRIES = 1000

logger = logging.getLogger(__name__)


class StateMachine(abc.ABC):
    """State that is made from the committed entries, in their order."""

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
        """Replace the state by that of a snapshot."""


class LogDriver:
    """Drives one replica of the log.

    Everything that is proposed before the next turn of the loop shares one
    sync.
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
        """Make a driver.

        Args:
            replica: Replica, as restored from the journal.
            journal: Journal, or None without a disk.
            machine: State that entries are applied to.
            send: Sends a message to a peer.
            on_processed: Called with whether anything was applied, after
                each call of `process_ready`.
            clock: Steady clock in seconds.
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

    def tick(self) -> None:
        """Let time pass.

        Raises:
            JournalError: If the journal has failed. The process must end then,
                because what has reached the disk is unknown.
        """
        if self._failure is not None:
            raise self._failure
        self._replica.tick(self._clock())
        self.process_ready()

    def receive(self, sender: VmId, message) -> None:
        """Take in a message of the log from a peer."""
        self._replica.receive(sender, message, self._clock())
        self.schedule_processing()

    def propose(self, data: bytes) -> int:
        """Append a command, to be synced with others on the next turn.

        Returns:
            The index that it gets if it is committed in this term.

        Raises:
            NotLeaderError: If this replica does not lead.
        """
        index = self._replica.propose(data)
        self.schedule_processing()
        return index

    def schedule_processing(self) -> None:
        """Take a turn as soon as the loop is free."""
        if not self._is_processing_scheduled:
            self._is_processing_scheduled = True
            self._loop.call_soon(self.process_ready)

    def process_ready(self) -> None:
        """Store, send and apply what the replica has ready."""
        self._is_processing_scheduled = False
        if self._failure is not None:
            return
        replica = self._replica
        ready = replica.take_ready()
        try:
            self._write_log(ready)
        except JournalError as error:
            # Nothing of this turn is sent or applied; the next tick raises.
            logger.critical("journal failed", extra={"why": str(error)})
            self._failure = error
            return
        replica.mark_synced(replica.log.last_index, self._clock())
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
        if ready.needs_sync and replica.role is Role.LEADER:
            # What was just synced may now be committed.
            self.schedule_processing()

    def _write_log(self, ready: Ready) -> None:
        if self._journal is None or not ready.needs_sync:
            return
        if ready.snapshot is not None:
            self._install_snapshot(ready.snapshot)
        else:
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


def restore_replica(
    vm: VmId,
    peers: frozenset[VmId],
    initial_voters: frozenset[VmId],
    contents: JournalContents | None,
    now: float,
    **options,
) -> Replica:
    """Make a replica with what its journal holds.

    Args:
        vm: VM of the replica.
        peers: The other VMs.
        initial_voters: Voters that form a new log.
        contents: What the journal holds, or None without a disk.
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
            "unfinished write cut off the journal",
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
