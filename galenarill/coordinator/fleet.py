"""The leader's view of the platform's machines, and orders on them."""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from galenarill.common import MachineId, PoolId, monotonic_now, wall_now
from galenarill.coordinator.disruptions import MachineOrders
from galenarill.coordinator.guards import OrderGuard
from galenarill.errors import NotLeaderError
from galenarill.jobs import ClusterState, MoveMachine, OrderMaintenance
from galenarill.pools import (
    Machine,
    MachineClient,
    MachineState,
    MachineVerdict,
)
from galenarill.telemetry import meter
from galenarill.workers import MAX_ORDER_DELAY_SECONDS

__all__ = ["Fleet"]

logger = logging.getLogger(__name__)

_ATTEMPTS = meter().create_counter("galenarill_machine_orders")
_DEFERRED = meter().create_counter("galenarill_machine_orders_deferred")

# Extra wait after the lease of another holder on a machine, in seconds.
TAKEOVER_MARGIN_SECONDS = 0.3
# Number of fencing tokens reserved for the orders of one term.
ORDERS_PER_TERM = 1 << 20
# Time without orders to a machine that refused one, in seconds.
BUSY_BACKOFF_SECONDS = 1.0
# Time after which a move that the machine list doesn't show is given up, in
# seconds. Several times the duration of a move on the platform.
MOVE_TIMEOUT_SECONDS = 8.0
RETRY_SECONDS = 0.15


class Fleet(MachineOrders):
    """Machines, and orders on them by one holder at a time.

    An order grants its holder a lease on the machine. A new leader gives no
    order on a machine before the lease of another holder has expired.

    Attributes:
        machines: Machines as last read from the platform, by id.
        read_at: When that request was sent, on the monotonic clock.
        cordoned_since: When each machine was cordoned for maintenance, in Unix
            seconds. A cordoned machine gets no new tasks.
    """

    def __init__(
        self,
        term: int,
        state: ClusterState,
        client: MachineClient,
        propose: Callable[..., asyncio.Future],
        has_leader_lease: Callable[[], bool],
        holder: str,
        lease_seconds: float,
    ):
        """Create a fleet whose machines are not read yet.

        Args:
            term: Term of the leader, the upper part of each fencing token.
            state: Replicated state.
            client: Client of the platform's machine interface.
            propose: Proposes commands, and returns a future of their commit.
            has_leader_lease: Returns whether leadership is confirmed.
            holder: Name of this coordinator.
            lease_seconds: Duration of a holder's exclusive lease on a machine.
        """
        self.machines: dict[MachineId, Machine] = {}
        self.read_at = float("-inf")
        self.cordoned_since: dict[MachineId, float] = {}
        self._term = term
        self._state = state
        self._client = client
        self._propose = propose
        self._has_leader_lease = has_leader_lease
        self._holder = holder
        self._lease_seconds = lease_seconds + TAKEOVER_MARGIN_SECONDS
        self._created_at = monotonic_now()
        self._order_count = 0
        self._is_fenced = False
        # Listed machines whose entry could not be read.
        self._unreadable: frozenset[MachineId] = frozenset()
        self._is_list_complete = False
        self._busy_until: dict[MachineId, float] = {}
        # Target pool and deadline of moves that the list does not show yet.
        self._moving: dict[MachineId, tuple[PoolId, float]] = {}
        # Machines with an order in flight. A second order could overtake it,
        # and the first would be refused for its lower fencing token.
        self._ordering: set[MachineId] = set()
        # Until when an attempt of this fleet's latest order on each machine may
        # still be carried out, on the monotonic clock.
        self._unsettled_until: dict[MachineId, float] = {}
        # The latest of these times, and of those of earlier terms.
        self._all_settled_at = self._created_at + MAX_ORDER_DELAY_SECONDS
        self._tasks: set[asyncio.Task] = set()

    @property
    def may_order(self) -> bool:
        """Whether this holder leads and has not been fenced."""
        return self._has_leader_lease() and not self._is_fenced

    @property
    def is_changing(self) -> bool:
        """Whether an order is in flight or not yet shown by the list."""
        return bool(self._moving or self._tasks)

    def stop(self) -> None:
        """Cancel all spawned coroutines."""
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
        sent_at = monotonic_now()
        listed = await self._client.list()
        self.read_at = sent_at
        self._unreadable = listed.unreadable
        self._is_list_complete = listed.is_complete
        kept = {
            machine_id: machine
            for machine_id, machine in self.machines.items()
            if not listed.is_complete or machine_id in listed.unreadable
        }
        self.machines = kept | {
            machine.id: machine for machine in listed.machines
        }
        for machine_id, (pool, deadline) in list(self._moving.items()):
            if self._is_shown(machine_id, pool) or sent_at > deadline:
                del self._moving[machine_id]

    def _is_shown(self, machine_id: MachineId, pool: PoolId) -> bool:
        """Return whether the list shows a machine as moved to a pool."""
        machine = self.machines.get(machine_id)
        return machine is not None and (
            machine.pool == pool and machine.state is MachineState.UP
        )

    def is_gone(self, machine: MachineId) -> bool:
        """Return whether the list shows that a machine no longer exists."""
        return (
            self._is_list_complete
            and machine not in self.machines
            and machine not in self._unreadable
        )

    def pool_of(self, machine: Machine) -> PoolId:
        """Return the pool that a machine is in or is moving to."""
        pool, _ = self._moving.get(machine.id, (machine.pool, 0.0))
        return pool

    def is_moving(self, machine: MachineId) -> bool:
        """Return whether a machine has a move that the list does not show."""
        return machine in self._moving

    def is_orderable(self, machine: Machine) -> bool:
        """Return whether an order on a machine can be given now."""
        return machine.state is MachineState.UP and self.may_repeat_order(
            machine.id
        )

    def may_repeat_order(self, machine: MachineId) -> bool:
        """Return whether an earlier order on a machine can be repeated now."""
        return (
            self.has_no_foreign_lease(machine)
            and machine not in self._moving
            and machine not in self._ordering
            and not self.is_busy(machine)
        )

    def is_busy(self, machine: MachineId) -> bool:
        """Return whether a machine is in backoff after a refused order."""
        return self._busy_until.get(machine, 0) > monotonic_now()

    def has_no_foreign_lease(self, machine: MachineId) -> bool:
        """Return whether no other holder has a lease on a machine."""
        order = self._state.orders.get(machine)
        return (
            order is None
            or order.holder == self._holder
            or wall_now() >= order.at + self._lease_seconds
            or monotonic_now() >= self._created_at + self._lease_seconds
        )

    def unsettled_until(self, machine: MachineId, began_at: float) -> float:
        """Return until when an order on a machine may still be carried out.

        An order of an earlier term is taken as settled when its holder's lease
        ends, if the list or a later start of the worker shows that it was
        carried out. Otherwise it may be late.

        Args:
            machine: Machine.
            began_at: Start of its current worker, Unix seconds.

        Returns:
            Time on the monotonic clock: infinity while an order is in flight,
            negative infinity if no order is known.
        """
        if machine in self._ordering:
            return float("inf")
        if machine in self._unsettled_until:
            return self._unsettled_until[machine]
        order = self._state.orders.get(machine)
        if order is None:
            return float("-inf")
        was_carried_out = began_at > order.at or (
            order.pool is not None and self._is_shown(machine, order.pool)
        )
        seconds = (
            self._lease_seconds if was_carried_out else MAX_ORDER_DELAY_SECONDS
        )
        return min(
            monotonic_now() + order.at + seconds - wall_now(),
            self._created_at + seconds,
        )

    def has_unsettled(self) -> bool:
        """Return whether any order that isn't in flight may be unsettled."""
        return monotonic_now() < self._all_settled_at

    def mark_moving(self, machine: MachineId, pool: PoolId) -> None:
        """Record that a machine is moving to a pool."""
        self._moving[machine] = (pool, monotonic_now() + MOVE_TIMEOUT_SECONDS)

    def unmark_moving(self, machine: MachineId) -> None:
        """Drop the record of a move; the list shows the machine's pool."""
        self._moving.pop(machine, None)

    async def move(
        self,
        machine: MachineId,
        pool: PoolId,
        guard: OrderGuard,
    ) -> tuple[MachineVerdict, bool]:
        """Order a move; arguments and result are those of `_order`."""
        return await self._order(
            machine,
            MoveMachine(machine, pool, self._holder, 0.0),
            lambda token: self._client.move(machine, pool, self._holder, token),
            guard,
        )

    async def maintain(
        self,
        machine: MachineId,
        wave: int,
        guard: OrderGuard,
    ) -> tuple[MachineVerdict, bool]:
        """Order maintenance; arguments and result are those of `_order`."""
        return await self._order(
            machine,
            OrderMaintenance(wave, machine, self._holder, 0.0),
            lambda token: self._client.maintain(
                machine, wave, self._holder, token
            ),
            guard,
        )

    async def _order(
        self,
        machine: MachineId,
        intent: OrderMaintenance | MoveMachine,
        call,
        guard: OrderGuard,
    ) -> tuple[MachineVerdict, bool]:
        """Give an order, and retry it while it has no answer.

        Args:
            machine: Id of the machine.
            intent: Command that is committed before each attempt.
            call: Sends the order with the given fencing token.
            guard: Decides right before each attempt whether to send it.

        Returns:
            The verdict, and whether it surely is about this attempt. The
            answer to a later attempt, or after an unsettled order, may be about
            an earlier one, which was carried out before the machine's next
            worker started. The verdict is BUSY
            if the machine already has an order in flight, and DEFERRED if
            the guard doesn't allow it.
        """
        if machine in self._ordering:
            return MachineVerdict.BUSY, False
        # The intent replaces the record of an earlier term's order.
        self._unsettled_until[machine] = self.unsettled_until(
            machine, guard.worker_began_at()
        )
        self._ordering.add(machine)
        try:
            return await self._try_order(machine, intent, call, guard)
        finally:
            self._ordering.discard(machine)

    async def _try_order(
        self,
        machine: MachineId,
        intent: OrderMaintenance | MoveMachine,
        call,
        guard: OrderGuard,
    ) -> tuple[MachineVerdict, bool]:
        planned_at = monotonic_now()
        # The answer to any attempt may be about an earlier, unsettled order.
        was_settled = self._unsettled_until[machine] <= planned_at
        tries = 0
        while True:
            if (
                tries
                and not guard.allows()
                and monotonic_now() < self._unsettled_until[machine]
            ):
                # Reserved for the order: an attempt may still be carried out.
                await asyncio.sleep(RETRY_SECONDS)
                continue
            await self._propose(msgspec.structs.replace(intent, at=wall_now()))
            if not self.may_order:
                return MachineVerdict.BUSY, False
            if not guard.allows():
                if tries and monotonic_now() < self._unsettled_until[machine]:
                    continue
                self._log_deferred(machine, tries, guard)
                return MachineVerdict.DEFERRED, False
            tries += 1
            self._order_count += 1
            self._log_attempt(machine, tries, planned_at, guard)
            verdict = await call(
                self._term * ORDERS_PER_TERM + self._order_count
            )
            if verdict is MachineVerdict.FENCED:
                self._is_fenced = True
                logger.warning(
                    "fenced by another holder", extra={"machine": machine}
                )
            if verdict is MachineVerdict.NO_ANSWER:
                self._all_settled_at = monotonic_now() + MAX_ORDER_DELAY_SECONDS
                self._unsettled_until[machine] = self._all_settled_at
            if verdict in (
                MachineVerdict.NO_ANSWER,
                MachineVerdict.RATE_LIMITED,
            ):
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if verdict is MachineVerdict.DONE:
                # Attempts before this one are refused from now on.
                self._unsettled_until[machine] = monotonic_now()
            else:
                self._unsettled_until[machine] = max(
                    self._unsettled_until[machine], monotonic_now()
                )
                self._busy_until[machine] = (
                    monotonic_now() + BUSY_BACKOFF_SECONDS
                )
            return verdict, tries == 1 and was_settled

    def _log_attempt(
        self,
        machine: MachineId,
        attempt: int,
        planned_at: float,
        guard: OrderGuard,
    ) -> None:
        disrupted = guard.describe_disrupted()
        _ATTEMPTS.add(1, {"disrupts": bool(disrupted)})
        logger.info(
            "machine order sent",
            extra={
                "machine": machine,
                "attempt": attempt,
                "planned_seconds_ago": round(monotonic_now() - planned_at, 3),
                "disrupts": disrupted,
            },
        )

    def _log_deferred(
        self, machine: MachineId, attempts: int, guard: OrderGuard
    ) -> None:
        _DEFERRED.add(1)
        logger.info(
            "machine order deferred",
            extra={
                "machine": machine,
                "attempts": attempts,
                "disrupts": guard.describe_disrupted(),
            },
        )

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        if not isinstance(task.exception(), NotLeaderError):
            logger.error("order on a machine failed", exc_info=task.exception())
