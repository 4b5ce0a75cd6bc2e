"""Moves of machines between pools, as the load asks for them."""

import collections
import logging
import math

from galenarill.coordinator.fleet import Fleet
from galenarill.coordinator.leader import Leader
from galenarill.jobs import ClusterState
from galenarill.pools import (
    Machine,
    MachineState,
    MachineVerdict,
    Member,
    Move,
    PoolLoad,
    needed_machines,
    plan_moves,
    typical_capacity,
)
from galenarill.telemetry import meter
from galenarill.world import PoolId, WorkerId, steady_now

__all__ = ["Mover"]

logger = logging.getLogger(__name__)

_MACHINES = meter().create_gauge("galenarill_pool_machines")
_UNPLACED = meter().create_gauge("galenarill_pool_unplaced_tasks")

# A pool keeps what it needed in the last seconds through a lull.
LULL_SECONDS = 1.2
POOL_LOG_SECONDS = 1.0
# Share of the fleet that a queue needs in its turn; measured: 11 to 18 of 30.
SURGE_SHARE = 0.34
# Tasks that find no worker for this long show that a turn has begun, in
# seconds.
SHORT_SECONDS = 0.25
# Least machines of a pool that serves, so that the loss of one stops nothing.
MIN_MACHINES = 3
# Share of the fleet that a pool keeps for work to come; measured: 8 of 179
# machines serve better than 3, and cost fewer moves.
RESERVE_SHARE = 0.045
# Least machines of a pool while work of another waits.
LEAST_MACHINES = 1


class Mover:
    """Brings machines to where tasks wait, and switches idle ones off."""

    def __init__(self, leader: Leader, state: ClusterState, fleet: Fleet):
        """Move machines of `fleet` by the load of `leader`."""
        self._leader = leader
        self._state = state
        self._fleet = fleet
        self._idle_since: dict[WorkerId, float] = {}
        # Kinds of machine that a pool does not take.
        self._refused: set[tuple[str, PoolId]] = set()
        # Since when tasks of a pool have found no worker.
        self._short_since: dict[PoolId, float] = {}
        self._needed: dict[PoolId, collections.deque] = {}
        # What was last logged of each pool.
        self._logged: dict[PoolId, tuple] = {}
        self._logged_at = float("-inf")

    def step(self) -> None:
        """Order the moves that are due now."""
        now = steady_now()
        self._note_idle(now)
        loads = self._loads(now)
        members = [
            self._member(machine, now)
            for machine in self._fleet.machines.values()
        ]
        self._report_pools(loads, members, now)
        for move in plan_moves(loads, members, self._refused):
            self._begin(move)

    def _note_idle(self, now: float) -> None:
        for worker in self._leader.contacts:
            if self._leader.is_idle(worker):
                self._idle_since.setdefault(worker, now)
            else:
                self._idle_since.pop(worker, None)

    def _loads(self, now: float) -> dict[PoolId, PoolLoad]:
        reserve = math.ceil(len(self._fleet.machines) * RESERVE_SHARE)
        floor = max(MIN_MACHINES, reserve)
        loads = {
            pool.name: PoolLoad(pool.name, least=0, is_spare=True)
            if pool.is_spare
            else PoolLoad(pool.name, floor=floor, least=LEAST_MACHINES)
            for pool in self._state.routing.configuration.pools
        }
        self._leader.add_load(loads)
        self._note_needed(loads, now)
        return loads

    def _note_needed(self, loads: dict[PoolId, PoolLoad], now: float) -> None:
        """Find surges, and remember what each pool needed through a lull."""
        machines = self._fleet.machines.values()
        capacity = typical_capacity([machine.capacity for machine in machines])
        if capacity is None:
            return
        surge = math.ceil(len(machines) * SURGE_SHARE)
        for pool, load in loads.items():
            if not load.unplaced:
                self._short_since.pop(pool, None)
            elif now >= self._short_since.setdefault(pool, now) + SHORT_SECONDS:
                load.surge = surge
            recent = self._needed.setdefault(pool, collections.deque())
            recent.append((now, needed_machines(load, capacity)))
            while recent[0][0] < now - LULL_SECONDS:
                recent.popleft()
            load.recently_needed = max(needed for _, needed in recent)

    def _member(self, machine: Machine, now: float) -> Member:
        since = self._idle_since.get(machine.worker)
        contact = self._leader.contacts.get(machine.worker)
        is_leaving = contact is not None and contact.report.is_draining
        return Member(
            machine.id,
            self._fleet.pool_of(machine),
            machine.kind,
            machine.capacity,
            self._fleet.is_free(machine)
            and machine.id not in self._fleet.emptying,
            0.0 if since is None else now - since,
            machine.state is not MachineState.DOWN and not is_leaving,
            self._fleet.is_moving(machine.id),
        )

    def _report_pools(
        self,
        loads: dict[PoolId, PoolLoad],
        members: list[Member],
        now: float,
    ) -> None:
        """Log pools that changed, and set gauges, at most once a second."""
        if now < self._logged_at + POOL_LOG_SECONDS:
            return
        self._logged_at = now
        machines = collections.Counter(member.pool for member in members)
        for pool, load in loads.items():
            _MACHINES.set(machines[pool], {"pool": pool})
            _UNPLACED.set(load.unplaced, {"pool": pool})
            line = (machines[pool], load.recently_needed, load.unplaced)
            if self._logged.get(pool) == line:
                continue
            self._logged[pool] = line
            logger.info(
                "pool",
                extra={
                    "pool": pool,
                    "machines": machines[pool],
                    "floor": load.floor,
                    "needed": load.recently_needed,
                    "running_cpu": load.running.cpu,
                    "waiting_cpu": load.waiting.cpu,
                    "unplaced": load.unplaced,
                    "list_age": round(now - self._fleet.read_at, 3),
                },
            )

    def _begin(self, move: Move) -> None:
        machine = self._fleet.machines[move.machine]
        self._fleet.begin_move(machine.id, move.pool)
        if machine.worker:
            self._leader.cordon(machine.worker)
        self._fleet.spawn(self._move(machine, move.pool))

    async def _move(self, machine: Machine, pool: PoolId) -> None:
        worker = machine.worker
        life = self._leader.life_of(worker)
        try:
            if worker and not self._leader.is_idle(worker):
                # A start was proposed just before the worker was cordoned.
                self._fleet.give_up_move(machine.id)
                return
            verdict, is_first = await self._fleet.move(machine.id, pool)
            logger.info(
                "machine moved",
                extra={
                    "machine": machine.id,
                    "from": machine.pool,
                    "to": pool,
                    "worker": worker,
                    "verdict": verdict.value,
                    "list_age": round(steady_now() - self._fleet.read_at, 3),
                },
            )
            if verdict is MachineVerdict.DONE:
                if is_first:
                    self._leader.end_worker(life, "its machine was moved")
                return
            self._fleet.give_up_move(machine.id)
            if verdict is MachineVerdict.INVALID:
                self._refused.add((machine.kind, pool))
        finally:
            if worker:
                self._leader.uncordon(worker)
