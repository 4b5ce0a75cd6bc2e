"""Moves machines between pools to follow the load."""

import collections
import logging
import math

from galenarill.common import (
    AvailabilityZoneId,
    MachineId,
    PoolId,
    WorkerId,
    monotonic_now,
)
from galenarill.coordinator.cordons import CordonReason
from galenarill.coordinator.fleet import Fleet
from galenarill.coordinator.guards import IdleGuard
from galenarill.coordinator.leader import Leader
from galenarill.jobs import ClusterState
from galenarill.pools import (
    Machine,
    MachineState,
    MachineVerdict,
    Move,
    PoolLoad,
    PoolMachine,
    catch_up_capacity,
    divide_reserve,
    median_capacity,
    needed_machines,
    plan_moves,
    scaled,
)
from galenarill.pools.plan import TARGET_UTILIZATION
from galenarill.routing import Resources
from galenarill.telemetry import meter

__all__ = ["PoolRebalancer"]

logger = logging.getLogger(__name__)

_POOL_MACHINES = meter().create_gauge("galenarill_pool_machines")
_RELEASING = meter().create_gauge("galenarill_releasing_machines")
_SILENT = meter().create_gauge("galenarill_silent_machines")
_POOL_UNPLACED = meter().create_gauge("galenarill_pool_unplaced_tasks")

# Stabilization windows, in seconds: when its load drops, a pool keeps the
# machines that it needed within this time from other pools, and from being
# switched off.
LENDING_WINDOW_SECONDS = 0.3
RELEASE_WINDOW_SECONDS = 1.2
POOL_LOG_SECONDS = 1.0
# Time without a worker that answers, in seconds, after which a machine does not
# count toward its pool. More than a new worker takes to report.
SILENCE_SECONDS = 1.0
# Share of the fleet that one queue needs in a surge: 11 to 18 of 30 machines.
SURGE_SHARE = 0.34
# A surge is at most this many times the demand that can be seen already. A few
# tasks of an otherwise quiet queue are no surge.
MAX_SURGE_RATIO = 2
# A surge has begun if tasks of a pool had no worker for this long, in seconds.
SHORTAGE_SECONDS = 0.25
# Minimum machines of a pool that is not spare, so that the loss of one does not
# stop its work.
SOFT_MIN_MACHINES = 3
# Share of the fleet that a pool keeps in reserve. With 8 of 179 machines, jobs
# are served better than with 3, and fewer moves are needed.
RESERVE_SHARE = 0.045
# A pool has a burst while it needs more than this many times the mean reserve.
BURST_RATIO = 2
# Minimum machines of a pool while tasks of another pool wait.
HARD_MIN_MACHINES = 1


class PoolRebalancer:
    """Moves machines to where tasks wait, and idle ones to spare pools."""

    def __init__(self, leader: Leader, state: ClusterState, fleet: Fleet):
        """Create a rebalancer of `fleet` for the load of `leader`."""
        self._began_at = monotonic_now()
        # When each pool last had a burst, on the monotonic clock.
        self._burst_at: dict[PoolId, float] = {}
        self._leader = leader
        self._state = state
        self._fleet = fleet
        self._idle_since: dict[WorkerId, float] = {}
        # Since when a machine that should serve has no worker that answers.
        self._silent_since: dict[MachineId, float] = {}
        # Machines that get no more tasks, to be moved when idle.
        self._releasing: frozenset[MachineId] = frozenset()
        # Kinds of machine that the platform refuses to move to a pool.
        self._refused_kinds: set[tuple[str, PoolId]] = set()
        # Since when each pool has had tasks without a worker.
        self._shortage_since: dict[PoolId, float] = {}
        self._recently_needed: dict[PoolId, collections.deque] = {}
        # Last logged summary of each pool.
        self._last_logged: dict[PoolId, tuple] = {}
        self._logged_at = float("-inf")

    def rebalance(self) -> None:
        """Order the moves that the current load requires."""
        now = monotonic_now()
        self._update_idle_since(now)
        self._update_silent_since(now)
        loads = self._pool_loads(now)
        evacuated = self._state.evacuated_zones
        members = [
            self._member(
                machine,
                now,
                bool(evacuated) and self._zone_of(machine) in evacuated,
            )
            for machine in self._fleet.machines.values()
        ]
        self._log_pools(loads, members, now)
        plan = plan_moves(loads, members, self._refused_kinds, self._releasing)
        for move in plan.moves:
            self._start_move(move)
        self._release(plan.releasing)

    def _release(self, releasing: frozenset[MachineId]) -> None:
        """Cordon the machines to release, and uncordon those no longer so."""
        for machine_id in self._releasing - releasing:
            self._leader.uncordon(machine_id, CordonReason.RELEASE)
        for machine_id in releasing - self._releasing:
            self._leader.cordon(machine_id, CordonReason.RELEASE)
        self._releasing = releasing

    def _update_idle_since(self, now: float) -> None:
        self._idle_since = {
            worker: self._idle_since.get(worker, now)
            for worker in self._leader.sessions
            if self._leader.is_idle(worker)
        }

    def _update_silent_since(self, now: float) -> None:
        spare_pools = {
            pool.name
            for pool in self._state.routing.configuration.pools
            if pool.is_spare
        }
        for machine in self._fleet.machines.values():
            if (
                machine.pool in spare_pools
                or self._fleet.is_moving(machine.id)
                or self._leader.is_answering(machine.worker)
            ):
                self._silent_since.pop(machine.id, None)
            else:
                self._silent_since.setdefault(machine.id, now)

    def _is_silent(self, machine: MachineId, now: float) -> bool:
        since = self._silent_since.get(machine)
        return since is not None and now >= since + SILENCE_SECONDS

    def _pool_loads(self, now: float) -> dict[PoolId, PoolLoad]:
        reserve = math.ceil(len(self._fleet.machines) * RESERVE_SHARE)
        soft_minimum = max(SOFT_MIN_MACHINES, reserve)
        reserves = self._divide_reserve(soft_minimum, now)
        loads = {
            pool.name: PoolLoad(pool.name, hard_minimum=0, is_spare=True)
            if pool.is_spare
            else PoolLoad(
                pool.name,
                soft_minimum=reserves[pool.name],
                hard_minimum=HARD_MIN_MACHINES,
            )
            for pool in self._state.routing.configuration.pools
        }
        self._leader.add_load(loads)
        self._update_demand(loads, now)
        return loads

    def _divide_reserve(self, mean: int, now: float) -> dict[PoolId, int]:
        """Return how many machines each pool keeps for new work."""
        pools = [
            pool.name
            for pool in self._state.routing.configuration.pools
            if not pool.is_spare
        ]
        if not self._leader.anticipates_bursts or not pools:
            return dict.fromkeys(pools, mean)
        idle_seconds = {
            pool: now - self._burst_at.get(pool, self._began_at)
            for pool in pools
        }
        return divide_reserve(
            mean * len(pools), SOFT_MIN_MACHINES, idle_seconds
        )

    def _update_backlogs(
        self, loads: dict[PoolId, PoolLoad], capacity: Resources, now: float
    ) -> None:
        """Set the capacity that clears the backlog, and note bursts."""
        evacuated = self._state.evacuated_zones
        sizes = collections.Counter(
            self._fleet.pool_of(machine)
            for machine in self._fleet.machines.values()
            if not evacuated or self._zone_of(machine) not in evacuated
        )
        burst = BURST_RATIO * max(
            SOFT_MIN_MACHINES,
            math.ceil(len(self._fleet.machines) * RESERVE_SHARE),
        )
        for pool, load in loads.items():
            if load.is_spare:
                continue
            available = scaled(
                capacity.times(sizes[pool]), TARGET_UTILIZATION
            ).minus(load.lasting)
            load.catch_up = catch_up_capacity(
                load.waiting_work, load.arriving, available
            )
            if needed_machines(load, capacity) > burst:
                self._burst_at[pool] = now

    def _update_demand(self, loads: dict[PoolId, PoolLoad], now: float) -> None:
        """Detect surges, and set the demand over the stabilization window."""
        machines = self._fleet.machines.values()
        capacity = median_capacity([machine.capacity for machine in machines])
        if capacity is None:
            return
        if self._leader.anticipates_bursts:
            self._update_backlogs(loads, capacity, now)
        surge = math.ceil(len(machines) * SURGE_SHARE)
        for pool, load in loads.items():
            if not load.unplaced:
                self._shortage_since.pop(pool, None)
            elif (
                now
                >= self._shortage_since.setdefault(pool, now) + SHORTAGE_SECONDS
            ):
                needed = needed_machines(load, capacity)
                load.surge = min(surge, MAX_SURGE_RATIO * needed)
            recent = self._recently_needed.setdefault(pool, collections.deque())
            recent.append((now, needed_machines(load, capacity)))
            while recent[0][0] < now - RELEASE_WINDOW_SECONDS:
                recent.popleft()
            load.peak_needed = max(needed for _, needed in recent)
            load.recently_needed = max(
                needed
                for at, needed in recent
                if at >= now - LENDING_WINDOW_SECONDS
            )

    def _zone_of(self, machine: Machine) -> AvailabilityZoneId:
        """Return the zone of a machine by its worker, else by the list.

        Starts are withheld by the zone that the worker reports.
        """
        session = self._leader.sessions.get(machine.worker)
        return machine.zone if session is None else session.report.zone

    def _member(
        self, machine: Machine, now: float, is_evacuated: bool
    ) -> PoolMachine:
        since = self._idle_since.get(machine.worker)
        session = self._leader.sessions.get(machine.worker)
        runs = self._leader.runs.by_worker.get(machine.worker, {}).values()
        is_leaving = session is not None and session.report.is_draining
        is_silent = self._is_silent(machine.id, now)
        return PoolMachine(
            machine.id,
            self._fleet.pool_of(machine),
            machine.kind,
            machine.capacity,
            self._fleet.is_orderable(machine)
            and machine.id not in self._fleet.cordoned_since
            and not is_silent,
            0.0 if since is None else now - since,
            machine.state is not MachineState.DOWN
            and not is_leaving
            and not is_silent,
            self._fleet.is_moving(machine.id),
            # A start that is being proposed counts as a run.
            max(len(runs), since is None),
            any(run.step.is_long_running for run in runs),
            is_evacuated,
        )

    def _log_pools(
        self,
        loads: dict[PoolId, PoolLoad],
        members: list[PoolMachine],
        now: float,
    ) -> None:
        """Log changed pools and set gauges, at most once a second."""
        if now < self._logged_at + POOL_LOG_SECONDS:
            return
        self._logged_at = now
        machines = collections.Counter(member.pool for member in members)
        _RELEASING.set(len(self._releasing))
        _SILENT.set(
            sum(self._is_silent(machine, now) for machine in self._silent_since)
        )
        for pool, load in loads.items():
            _POOL_MACHINES.set(machines[pool], {"pool": pool})
            _POOL_UNPLACED.set(load.unplaced, {"pool": pool})
            summary = (machines[pool], load.recently_needed, load.unplaced)
            if self._last_logged.get(pool) == summary:
                continue
            self._last_logged[pool] = summary
            logger.info(
                "pool",
                extra={
                    "pool": pool,
                    "machines": machines[pool],
                    "is_spare": load.is_spare,
                    "floor": load.soft_minimum,
                    "needed": load.recently_needed,
                    "running_cpu": load.running.cpu,
                    "waiting_cpu": load.waiting.cpu,
                    "late_cpu": load.late.cpu,
                    "arriving_cpu": load.arriving.cpu,
                    "catch_up_cpu": load.catch_up.cpu,
                    "occupancy": round(self._leader.occupancy_ratio(pool), 2),
                    "unplaced": load.unplaced,
                    "list_age": round(now - self._fleet.read_at, 3),
                },
            )

    def _start_move(self, move: Move) -> None:
        machine = self._fleet.machines[move.machine]
        self._fleet.mark_moving(machine.id, move.pool)
        self._leader.cordon(machine.id, CordonReason.MOVE)
        self._fleet.spawn(self._move(machine, move.pool))

    async def _move(self, machine: Machine, pool: PoolId) -> None:
        worker = machine.worker
        incarnation = self._leader.incarnation_of(worker)
        try:
            guard = IdleGuard(self._leader, machine)
            if not guard.allows():
                # A start was proposed just before the machine was cordoned.
                self._fleet.unmark_moving(machine.id)
                return
            verdict, is_first = await self._fleet.move(machine.id, pool, guard)
            logger.info(
                "machine moved",
                extra={
                    "machine": machine.id,
                    "from": machine.pool,
                    "to": pool,
                    "worker": worker,
                    "verdict": verdict.value,
                    "list_age": round(monotonic_now() - self._fleet.read_at, 3),
                },
            )
            if verdict is MachineVerdict.DONE:
                if is_first:
                    self._leader.end_incarnation(
                        incarnation, "its machine was moved"
                    )
                return
            self._fleet.unmark_moving(machine.id)
            if verdict is MachineVerdict.INVALID:
                self._refused_kinds.add((machine.kind, pool))
        finally:
            self._leader.uncordon(machine.id, CordonReason.MOVE)
