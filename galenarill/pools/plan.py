"""How many machines each pool should have, and which ones move."""

import dataclasses
import math

from galenarill.routing import Resources
from galenarill.world import MachineId, PoolId

__all__ = [
    "PoolLoad",
    "Member",
    "Move",
    "needed_machines",
    "wanted_machines",
    "plan_moves",
    "typical_capacity",
]

# Share of a pool's room that is planned to be used.
TARGET_USE = 0.95
# A machine without work for this long may leave, in seconds. Two moves cost
# as much as a machine that stays for about two seconds.
IDLE_SECONDS = 0.8
# A machine without work for this long may go where work waits, in seconds.
LEND_SECONDS = 0.4


@dataclasses.dataclass(slots=True)
class PoolLoad:
    """What a pool has to run.

    Attributes:
        pool: Pool.
        running: Reserved by runs in progress.
        waiting: Reserved by tasks that are ready and have no run; short ones
            count in part, since they leave room before a machine arrives.
        floor: Machines that it keeps so that work finds room at once.
        least: Machines that it keeps even while another pool is short.
        is_spare: Whether its machines are off.
        unplaced: Tasks that found no worker.
        recently_needed: Most machines that its work needed in the last
            seconds.
        surge: Machines that a queue in its turn is expected to need, while
            tasks of the pool find no worker; else 0.
    """

    pool: PoolId
    running: Resources = dataclasses.field(default_factory=Resources)
    waiting: Resources = dataclasses.field(default_factory=Resources)
    floor: int = 0
    least: int = 1
    is_spare: bool = False
    unplaced: int = 0
    recently_needed: int = 0
    surge: int = 0


@dataclasses.dataclass(slots=True)
class Member:
    """A machine of a pool.

    Attributes:
        machine: Machine.
        pool: Pool that it is in, or moves to.
        kind: Kind of machine.
        capacity: What it has room for.
        is_up: Whether it can be moved.
        idle_seconds: How long it has run nothing; 0 while it runs something.
        counts: Whether the pool may rely on it.
        is_coming: Whether it is on its way to the pool.
    """

    machine: MachineId
    pool: PoolId
    kind: str
    capacity: Resources
    is_up: bool
    idle_seconds: float
    counts: bool = True
    is_coming: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A machine and the pool that it goes to."""

    machine: MachineId
    pool: PoolId


def wanted_machines(load: PoolLoad, capacity: Resources) -> int:
    """Return how many machines of `capacity` a pool should have.

    Example:
        >>> load = PoolLoad("p", running=Resources(16000), floor=1)
        >>> wanted_machines(load, Resources(16000, 64000))
        2
    """
    return max(load.floor, needed_machines(load, capacity))


def needed_machines(load: PoolLoad, capacity: Resources) -> int:
    """Return how many machines of `capacity` the work of a pool needs."""
    if load.is_spare:
        return 0
    total = load.running.plus(load.waiting)
    return max(load.surge, _machines_for(total, capacity))


def _machines_for(total: Resources, capacity: Resources) -> int:
    use = max(
        amount / room
        for amount, room in (
            (total.cpu, capacity.cpu),
            (total.mem_mb, capacity.mem_mb),
            (total.gpu, capacity.gpu),
        )
        if room
    )
    return math.ceil(use / TARGET_USE)


def plan_moves(
    loads: dict[PoolId, PoolLoad],
    members: list[Member],
    refused: set[tuple[str, PoolId]] = frozenset(),
) -> list[Move]:
    """Return the moves that bring machines where work is.

    Pools short of machines take spare ones first, then idle ones of pools
    that have more than they want, and last those that other pools keep for
    work to come. Machines that stay idle without need go to the spare pool.

    Args:
        loads: Load of each pool.
        members: Machines.
        refused: Kinds of machine that a pool does not take.
    """
    capacity = typical_capacity([m.capacity for m in members])
    if capacity is None:
        return []
    planner = _Planner(loads, members, refused, capacity)
    planner.fill()
    planner.borrow()
    planner.release()
    return planner.moves


class _Planner:
    """One plan in the making."""

    def __init__(self, loads, members, refused, capacity: Resources):
        self.moves: list[Move] = []
        self._loads = loads
        self._refused = refused
        self._moved: set[MachineId] = set()
        by_pool: dict[PoolId, list[Member]] = {pool: [] for pool in loads}
        for member in members:
            by_pool.setdefault(member.pool, []).append(member)
        self._have, self._wanted, self._needed = {}, {}, {}
        # Wanted, and one more where a task fits on none of its machines.
        self._due = {}
        for pool, load in loads.items():
            have = sum(member.counts for member in by_pool[pool])
            wanted = wanted_machines(load, capacity)
            is_coming = any(member.is_coming for member in by_pool[pool])
            is_stuck = load.unplaced and not is_coming
            self._have[pool] = have
            self._wanted[pool] = wanted
            self._needed[pool] = needed_machines(load, capacity)
            self._due[pool] = max(wanted, have + 1) if is_stuck else wanted
        self._free = self._free_members(members)

    def fill(self) -> None:
        """Give pools what they want, where no other pool wants it."""
        for pool in self._shortest_first(self._due):
            for member in self._free:
                if self._have[pool] >= self._due[pool]:
                    break
                source = self._loads[member.pool]
                if source.is_spare or self._beyond_wanted(member.pool) > 0:
                    self._move(member, pool)

    def borrow(self) -> None:
        """Give pools what they need out of what others keep in reserve."""
        for pool in self._shortest_first(self._needed):
            for member in self._free:
                if self._have[pool] >= self._needed[pool]:
                    break
                if self._beyond_needed(member.pool) > 0:
                    self._move(member, pool)

    def release(self) -> None:
        """Switch off what has been idle without need."""
        spares = [pool for pool, load in self._loads.items() if load.is_spare]
        for member in self._free:
            if (
                self._loads[member.pool].is_spare
                or member.idle_seconds < IDLE_SECONDS
                or self._beyond_wanted(member.pool) <= 0
            ):
                continue
            for spare in spares:
                if self._move(member, spare):
                    break

    def _free_members(self, members: list[Member]) -> list[Member]:
        """Return the machines that may move, spare ones first."""
        free = [
            member
            for member in members
            if member.is_up
            and member.pool in self._loads
            and (
                self._loads[member.pool].is_spare
                or member.idle_seconds >= LEND_SECONDS
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

    def _shortest_first(self, due: dict[PoolId, int]) -> list[PoolId]:
        return sorted(self._loads, key=lambda p: (self._have[p] - due[p], p))

    def _beyond_wanted(self, pool: PoolId) -> int:
        """Return how many machines a pool has beyond its recent wants."""
        recent = self._loads[pool].recently_needed
        return self._have[pool] - max(self._wanted[pool], recent)

    def _beyond_needed(self, pool: PoolId) -> int:
        """Return how many machines a pool has beyond its recent need."""
        load = self._loads[pool]
        need = max(self._needed[pool], load.recently_needed, load.least)
        return self._have[pool] - need

    def _move(self, member: Member, pool: PoolId) -> bool:
        if (
            member.machine in self._moved
            or member.pool == pool
            or (member.kind, pool) in self._refused
        ):
            return False
        self.moves.append(Move(member.machine, pool))
        self._moved.add(member.machine)
        self._have[member.pool] -= 1
        self._have[pool] += 1
        return True


def typical_capacity(capacities: list[Resources]) -> Resources | None:
    """Return the middle one, so that a few odd machines do not matter."""
    if not capacities:
        return None
    return sorted(capacities, key=lambda c: (c.cpu, c.mem_mb, c.gpu))[
        len(capacities) // 2
    ]
