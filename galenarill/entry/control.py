"""The control path of one entry VM: replica, journal and fleet state."""

import asyncio
import logging
import pathlib
import random
import time
from collections.abc import Callable

from galenarill.consensus import (
    EntryKind,
    HardState,
    Journal,
    Ready,
    Replica,
    Role,
    open_journal,
)
from galenarill.consensus.messages import Snapshot
from galenarill.errors import (
    JournalError,
    NotLeaderError,
    ProtocolError,
)
from galenarill.settings import ProcessSettings
from galenarill.state import (
    Change,
    FleetState,
    Outcome,
    decode_change,
    encode_change,
)
from galenarill.state.messages import Propose, Proposed
from galenarill.world import ChangeId, OperatorId, VmId

__all__ = ["ControlPath", "open_control_path"]

# Applied entries after which the log is replaced by a snapshot.
SNAPSHOT_ENTRIES = 1000
PROPOSAL_SECONDS = 5.0
RETRY_SECONDS = 0.2

logger = logging.getLogger(__name__)


class ControlPath:
    """Drives the replica and applies what it commits.

    Everything that is proposed before the next turn of the loop shares one
    sync.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        replica: Replica,
        journal: Journal | None,
        state: FleetState,
        send: Callable,
        on_applied: Callable[[], None],
    ):
        """Wrap an opened replica; see `open_control_path`."""
        self._vm = VmId(settings.vm)
        self._replica = replica
        self._journal = journal
        self._state = state
        self._send = send
        self._on_applied = on_applied
        self._loop = asyncio.get_running_loop()
        self._is_pump_scheduled = False
        self._next_call = 0
        self._calls: dict[int, asyncio.Future] = {}
        # Who waits for the outcome of a change, by change id.
        self._waiters: dict[ChangeId, list[asyncio.Future]] = {}
        # Set, and replaced by a new one, whenever the state has changed.
        self._applied = asyncio.Event()
        self._failure: JournalError | None = None

    @property
    def state(self) -> FleetState:
        """The replicated state as applied here."""
        return self._state

    @property
    def replica(self) -> Replica:
        """The replica of the log."""
        return self._replica

    @property
    def is_leader(self) -> bool:
        """Whether this VM surely leads the log."""
        return self._replica.is_confirmed(self._loop.time())

    @property
    def is_current(self) -> bool:
        """Whether the state is as new as any that this VM may have had."""
        return self._replica.is_current()

    def tick(self) -> None:
        """Let time pass.

        Raises:
            JournalError: If the journal has failed. The process must end then,
                because what has reached the disk is unknown.
        """
        if self._failure is not None:
            raise self._failure
        self._replica.tick(self._loop.time())
        self.pump()

    def receive(self, sender: VmId, message) -> None:
        """Take in a message of the log from a peer."""
        self._replica.receive(sender, message, self._loop.time())
        self._schedule_pump()

    def receive_proposal(self, sender: VmId, message: Propose) -> None:
        """Append a change for a peer, and answer when it is applied."""
        try:
            change = decode_change(message.change)
        except ProtocolError as error:
            logger.error("proposal dropped", extra={"why": str(error)})
            return
        future = self._append(change)
        future.add_done_callback(
            lambda done: self._send(
                sender,
                Proposed(
                    message.call,
                    None if done.exception() else done.result(),
                ),
            )
        )

    def receive_outcome(self, message: Proposed) -> None:
        """Hand a leader's answer to who waits for it."""
        future = self._calls.pop(message.call, None)
        if future is None or future.done():
            return
        if message.outcome is None:
            future.set_exception(NotLeaderError("the leader has changed"))
        else:
            future.set_result(message.outcome)

    async def propose(
        self,
        command,
        operator: OperatorId,
        change_id: ChangeId,
        based_on: int = -1,
    ) -> Outcome:
        """Have a change committed and applied here.

        It is sent again to the next leader when an answer is lost; the change
        id keeps it from being applied twice.

        Args:
            command: What to change.
            operator: Who asks.
            change_id: Id of the change.
            based_on: Version that the asker had seen, or -1 for any.

        Returns:
            The outcome.

        Raises:
            NotLeaderError: If no leader answers in time. The change may still
                be committed later; asking again with the same id tells.
        """
        change = Change(change_id, operator, time.time(), based_on, command)
        deadline = self._loop.time() + PROPOSAL_SECONDS
        while self._loop.time() < deadline:
            try:
                async with asyncio.timeout_at(deadline):
                    outcome = await self._ask_leader(change)
                    await self._wait_applied(outcome.version)
                    return outcome
            except NotLeaderError:
                await asyncio.sleep(RETRY_SECONDS)
            except TimeoutError:
                break
        raise NotLeaderError("no leader of the replicated log answered")

    async def _ask_leader(self, change: Change) -> Outcome:
        leader = self._replica.leader
        if leader is None:
            raise NotLeaderError("no leader is known")
        if leader == self._vm:
            return await self._append(change)
        self._next_call += 1
        call = self._next_call
        future = self._loop.create_future()
        self._calls[call] = future
        try:
            if not self._send(leader, Propose(call, encode_change(change))):
                raise NotLeaderError(f"no link to the leader {leader}")
            async with asyncio.timeout(PROPOSAL_SECONDS / 3):
                return await future
        except TimeoutError as error:
            raise NotLeaderError(f"the leader {leader} is silent") from error
        finally:
            self._calls.pop(call, None)

    async def _wait_applied(self, version: int) -> None:
        while self._state.version < version:
            await self._applied.wait()

    def _append(self, change: Change) -> asyncio.Future:
        """Append `change` to the own log, unless it was applied before."""
        future = self._loop.create_future()
        # The exception is read through `Proposed` or by the awaiting caller.
        future.add_done_callback(lambda done: done.exception())
        earlier = self._state.outcome_of(change.change_id)
        if earlier is not None and self._replica.role is Role.LEADER:
            future.set_result(earlier)
            return future
        try:
            self._replica.propose(encode_change(change))
        except NotLeaderError as error:
            future.set_exception(error)
            return future
        self._waiters.setdefault(change.change_id, []).append(future)
        self._schedule_pump()
        return future

    def _schedule_pump(self) -> None:
        if not self._is_pump_scheduled:
            self._is_pump_scheduled = True
            self._loop.call_soon(self.pump)

    def pump(self) -> None:
        """Store, send and apply what the replica has ready."""
        self._is_pump_scheduled = False
        if self._failure is not None:
            return
        replica = self._replica
        ready = replica.take_ready()
        try:
            self._store(ready)
        except JournalError as error:
            # Nothing of this turn is sent or applied; the next tick raises.
            logger.critical("journal failed", extra={"why": str(error)})
            self._failure = error
            return
        replica.synced(replica.log.last_index, self._loop.time())
        for peer, message in ready.messages:
            self._send(peer, message)
        if ready.restore is not None:
            self._state = FleetState.decode(ready.restore.data)
            self._state.skip(ready.restore.index)
        for entry in ready.committed:
            self._apply(entry)
        if replica.role is not Role.LEADER and self._waiters:
            self._fail_waiters()
        if ready.restore is not None or ready.committed:
            self._compact()
            self._applied.set()
            self._applied = asyncio.Event()
            self._on_applied()
        if ready.needs_sync and replica.role is Role.LEADER:
            # What was just synced may now be committed.
            self._schedule_pump()

    def _store(self, ready: Ready) -> None:
        if self._journal is None or not ready.needs_sync:
            return
        if ready.snapshot is not None:
            self._install(ready.snapshot)
        else:
            self._journal.append(ready.hard_state, ready.entries)

    def _apply(self, entry) -> None:
        if entry.kind is not EntryKind.COMMAND:
            self._state.skip(entry.index)
            return
        change = decode_change(entry.data)
        outcome = self._state.apply(entry.index, change)
        logger.info(
            "change applied",
            extra={
                "version": entry.index,
                "operator": change.operator,
                "command": type(change.command).__name__,
                "outcome": outcome.code.value,
                "detail": outcome.detail,
            },
        )
        for future in self._waiters.pop(change.change_id, []):
            if not future.done():
                future.set_result(outcome)

    def _fail_waiters(self) -> None:
        waiters, self._waiters = self._waiters, {}
        for futures in waiters.values():
            for future in futures:
                if not future.done():
                    future.set_exception(NotLeaderError("lost the lead"))

    def _compact(self) -> None:
        log = self._replica.log
        if self._state.version - log.snapshot.index < SNAPSHOT_ENTRIES:
            return
        data = self._state.encode()
        self._install(self._replica.compact(self._state.version, data))

    def _install(self, snapshot: Snapshot) -> None:
        if self._journal is None:
            return
        replica = self._replica
        hard_state = replica.hard_state
        entries = replica.log.entries(
            snapshot.index + 1, replica.log.last_index - snapshot.index
        )
        self._journal.install(snapshot, hard_state, entries)


def open_control_path(
    settings: ProcessSettings, send: Callable, on_applied: Callable[[], None]
) -> ControlPath:
    """Open the journal, if this VM has a disk, and make the control path.

    Args:
        settings: Settings of this process.
        send: Sends a message to a peer and tells whether there is a link.
        on_applied: Called after the state has changed.

    Returns:
        The control path, with all that the disk holds.

    Raises:
        JournalError: If the disk cannot be used.
    """
    journal = None
    disk = ""
    hard_state, snapshot, entries = HardState(), None, []
    if settings.data_folder:
        journal, contents = open_journal(pathlib.Path(settings.data_folder))
        disk = contents.disk
        hard_state = contents.hard_state
        snapshot, entries = contents.snapshot, contents.entries
        if contents.torn_bytes:
            logger.warning(
                "unfinished write cut off the journal",
                extra={"bytes": contents.torn_bytes},
            )
    replica = Replica(
        VmId(settings.vm),
        frozenset(settings.zones) - {settings.vm},
        settings.voters,
        disk,
        random.Random(),
        asyncio.get_running_loop().time(),
        hard_state=hard_state,
        snapshot=snapshot,
        entries=entries,
    )
    state = FleetState.decode(snapshot.data if snapshot else b"")
    return ControlPath(settings, replica, journal, state, send, on_applied)
