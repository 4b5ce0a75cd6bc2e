"""Autoscaling of pools: desired sizes and moves of machines."""

import dataclasses
import math

from galenarill.common import MachineId, PoolId
from galenarill.routing import Resources

__all__ = [
    "PoolLoad",
    "PoolMachine",
    "Move",
    "needed_machines",
    "desired_machines",
    "plan_moves",
    "median_capacity",
]

# Planned utilization of a pool's capacity.
TARGET_UTILIZATION = 0.95
# Idle time after which a machine may be switched off, in seconds. Moving it
# away and back costs as much as keeping it for about two seconds.
RELEASE_IDLE_SECONDS = 0.8
# Idle time after which a machine may move to a pool with waiting work, in
# seconds.
LEND_IDLE_SECONDS = 0.4


@dataclasses.dataclass(slots=True)
class PoolLoad:
    """Demand of a pool.

    Attributes:
        pool: Pool.
        running: Capacity reserved by current runs.
        waiting: Capacity needed by ready tasks without a run. Short tasks
            count in part, because they release capacity of the pool before an
            additional machine arrives.
        soft_minimum: Machines kept so that new work can start immediately.
            Another pool that is short of machines may borrow them.
        hard_minimum: Machines kept even while another pool is short of
            machines.
        is_spare: Whether its machines are switched off.
        unplaced: Number of tasks that found no worker.
        recently_needed: Maximum of the needed machines over the last seconds.
        surge: Machines that a queue is expected to need during its load peak,
            while tasks of the pool find no worker; 0 otherwise.
    """

    pool: PoolId
    running: Resources = dataclasses.field(default_factory=Resources)
    waiting: Resources = dataclasses.field(default_factory=Resources)
    soft_minimum: int = 0
    hard_minimum: int = 1
    is_spare: bool = False
    unplaced: int = 0
    recently_needed: int = 0
    surge: int = 0


@dataclasses.dataclass(slots=True)
class PoolMachine:
    """A machine of a pool.

    Attributes:
        machine: Machine.
        pool: Current pool, or the destination of a move in progress.
        kind: Kind of machine.
        capacity: Capacity of its worker.
        is_movable: Whether it can be moved.
        idle_seconds: Time without runs in seconds; 0 while it has a run.
        is_counted: Whether it counts toward the size of the pool.
        is_arriving: Whether it is being moved to the pool.
    """

    machine: MachineId
    pool: PoolId
    kind: str
    capacity: Resources
    is_movable: bool
    idle_seconds: float
    is_counted: bool = True
    is_arriving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A machine and the pool that it is to move to."""

    machine: MachineId
    pool: PoolId


def desired_machines(load: PoolLoad, capacity: Resources) -> int:
    """Return the desired number of machines of `capacity` in a pool.

    Example:
        >>> load = PoolLoad("p", running=Resources(16000), soft_minimum=1)
        >>> desired_machines(load, Resources(16000, 64000))
        2
    """
    return max(load.soft_minimum, needed_machines(load, capacity))


def needed_machines(load: PoolLoad, capacity: Resources) -> int:
    """Return how many machines of `capacity` a pool's demand requires."""
    if load.is_spare:
        return 0
    total = load.running.plus(load.waiting)
    return max(load.surge, _machines_for(total, capacity))


def _machines_for(total: Resources, capacity: Resources) -> int:
    demand = max(
        amount / available
        for amount, available in (
            (total.cpu, capacity.cpu),
            (total.mem_mb, capacity.mem_mb),
            (total.gpu, capacity.gpu),
        )
        if available
    )
    return math.ceil(demand / TARGET_UTILIZATION)


def plan_moves(
    loads: dict[PoolId, PoolLoad],
    members: list[PoolMachine],
    refused: set[tuple[str, PoolId]] = frozenset(),
) -> list[Move]:
    """Return the moves that match the sizes of pools to their load.

    Pools that are short of machines first take spare machines, then idle
    machines of pools above their desired size, and last the machines that
    other pools keep for new work. Idle machines above the desired size move to
    the spare pool.

    Args:
        loads: Load by pool.
        members: Machines of all pools.
        refused: Pairs of a kind of machine and a pool that does not accept it.
    """
    capacity = median_capacity([m.capacity for m in members])
    if capacity is None:
        return []
    planner = _Planner(loads, members, refused, capacity)
    planner.grow()
    planner.borrow()
    planner.shrink()
    return planner.moves


class _Planner:
    """State of one call of `plan_moves`."""

    def __init__(self, loads, members, refused, capacity: Resources):
        self.moves: list[Move] = []
        self._loads = loads
        self._refused = refused
        self._moved: set[MachineId] = set()
        by_pool: dict[PoolId, list[PoolMachine]] = {pool: [] for pool in loads}
        for member in members:
            by_pool.setdefault(member.pool, []).append(member)
        self._sizes, self._desired, self._needed = {}, {}, {}
        # Desired size, or one machine more than present if a task fits on
        # none of the pool's machines and no machine is on its way.
        self._targets = {}
        for pool, load in loads.items():
            size = sum(member.is_counted for member in by_pool[pool])
            desired = desired_machines(load, capacity)
            is_arriving = any(member.is_arriving for member in by_pool[pool])
            needs_one_more = load.unplaced and not is_arriving
            self._sizes[pool] = size
            self._desired[pool] = desired
            self._needed[pool] = needed_machines(load, capacity)
            self._targets[pool] = (
                max(desired, size + 1) if needs_one_more else desired
            )
        self._free = self._free_members(members)

    def grow(self) -> None:
        """Grow pools to their desired size with spare or surplus machines."""
        for pool in self._by_shortage(self._targets):
            for member in self._free:
                if self._sizes[pool] >= self._targets[pool]:
                    break
                source = self._loads[member.pool]
                if (
                    source.is_spare
                    or self._surplus_over_desired(member.pool) > 0
                ):
                    self._move(member, pool)

    def borrow(self) -> None:
        """Cover the need of pools with machines that others keep idle."""
        for pool in self._by_shortage(self._needed):
            for member in self._free:
                if self._sizes[pool] >= self._needed[pool]:
                    break
                if self._surplus_over_needed(member.pool) > 0:
                    self._move(member, pool)

    def shrink(self) -> None:
        """Move idle surplus machines to the spare pool."""
        spares = [pool for pool, load in self._loads.items() if load.is_spare]
        for member in self._free:
            if (
                self._loads[member.pool].is_spare
                or member.idle_seconds < RELEASE_IDLE_SECONDS
                or self._surplus_over_desired(member.pool) <= 0
            ):
                continue
            for spare in spares:
                if self._move(member, spare):
                    break

    def _free_members(self, members: list[PoolMachine]) -> list[PoolMachine]:
        """Return the movable machines, spare ones first, then longest idle."""
        free = [
            member
            for member in members
            if member.is_movable
            and member.pool in self._loads
            and (
                self._loads[member.pool].is_spare
                or member.idle_seconds >= LEND_IDLE_SECONDS
            )
        ]
        free.sort(
            key=lambda m: (
                not self._loads[m.pool].is_spare,
                -m.idle_seconds,
                m.machine,
            )
        )
        return free

    def _by_shortage(self, targets: dict[PoolId, int]) -> list[PoolId]:
        return sorted(
            self._loads, key=lambda p: (self._sizes[p] - targets[p], p)
        )

    def _surplus_over_desired(self, pool: PoolId) -> int:
        """Return the surplus over the desired size and the recent need."""
        recent = self._loads[pool].recently_needed
        return self._sizes[pool] - max(self._desired[pool], recent)

    def _surplus_over_needed(self, pool: PoolId) -> int:
        """Return the surplus over the present and recent need."""
        load = self._loads[pool]
        need = max(self._needed[pool], load.recently_needed, load.hard_minimum)
        return self._sizes[pool] - need

    def _move(self, member: PoolMachine, pool: PoolId) -> bool:
        if (
            member.machine in self._moved
            or member.pool == pool
            or (member.kind, pool) in self._refused
        ):
            return False
        self.moves.append(Move(member.machine, pool))
        self._moved.add(member.machine)
        self._sizes[member.pool] -= 1
        self._sizes[pool] += 1
        return True


def median_capacity(capacities: list[Resources]) -> Resources | None:
    """Return the median capacity, which is robust to a few odd machines."""
    if not capacities:
        return None
    return sorted(capacities, key=lambda c: (c.cpu, c.mem_mb, c.gpu))[
        len(capacities) // 2
    ]
