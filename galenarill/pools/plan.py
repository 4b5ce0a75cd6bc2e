"""How many machines each pool should have, and which ones move."""

import dataclasses
import math

from galenarill.routing import Resources
from galenarill.world import MachineId, PoolId

__all__ = [
    "PoolLoad",
    "Member",
    "Move",
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
        floor: Least number of machines.
        is_spare: Whether its machines are off.
        unplaced: Tasks that found no worker.
        recently_wanted: Most machines that it wanted in the last seconds.
        surge: Machines that a queue in its turn is expected to need, while
            tasks of the pool find no worker; else 0.
    """

    pool: PoolId
    running: Resources = dataclasses.field(default_factory=Resources)
    waiting: Resources = dataclasses.field(default_factory=Resources)
    floor: int = 0
    is_spare: bool = False
    unplaced: int = 0
    recently_wanted: int = 0
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
    if load.is_spare:
        return 0
    total = load.running.plus(load.waiting)
    if load.surge:
        return max(load.floor, load.surge, _machines_for(total, capacity))
    return max(load.floor, _machines_for(total, capacity))


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
    that have more than they want. Machines that stay idle without need go to
    the spare pool.

    Args:
        loads: Load of each pool.
        members: Machines.
        refused: Kinds of machine that a pool does not take.
    """
    by_pool: dict[PoolId, list[Member]] = {pool: [] for pool in loads}
    for member in members:
        by_pool.setdefault(member.pool, []).append(member)
    capacity = typical_capacity([m.capacity for m in members])
    if capacity is None:
        return []
    excess, have = {}, {}
    for pool, load in loads.items():
        have[pool] = sum(member.counts for member in by_pool[pool])
        wanted = wanted_machines(load, capacity)
        if load.unplaced and not any(m.is_coming for m in by_pool[pool]):
            wanted = max(wanted, have[pool] + 1)
        excess[pool] = have[pool] - wanted
    free = sorted(
        (
            member
            for member in members
            if member.is_up
            and member.pool in loads
            and (
                loads[member.pool].is_spare
                or member.idle_seconds >= LEND_SECONDS
            )
        ),
        key=lambda m: (
            not loads[m.pool].is_spare,
            -m.idle_seconds,
            m.machine,
        ),
    )

    def kept(pool: PoolId) -> int:
        """Return how many machines a pool has beyond its recent need."""
        load = loads[pool]
        wanted = wanted_machines(load, capacity)
        return have[pool] - max(wanted, load.recently_wanted)

    moves, moved = [], set()
    for pool in sorted(loads, key=lambda p: (excess[p], p)):
        for member in free:
            if excess[pool] >= 0:
                break
            source = loads[member.pool]
            if (
                member.machine in moved
                or member.pool == pool
                or (not source.is_spare and kept(member.pool) <= 0)
                or (member.kind, pool) in refused
            ):
                continue
            moves.append(Move(member.machine, pool))
            moved.add(member.machine)
            excess[pool] += 1
            have[member.pool] -= 1
    moves += _releases(loads, free, kept, have, moved, refused)
    return moves


def _releases(loads, free, kept, have, moved, refused) -> list[Move]:
    spares = [pool for pool, load in loads.items() if load.is_spare]
    if not spares:
        return []
    releases = []
    for member in free:
        if (
            member.machine not in moved
            and not loads[member.pool].is_spare
            and member.idle_seconds >= IDLE_SECONDS
            and kept(member.pool) > 0
        ):
            target = next(
                (p for p in spares if (member.kind, p) not in refused), None
            )
            if target is not None:
                releases.append(Move(member.machine, target))
                have[member.pool] -= 1
    return releases


def typical_capacity(capacities: list[Resources]) -> Resources | None:
    """Return the middle one, so that a few odd machines do not matter."""
    if not capacities:
        return None
    return sorted(capacities, key=lambda c: (c.cpu, c.mem_mb, c.gpu))[
        len(capacities) // 2
    ]
