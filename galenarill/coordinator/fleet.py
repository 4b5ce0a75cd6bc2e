"""The platform's machines as the leader knows them, and orders on them."""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from galenarill.errors import NotLeaderError
from galenarill.jobs import ClusterState, OrderUpkeep, PlaceMachine
from galenarill.pools import (
    Machine,
    MachineClient,
    MachineState,
    MachineVerdict,
)
from galenarill.world import MachineId, PoolId, steady_now, wall_now

__all__ = ["Fleet"]

logger = logging.getLogger(__name__)

# Beyond the time for which one holder alone may order a machine, in seconds.
TAKEOVER_MARGIN_SECONDS = 0.3
# Tokens of one term leave room for this many orders.
ORDERS_PER_TERM = 1 << 20
# Time for which a machine that was busy is left alone, in seconds.
BUSY_BACKOFF_SECONDS = 1.0
# Time after which a move that the list does not show is given up, in seconds:
# several times as long as the platform takes for one.
MOVE_TIMEOUT_SECONDS = 8.0
RETRY_SECONDS = 0.15


class Fleet:
    """Machines, and orders on them by one holder at a time.

    A new leader leaves a machine alone until the lease has ended that the
    latest order of another holder gave.

    Attributes:
        machines: Machines as last read.
        read_at: When they were read, on the steady clock.
        draining_since: When each machine began to drain for maintenance, in
            Unix seconds.
    """

    def __init__(
        self,
        term: int,
        state: ClusterState,
        client: MachineClient,
        propose: Callable[..., asyncio.Future],
        is_confirmed: Callable[[], bool],
        holder: str,
        lease_seconds: float,
    ):
        """Know of no machine yet.

        Args:
            term: Term of the leader.
            state: Replicated state.
            client: The platform's machine interface.
            propose: Proposes commands, and returns a future of their commit.
            is_confirmed: Tells whether this coordinator surely leads.
            holder: Name of this coordinator.
            lease_seconds: How long one holder alone may order a machine.
        """
        self.machines: dict[MachineId, Machine] = {}
        self.read_at = float("-inf")
        self.draining_since: dict[MachineId, float] = {}
        self._term = term
        self._state = state
        self._client = client
        self._propose = propose
        self._is_confirmed = is_confirmed
        self._holder = holder
        self._lease_seconds = lease_seconds + TAKEOVER_MARGIN_SECONDS
        self._created_at = steady_now()
        self._order_count = 0
        self._is_fenced = False
        self._busy_until: dict[MachineId, float] = {}
        # Where machines go until the list shows it, and when that is given up.
        self._moving: dict[MachineId, tuple[PoolId, float]] = {}
        # Machines with an order under way. A second one could overtake it, and
        # the first would be refused for its lower token.
        self._ordering: set[MachineId] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def may_order(self) -> bool:
        """Whether orders may be given at all."""
        return self._is_confirmed() and not self._is_fenced

    @property
    def is_changing(self) -> bool:
        """Whether an order is open or not yet shown by the list."""
        return bool(self._moving or self._tasks)

    def stop(self) -> None:
        """Cancel all that was spawned."""
        for task in self._tasks:
            task.cancel()

    def spawn(self, coroutine) -> None:
        """Run a coroutine until it ends or `stop` is called."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    async def read(self) -> None:
        """Read the list of machines.

        Raises:
            MachineListError: If it could not be read.
        """
        sent_at = steady_now()
        machines = await self._client.list()
        self.read_at = sent_at
        self.machines = {machine.id: machine for machine in machines}
        for machine_id, (pool, deadline) in list(self._moving.items()):
            machine = self.machines.get(machine_id)
            is_there = machine is not None and (
                machine.pool == pool and machine.state is MachineState.UP
            )
            if is_there or sent_at > deadline:
                del self._moving[machine_id]

    def pool_of(self, machine: Machine) -> PoolId:
        """Return the pool that a machine is in, or moves to."""
        pool, _ = self._moving.get(machine.id, (machine.pool, 0.0))
        return pool

    def is_moving(self, machine: MachineId) -> bool:
        """Tell whether a machine was ordered to move of late."""
        return machine in self._moving

    def is_orderable(self, machine: Machine) -> bool:
        """Tell whether a machine can be ordered now."""
        return (
            machine.state is MachineState.UP
            and self.has_no_foreign_lease(machine.id)
            and machine.id not in self._moving
            and machine.id not in self._ordering
            and not self.is_busy(machine.id)
        )

    def is_busy(self, machine: MachineId) -> bool:
        """Tell whether a machine has just refused an order."""
        return self._busy_until.get(machine, 0) > steady_now()

    def has_no_foreign_lease(self, machine: MachineId) -> bool:
        """Tell whether no other holder's lease on a machine is left."""
        order = self._state.orders.get(machine)
        return (
            order is None
            or order.holder == self._holder
            or wall_now() >= order.at + self._lease_seconds
            or steady_now() >= self._created_at + self._lease_seconds
        )

    def mark_moving(self, machine: MachineId, pool: PoolId) -> None:
        """Count a machine as on its way to a pool."""
        self._moving[machine] = (pool, steady_now() + MOVE_TIMEOUT_SECONDS)

    def unmark_moving(self, machine: MachineId) -> None:
        """Count a machine as where the list shows it."""
        self._moving.pop(machine, None)

    async def move(
        self, machine: MachineId, pool: PoolId
    ) -> tuple[MachineVerdict, bool]:
        """Order a move; see `_order` for what is returned."""
        return await self._order(
            machine,
            PlaceMachine(machine, pool, self._holder, 0.0),
            lambda token: self._client.move(machine, pool, self._holder, token),
        )

    async def maintain(
        self, machine: MachineId, wave: int
    ) -> tuple[MachineVerdict, bool]:
        """Order an upkeep; see `_order` for what is returned."""
        return await self._order(
            machine,
            OrderUpkeep(wave, machine, self._holder, 0.0),
            lambda token: self._client.maintain(
                machine, wave, self._holder, token
            ),
        )

    async def _order(
        self, machine: MachineId, intent: OrderUpkeep | PlaceMachine, call
    ) -> tuple[MachineVerdict, bool]:
        """Give an order, again while it has no answer.

        Args:
            machine: Machine.
            intent: Command that is committed before each try.
            call: Gives the order with a fencing token.

        Returns:
            What became of it, and whether that is the answer to the first
            try: the answer to a later one may be about the first, which was
            carried out before the machine's next worker began. A machine
            that has an order under way is busy.
        """
        if machine in self._ordering:
            return MachineVerdict.BUSY, False
        self._ordering.add(machine)
        try:
            return await self._try_order(machine, intent, call)
        finally:
            self._ordering.discard(machine)

    async def _try_order(
        self, machine: MachineId, intent: OrderUpkeep | PlaceMachine, call
    ) -> tuple[MachineVerdict, bool]:
        tries = 0
        while True:
            await self._propose(msgspec.structs.replace(intent, at=wall_now()))
            if not self.may_order:
                return MachineVerdict.BUSY, False
            tries += 1
            self._order_count += 1
            verdict = await call(
                self._term * ORDERS_PER_TERM + self._order_count
            )
            if verdict is MachineVerdict.FENCED:
                self._is_fenced = True
                logger.warning(
                    "fenced by another holder", extra={"machine": machine}
                )
            if verdict in (
                MachineVerdict.NO_ANSWER,
                MachineVerdict.THROTTLED,
            ):
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if verdict is not MachineVerdict.DONE:
                self._busy_until[machine] = steady_now() + BUSY_BACKOFF_SECONDS
            return verdict, tries == 1

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        if not isinstance(task.exception(), NotLeaderError):
            logger.error("order on a machine failed", exc_info=task.exception())
