"""The control plane of one entry VM: replica, journal and fleet state."""

import asyncio
import logging
import pathlib
import time
from collections.abc import Callable

from galenarill.common import ChangeId, OperatorId, VmId
from galenarill.consensus import (
    Entry,
    EntryKind,
    Journal,
    LogDriver,
    Replica,
    Role,
    StateMachine,
    open_journal,
    restore_replica,
)
from galenarill.errors import (
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

__all__ = ["ControlPlane", "open_control_plane"]

PROPOSAL_TIMEOUT_SECONDS = 5.0
RETRY_INTERVAL_SECONDS = 0.2

logger = logging.getLogger(__name__)


class ControlPlane(StateMachine):
    """Applies committed log entries, and proposes changes to the leader."""

    def __init__(
        self,
        settings: ProcessSettings,
        replica: Replica,
        journal: Journal | None,
        state: FleetState,
        send: Callable,
        on_applied: Callable[[], None],
    ):
        """Make a control plane from its parts; see `open_control_plane`."""
        self._vm = VmId(settings.vm)
        self._replica = replica
        self._state = state
        self._send = send
        self._on_applied = on_applied
        self._loop = asyncio.get_running_loop()
        self._driver = LogDriver(
            replica, journal, self, send, self._on_driver_turn, self._loop.time
        )
        self._last_call = 0
        self._forwarded_calls: dict[int, asyncio.Future] = {}
        # Futures of the outcome of each appended change.
        self._outcome_waiters: dict[ChangeId, list[asyncio.Future]] = {}
        # Set and replaced by a new event after each change of the state.
        self._applied = asyncio.Event()

    @property
    def state(self) -> FleetState:
        """The replicated state as applied on this VM."""
        return self._state

    @property
    def replica(self) -> Replica:
        """This VM's replica of the log."""
        return self._replica

    @property
    def is_leader(self) -> bool:
        """Whether this VM is confirmed as the only leader of the log."""
        return self._replica.has_leader_lease(self._loop.time())

    @property
    def is_caught_up(self) -> bool:
        """Whether everything that a confirmed leader had committed is applied.

        Until then, the state may be older than what an earlier process of this
        VM had applied.
        """
        return self._replica.is_caught_up()

    def tick(self) -> None:
        """Handle timeouts and periodic work.

        Raises:
            JournalError: If the journal has failed. The process must end then,
                because it is unknown which records have reached the disk.
        """
        self._driver.tick()

    def receive(self, sender: VmId, message) -> None:
        """Handle a consensus message from a peer."""
        self._driver.receive(sender, message)

    def receive_proposal(self, sender: VmId, message: Propose) -> None:
        """Append a change for a peer, and reply once it is applied."""
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
        """Resolve the forwarded proposal that a leader has replied to."""
        future = self._forwarded_calls.pop(message.call, None)
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
        """Propose a change, and wait until it is applied on this VM.

        If a reply is lost, the change is sent again to the current leader; the
        change id prevents it from being applied twice.

        Args:
            command: Command to apply.
            operator: Operator who proposes the change.
            change_id: Id of the change.
            based_on: Version that the change is based on, or -1 for any.

        Returns:
            The outcome.

        Raises:
            NotLeaderError: If no leader replies in time. The change may still
                be committed later; proposing it again with the same id returns
                its outcome.
        """
        change = Change(change_id, operator, time.time(), based_on, command)
        deadline = self._loop.time() + PROPOSAL_TIMEOUT_SECONDS
        while self._loop.time() < deadline:
            try:
                async with asyncio.timeout_at(deadline):
                    outcome = await self._propose_to_leader(change)
                    await self._wait_applied(outcome.version)
                    return outcome
            except NotLeaderError:
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            except TimeoutError:
                break
        raise NotLeaderError("no leader of the replicated log answered")

    async def _propose_to_leader(self, change: Change) -> Outcome:
        leader = self._replica.leader
        if leader is None:
            raise NotLeaderError("no leader is known")
        if leader == self._vm:
            return await self._append(change)
        self._last_call += 1
        call = self._last_call
        future = self._loop.create_future()
        self._forwarded_calls[call] = future
        try:
            if not self._send(leader, Propose(call, encode_change(change))):
                raise NotLeaderError(f"no link to the leader {leader}")
            async with asyncio.timeout(PROPOSAL_TIMEOUT_SECONDS / 3):
                return await future
        except TimeoutError as error:
            raise NotLeaderError(f"the leader {leader} is silent") from error
        finally:
            self._forwarded_calls.pop(call, None)

    async def _wait_applied(self, version: int) -> None:
        while self._state.version < version:
            await self._applied.wait()

    def _append(self, change: Change) -> asyncio.Future:
        """Append `change` to the local log, unless it was applied before."""
        future = self._loop.create_future()
        # Marks the exception as retrieved; `Proposed` or the awaiting caller
        # reports it.
        future.add_done_callback(lambda done: done.exception())
        earlier = self._state.outcome_of(change.change_id)
        if earlier is not None and self._replica.role is Role.LEADER:
            future.set_result(earlier)
            return future
        try:
            self._driver.propose(encode_change(change))
        except NotLeaderError as error:
            future.set_exception(error)
            return future
        self._outcome_waiters.setdefault(change.change_id, []).append(future)
        return future

    @property
    def version(self) -> int:
        """Version of the state as applied on this VM."""
        return self._state.version

    def encode(self) -> bytes:
        """Encode the state for a snapshot."""
        return self._state.encode()

    def restore(self, data: bytes, index: int) -> None:
        """Replace the state by the snapshot `data`, taken at `index`."""
        self._state = FleetState.decode(data)
        self._state.skip(index)

    def apply(self, entry: Entry) -> None:
        """Apply a committed entry, and resolve the futures of its outcome."""
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
        for future in self._outcome_waiters.pop(change.change_id, []):
            if not future.done():
                future.set_result(outcome)

    def _fail_outcome_waiters(self) -> None:
        waiters, self._outcome_waiters = self._outcome_waiters, {}
        for futures in waiters.values():
            for future in futures:
                if not future.done():
                    future.set_exception(NotLeaderError("lost the lead"))

    def _on_driver_turn(self, has_applied: bool) -> None:
        if self._replica.role is not Role.LEADER and self._outcome_waiters:
            self._fail_outcome_waiters()
        if has_applied:
            self._applied.set()
            self._applied = asyncio.Event()
            self._on_applied()


def open_control_plane(
    settings: ProcessSettings, send: Callable, on_applied: Callable[[], None]
) -> ControlPlane:
    """Open the journal, if a data folder is set, and make the control plane.

    Args:
        settings: Settings of this process.
        send: Sends a message to a peer, and returns whether there is a link.
        on_applied: Called after the state has changed.

    Returns:
        The control plane, with the state restored from the disk.

    Raises:
        JournalError: If the journal cannot be opened.
    """
    journal, contents = None, None
    if settings.data_folder:
        journal, contents = open_journal(pathlib.Path(settings.data_folder))
    replica = restore_replica(
        VmId(settings.vm),
        frozenset(settings.zones) - {settings.vm},
        settings.voters,
        contents,
        asyncio.get_running_loop().time(),
    )
    snapshot = contents and contents.snapshot
    state = FleetState.decode(snapshot.data if snapshot else b"")
    return ControlPlane(settings, replica, journal, state, send, on_applied)
