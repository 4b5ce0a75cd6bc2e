"""Autoscaling of pools: desired sizes and moves of machines."""

import dataclasses
import math
from collections.abc import Collection

from galenarill.common import MachineId, PoolId
from galenarill.pools.arrivals import Work
from galenarill.pools.demand import NO_WORK
from galenarill.pools.division import divide_machines
from galenarill.routing import Resources

__all__ = [
    "PoolLoad",
    "PoolMachine",
    "Move",
    "MovePlan",
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


@dataclasses.dataclass(slots=True)
class PoolLoad:
    """Demand of a pool.

    Attributes:
        pool: Pool.
        running: Capacity reserved by current runs of jobs that can still meet
            their objective, and of long-running tasks.
        lasting: The part of `running` that long-running tasks reserve.
        waiting: Capacity needed by ready tasks without a run whose jobs can
            still meet their objective. Short tasks count in part, because they
            release capacity of the pool before an additional machine arrives.
        late: Capacity of current runs and ready tasks of jobs that are late
            already. They get what is left over.
        arriving: Capacity that keeps up with the jobs that arrived lately.
        soft_minimum: Machines kept so that new work can start immediately.
            Another pool that is short of machines may borrow them.
        hard_minimum: Machines kept even while another pool is short of
            machines.
        is_spare: Whether its machines are switched off.
        unplaced: Number of tasks that found no worker and whose jobs can still
            meet their objective, without long-running ones.
        waiting_lasting: The part of `waiting` that long-running tasks need.
        waiting_work: Work of ready tasks without a run whose jobs can still
            meet their objective, in resources times seconds.
        catch_up: Capacity that clears `waiting_work`, beyond that for arrivals.
        recently_needed: Maximum of the needed machines over the last moments;
            other pools get none of these machines.
        peak_needed: The same over a longer time; none of these machines is
            switched off.
        surge: Machines that a queue is expected to need during its load peak,
            while tasks of the pool find no worker; 0 otherwise.
    """

    pool: PoolId
    running: Resources = dataclasses.field(default_factory=Resources)
    lasting: Resources = dataclasses.field(default_factory=Resources)
    waiting: Resources = dataclasses.field(default_factory=Resources)
    late: Resources = dataclasses.field(default_factory=Resources)
    arriving: Resources = dataclasses.field(default_factory=Resources)
    soft_minimum: int = 0
    hard_minimum: int = 1
    is_spare: bool = False
    unplaced: int = 0
    waiting_lasting: Resources = dataclasses.field(default_factory=Resources)
    waiting_work: Work = NO_WORK
    catch_up: Resources = dataclasses.field(default_factory=Resources)
    recently_needed: int = 0
    peak_needed: int = 0
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
        run_count: Number of its runs.
        has_lasting_run: Whether one of them is a long-running task.
        is_evacuated: Whether its zone is evacuated. It then counts toward no
            pool, and moves only to a spare pool.
    """

    machine: MachineId
    pool: PoolId
    kind: str
    capacity: Resources
    is_movable: bool
    idle_seconds: float
    is_counted: bool = True
    is_arriving: bool = False
    run_count: int = 0
    has_lasting_run: bool = False
    is_evacuated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A machine and the pool that it is to move to."""

    machine: MachineId
    pool: PoolId


@dataclasses.dataclass(frozen=True, slots=True)
class MovePlan:
    """What to do with machines now.

    Attributes:
        moves: Moves to order.
        releasing: Machines that should get no more tasks, so that they can
            move to a pool that is short of machines when their runs have
            ended.
    """

    moves: list[Move]
    releasing: frozenset[MachineId]


def desired_machines(load: PoolLoad, capacity: Resources) -> int:
    """Return the desired number of machines of `capacity` in a pool.

    Example:
        >>> load = PoolLoad("p", running=Resources(16000), soft_minimum=1)
        >>> desired_machines(load, Resources(16000, 64000))
        2
    """
    if load.is_spare:
        return load.soft_minimum
    total = load.running.plus(load.waiting).plus(load.late)
    return max(
        load.soft_minimum,
        needed_machines(load, capacity),
        _machines_for(total, capacity),
    )


def needed_machines(load: PoolLoad, capacity: Resources) -> int:
    """Return how many machines of `capacity` a pool's demand requires.

    The demand is what runs and what waits and can be in time, or what keeps up
    with the arrivals of late and clears the backlog: at the beginning of a load
    peak little waits yet, and a machine that is moved only when it does arrives
    too late.

    Example:
        >>> load = PoolLoad("p", arriving=Resources(60_000))
        >>> needed_machines(load, Resources(16000, 64000))
        4
    """
    if load.is_spare:
        return 0
    return max(
        load.surge,
        _machines_for(load.running.plus(load.waiting), capacity),
        _machines_for(
            load.lasting.plus(load.arriving).plus(load.catch_up), capacity
        ),
    )


def _missing_machines(load: PoolLoad, capacity: Resources) -> int:
    """Return how many machines the tasks need that fit on none of the pool's.

    Long-running tasks keep what they get, so each round of too few machines
    would add to the time until all of them run.
    """
    lasting = _machines_for(load.waiting_lasting, capacity)
    return max(lasting, 1 if load.unplaced else 0)


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
    refused: Collection[tuple[str, PoolId]] = frozenset(),
    releasing: Collection[MachineId] = frozenset(),
) -> MovePlan:
    """Return the moves that match the sizes of pools to their load.

    Pools that are short of machines first take spare machines, then idle
    machines of pools above their desired size, and last the machines that
    other pools keep for new work. If these are too few, busy machines of pools
    above their share are released. Idle machines above the desired size move
    to the spare pool.

    Args:
        loads: Load by pool.
        members: Machines of all pools.
        refused: Pairs of a kind of machine and a pool that does not accept it.
        releasing: Machines that are being released.
    """
    capacity = median_capacity([m.capacity for m in members])
    if capacity is None:
        return MovePlan([], frozenset())
    planner = _Planner(loads, members, refused, capacity)
    planner.grow()
    planner.borrow()
    planner.release(members, releasing)
    planner.shrink()
    planner.switch_off_evacuated(members)
    return MovePlan(planner.moves, planner.releasing)


class _Planner:
    """State of one call of `plan_moves`."""

    def __init__(self, loads, members, refused, capacity: Resources):
        self.moves: list[Move] = []
        self.releasing: frozenset[MachineId] = frozenset()
        self._loads = loads
        self._refused = refused
        self._moved: set[MachineId] = set()
        by_pool: dict[PoolId, list[PoolMachine]] = {pool: [] for pool in loads}
        for member in members:
            by_pool.setdefault(member.pool, []).append(member)
        self._sizes = {
            pool: sum(
                member.is_counted and not member.is_evacuated
                for member in by_pool[pool]
            )
            for pool in loads
        }
        needs = {pool: needed_machines(loads[pool], capacity) for pool in loads}
        total = sum(self._sizes.values())
        self._is_overloaded = sum(needs.values()) > total
        # Machines that each pool may claim for its need.
        self._shares = divide_machines(needs, total)
        self._desired = {
            pool: desired_machines(load, capacity)
            for pool, load in loads.items()
        }
        # Desired size, or more machines than present if tasks fit on none of
        # the pool's machines and no machine is on its way.
        self._targets = {}
        for pool, load in loads.items():
            self._targets[pool] = self._desired[pool]
            missing = _missing_machines(load, capacity)
            if missing and not any(
                m.is_arriving and not m.is_evacuated for m in by_pool[pool]
            ):
                self._targets[pool] = max(
                    self._desired[pool], self._sizes[pool] + missing
                )
        self._free = self._free_members(members)

    def grow(self) -> None:
        """Grow pools with spare or surplus machines.

        First all pools up to their share, then to their desired size.
        """
        for targets in (self._shares, self._targets):
            for pool in self._by_shortage(targets):
                for member in self._free:
                    if self._sizes[pool] >= targets[pool]:
                        break
                    source = self._loads[member.pool]
                    if (
                        source.is_spare
                        or self._surplus_over_desired(member.pool) > 0
                    ):
                        self._move(member, pool)

    def borrow(self) -> None:
        """Cover the share of pools with machines that others keep idle."""
        for pool in self._by_shortage(self._shares):
            for member in self._free:
                if self._sizes[pool] >= self._shares[pool]:
                    break
                if self._surplus_over_share(member.pool) > 0:
                    self._move(member, pool)

    def release(
        self, members: list[PoolMachine], releasing: Collection[MachineId]
    ) -> None:
        """Release busy machines of pools that are above their share.

        Machines whose release has begun come first, then those with the
        fewest runs.
        """
        shortage = sum(
            max(0, self._shares[pool] - self._sizes[pool])
            for pool in self._loads
        )
        if not shortage:
            return
        candidates = sorted(
            (
                member
                for member in members
                if member.is_movable
                and not member.is_evacuated
                and member.run_count
                and not member.has_lasting_run
                and member.pool in self._loads
            ),
            key=lambda m: (m.machine not in releasing, m.run_count, m.machine),
        )
        surplus = {pool: self._surplus_over_share(pool) for pool in self._loads}
        released = set()
        for member in candidates:
            if len(released) >= shortage:
                break
            if surplus[member.pool] > 0:
                surplus[member.pool] -= 1
                released.add(member.machine)
        self.releasing = frozenset(released)

    def shrink(self) -> None:
        """Move idle surplus machines to the spare pool."""
        spares = [pool for pool, load in self._loads.items() if load.is_spare]
        for member in self._free:
            if (
                self._loads[member.pool].is_spare
                or member.idle_seconds < RELEASE_IDLE_SECONDS
                or self._surplus_over_desired(member.pool) <= 0
                or self._sizes[member.pool]
                <= self._loads[member.pool].peak_needed
            ):
                continue
            for spare in spares:
                if self._move(member, spare):
                    break

    def switch_off_evacuated(self, members: list[PoolMachine]) -> None:
        """Move idle machines of evacuated zones to the spare pool.

        They can't serve their pool, whatever its load, and don't change its
        size.
        """
        spares = [pool for pool, load in self._loads.items() if load.is_spare]
        for member in members:
            if (
                not member.is_evacuated
                or not member.is_movable
                or member.run_count
                or member.idle_seconds < RELEASE_IDLE_SECONDS
                or member.pool not in self._loads
                or self._loads[member.pool].is_spare
            ):
                continue
            for spare in spares:
                if (member.kind, spare) not in self._refused:
                    self.moves.append(Move(member.machine, spare))
                    break

    def _free_members(self, members: list[PoolMachine]) -> list[PoolMachine]:
        """Return the movable machines, spare ones first, then longest idle."""
        free = [
            member
            for member in members
            if member.is_movable
            and not member.is_evacuated
            and member.pool in self._loads
            and (self._loads[member.pool].is_spare or not member.run_count)
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

    def _surplus_over_share(self, pool: PoolId) -> int:
        """Return the surplus over the pool's share and its recent need.

        The recent need protects machines only while the fleet has enough.
        """
        load = self._loads[pool]
        share = max(self._shares[pool], load.hard_minimum)
        if not self._is_overloaded:
            share = max(share, load.recently_needed)
        return self._sizes[pool] - share

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
