"""The leader's orders on machines: moves between pools, and upkeep."""

import asyncio
import collections
import logging
import math
from collections.abc import Callable

import msgspec

from galenarill.coordinator.leader import Leader
from galenarill.errors import NotLeaderError
from galenarill.jobs import (
    ClusterState,
    FinishUpkeep,
    OrderUpkeep,
    PlaceMachine,
    Wave,
)
from galenarill.pools import (
    Machine,
    MachineClient,
    MachineListError,
    MachineState,
    MachineVerdict,
    Member,
    Move,
    PoolLoad,
    plan_moves,
    typical_capacity,
    wanted_machines,
)
from galenarill.upkeep import Subject, choose
from galenarill.world import MachineId, PoolId, WorkerId, steady_now, wall_now

__all__ = ["MachineKeeper"]

logger = logging.getLogger(__name__)

STEP_SECONDS = 0.15
# Age at which the list of machines is read again, in seconds: while something
# changes, and while nothing does.
BUSY_LIST_SECONDS = 0.5
QUIET_LIST_SECONDS = 4.0
# Beyond the time for which one holder alone may order a machine, in seconds.
TAKEOVER_MARGIN_SECONDS = 0.3
# Tokens of one term leave room for this many orders.
ORDERS_PER_TERM = 1 << 20
# Time for which a machine that was busy is left alone, in seconds.
BUSY_SECONDS = 1.0
# A pool keeps what it wanted in the last seconds through a lull.
LULL_SECONDS = 1.2
POOL_LOG_SECONDS = 1.0
# Share of the fleet that a queue needs in its turn; measured: 11 to 18 of 30.
SURGE_SHARE = 0.34
# Tasks that find no worker for this long show that a turn has begun, in
# seconds.
SHORT_SECONDS = 0.25
# Least machines of a pool that serves, so that the loss of one stops nothing.
MIN_MACHINES = 3


class MachineKeeper:
    """Moves machines to where work is, and carries out waves of upkeep.

    One coordinator at a time orders a machine: a new leader waits until the
    lease has ended that the latest order of another one gave.
    """

    def __init__(
        self,
        leader: Leader,
        state: ClusterState,
        client: MachineClient,
        propose: Callable[..., asyncio.Future],
        is_confirmed: Callable[[], bool],
        holder: str,
        lease_seconds: float,
    ):
        """Make a keeper for one term.

        Args:
            leader: Scheduler of the term.
            state: Replicated state.
            client: The platform's machine interface.
            propose: Proposes commands, and returns a future of their commit.
            is_confirmed: Tells whether this coordinator surely leads.
            holder: Name of this coordinator.
            lease_seconds: How long one holder alone may order a machine.
        """
        self._leader = leader
        self._state = state
        self._client = client
        self._propose = propose
        self._is_confirmed = is_confirmed
        self._holder = holder
        self._orders = 0
        self._lease_seconds = lease_seconds + TAKEOVER_MARGIN_SECONDS
        self._since = steady_now()
        self._machines: dict[MachineId, Machine] = {}
        self._read_at = float("-inf")
        self._is_fenced = False
        self._idle_since: dict[WorkerId, float] = {}
        self._emptying: dict[MachineId, float] = {}
        self._busy_until: dict[MachineId, float] = {}
        # Where machines with an order in progress go, until the list shows it.
        self._moving: dict[MachineId, PoolId] = {}
        # When the upkeep of a machine was acknowledged, on the steady clock.
        self._acknowledged: dict[MachineId, float] = {}
        self._refused: set[tuple[str, PoolId]] = set()
        # Since when tasks of a pool have found no worker.
        self._short_since: dict[PoolId, float] = {}
        self._logged_at = float("-inf")
        self._wanted: dict[PoolId, collections.deque] = {}
        self._orders_open: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Work until cancelled."""
        try:
            while True:
                await asyncio.sleep(STEP_SECONDS)
                if not self._may_order():
                    continue
                try:
                    await self._step()
                except MachineListError as error:
                    logger.warning(
                        "machines not read", extra={"why": str(error)}
                    )
                except NotLeaderError:
                    return
        finally:
            for task in self._orders_open:
                task.cancel()

    def _may_order(self) -> bool:
        return self._is_confirmed() and not self._is_fenced

    def _is_ours(self, machine: MachineId) -> bool:
        """Tell whether no other holder's lease on a machine is left."""
        order = self._state.orders.get(machine)
        return (
            order is None
            or order.holder == self._holder
            or wall_now() >= order.at + self._lease_seconds
            or steady_now() >= self._since + self._lease_seconds
        )

    async def _step(self) -> None:
        now = steady_now()
        age = now - self._read_at
        if age > (
            BUSY_LIST_SECONDS if self._is_changing() else QUIET_LIST_SECONDS
        ):
            await self._read()
        self._note_idle(now)
        self._keep_waves()
        loads, members = self._loads(), self._members(now)
        self._log_pools(loads, members, now)
        moves = plan_moves(loads, members, self._refused)
        for move in moves:
            self._begin_move(move)

    def _log_pools(
        self,
        loads: dict[PoolId, PoolLoad],
        members: list[Member],
        now: float,
    ) -> None:
        """Log what each pool has and wants, at most once a second."""
        if now < self._logged_at + POOL_LOG_SECONDS:
            return
        # Since when tasks of a pool have found no worker.
        self._short_since: dict[PoolId, float] = {}
        self._logged_at = now
        logger.info(
            "pools",
            extra={
                "pools": {
                    pool: {
                        "machines": sum(m.pool == pool for m in members),
                        "wanted": load.recently_wanted,
                        "running_cpu": load.running.cpu,
                        "waiting_cpu": load.waiting.cpu,
                        "unplaced": load.unplaced,
                    }
                    for pool, load in loads.items()
                },
                "list_age": round(now - self._read_at, 3),
            },
        )

    def _is_changing(self) -> bool:
        return bool(
            self._moving
            or self._orders_open
            or any(not wave.is_completed for wave in self._state.waves.values())
        )

    async def _read(self) -> None:
        sent_at = steady_now()
        machines = await self._client.list()
        self._read_at = sent_at
        self._machines = {machine.id: machine for machine in machines}
        for machine in machines:
            target = self._moving.get(machine.id)
            if (
                target is not None
                and machine.pool == target
                and machine.state is MachineState.UP
            ):
                del self._moving[machine.id]

    def _note_idle(self, now: float) -> None:
        for worker in self._leader.contacts:
            if self._leader.is_idle(worker):
                self._idle_since.setdefault(worker, now)
            else:
                self._idle_since.pop(worker, None)

    # Moves.

    def _loads(self) -> dict[PoolId, PoolLoad]:
        loads = {
            pool.name: PoolLoad(
                pool.name,
                floor=0 if pool.is_spare else MIN_MACHINES,
                is_spare=pool.is_spare,
            )
            for pool in self._state.routing.configuration.pools
        }
        self._leader.add_load(loads)
        self._note_wanted(loads)
        return loads

    def _note_wanted(self, loads: dict[PoolId, PoolLoad]) -> None:
        """Remember what each pool wanted, so that a lull releases nothing."""
        now = steady_now()
        capacity = typical_capacity(
            [machine.capacity for machine in self._machines.values()]
        )
        if capacity is None:
            return
        surge = math.ceil(len(self._machines) * SURGE_SHARE)
        for pool, load in loads.items():
            if not load.unplaced:
                self._short_since.pop(pool, None)
            elif now >= self._short_since.setdefault(pool, now) + SHORT_SECONDS:
                load.surge = surge
            recent = self._wanted.setdefault(pool, collections.deque())
            recent.append((now, wanted_machines(load, capacity)))
            while recent[0][0] < now - LULL_SECONDS:
                recent.popleft()
            load.recently_wanted = max(wanted for _, wanted in recent)

    def _members(self, now: float) -> list[Member]:
        return [self._member(m, now) for m in self._machines.values()]

    def _member(self, machine: Machine, now: float) -> Member:
        pool = self._moving.get(machine.id, machine.pool)
        is_up = (
            machine.state is MachineState.UP
            and self._is_ours(machine.id)
            and machine.id not in self._moving
            and machine.id not in self._emptying
            and machine.id not in self._acknowledged
            and self._busy_until.get(machine.id, 0) <= now
        )
        since = self._idle_since.get(machine.worker)
        contact = self._leader.contacts.get(machine.worker)
        counts = machine.state is not MachineState.DOWN and not (
            contact is not None and contact.report.is_draining
        )
        return Member(
            machine.id,
            pool,
            machine.kind,
            machine.capacity,
            is_up,
            0.0 if since is None else now - since,
            counts,
            machine.id in self._moving,
        )

    def _begin_move(self, move: Move) -> None:
        machine = self._machines[move.machine]
        self._moving[machine.id] = move.pool
        if machine.worker:
            self._leader.cordon(machine.worker)
        self._spawn(self._move(machine, move.pool))

    async def _move(self, machine: Machine, pool: PoolId) -> None:
        worker = machine.worker
        life = self._leader.life_of(worker)
        try:
            if worker and not self._leader.is_idle(worker):
                self._moving.pop(machine.id, None)
                return
            verdict, is_first = await self._order(
                machine,
                PlaceMachine(machine.id, pool, self._holder, 0.0),
                lambda token: self._client.move(
                    machine.id, pool, self._holder, token
                ),
            )
            logger.info(
                "machine moved",
                extra={
                    "machine": machine.id,
                    "from": machine.pool,
                    "to": pool,
                    "worker": worker,
                    "verdict": verdict.value,
                    "list_age": round(steady_now() - self._read_at, 3),
                },
            )
            if verdict is MachineVerdict.DONE:
                if is_first:
                    self._leader.end_worker(life, "its machine was moved")
                return
            self._moving.pop(machine.id, None)
            if verdict is MachineVerdict.INVALID:
                self._refused.add((machine.kind, pool))
        finally:
            if worker:
                self._leader.uncordon(worker)

    async def _order(
        self, machine: Machine, intent: OrderUpkeep | PlaceMachine, call
    ) -> tuple[MachineVerdict, bool]:
        """Give an order, again while it has no answer.

        Args:
            machine: Machine.
            intent: Command that is committed before each try.
            call: Gives the order with a fencing token.

        Returns:
            What became of it, and whether that is the answer to the first
            try: the answer to a later one may be about the first, which was
            carried out before the machine's next worker began.
        """
        tries = 0
        while True:
            await self._propose(msgspec.structs.replace(intent, at=wall_now()))
            if not self._may_order():
                return MachineVerdict.BUSY, False
            tries += 1
            self._orders += 1
            token = self._leader.term * ORDERS_PER_TERM + self._orders
            verdict = await call(token)
            if verdict is MachineVerdict.FENCED:
                self._is_fenced = True
                logger.warning(
                    "fenced by another holder", extra={"machine": machine.id}
                )
            if verdict in (
                MachineVerdict.NO_ANSWER,
                MachineVerdict.THROTTLED,
            ):
                await asyncio.sleep(STEP_SECONDS)
                continue
            if verdict is not MachineVerdict.DONE:
                self._busy_until[machine.id] = steady_now() + BUSY_SECONDS
            return verdict, tries == 1

    # Upkeep.

    def _keep_waves(self) -> None:
        for number, wave in self._state.waves.items():
            if not wave.is_completed:
                self._keep_wave(number, wave)

    def _keep_wave(self, number: int, wave: Wave) -> None:
        down = 0
        for machine_id in wave.ordered:
            if machine_id in wave.finished:
                continue
            machine = self._machines.get(machine_id)
            acknowledged = self._acknowledged.get(machine_id)
            if machine is None and self._machines:
                self._finish(number, machine_id, "it is gone")
            elif (
                acknowledged is not None
                and self._read_at > acknowledged
                and machine.state is MachineState.UP
            ):
                self._finish(number, machine_id, "it is back")
            else:
                down += 1
                if (
                    machine is not None
                    and acknowledged is None
                    and self._is_ours(machine_id)
                ):
                    self._maintain_soon(number, machine)
        for machine_id in wave.machines:
            if self._machines and machine_id not in self._machines:
                self._finish(number, machine_id, "it is gone")
        self._choose(number, wave, down)

    def _finish(self, number: int, machine: MachineId, why: str) -> None:
        if machine in self._state.waves[number].finished:
            return
        logger.info(
            "upkeep finished",
            extra={"wave": number, "machine": machine, "why": why},
        )
        self._acknowledged.pop(machine, None)
        self._propose(FinishUpkeep(number, machine))

    def _choose(self, number: int, wave: Wave, down: int) -> None:
        steps = self._leader.lasting_steps()
        subjects = [
            subject
            for machine_id in wave.machines
            if (subject := self._subject(wave, machine_id)) is not None
        ]
        choice = choose(
            subjects,
            {place: presence for place, presence in steps.items()},
            down,
            wave.at_once,
            wall_now(),
            wave.deadline_at,
        )
        for machine_id in choice.empty + choice.begin:
            self._emptying.setdefault(machine_id, wall_now())
            self._leader.cordon(self._machines[machine_id].worker)
        for machine_id, place in choice.evacuate:
            self._leader.evacuate(self._machines[machine_id].worker, place)
        for machine_id in choice.begin:
            self._spawn(self._maintain(number, self._machines[machine_id]))

    def _subject(self, wave: Wave, machine_id: MachineId) -> Subject | None:
        machine = self._machines.get(machine_id)
        if (
            machine is None
            or not self._is_ours(machine_id)
            or machine_id in wave.ordered
            or machine_id in self._moving
            or machine.state is not MachineState.UP
            or self._busy_until.get(machine_id, 0) > steady_now()
        ):
            return None
        runs = self._leader.runs.on_worker(machine.worker)
        lasting: dict = {}
        short = 0
        for run in runs:
            if run.step.lasts:
                place = (run.job, run.key.occurrence, run.key.step)
                lasting[place] = lasting.get(place, 0) + 1
            else:
                short += 1
        load = self._leader.waiting_in(machine.pool)
        return Subject(
            machine_id,
            self._leader.is_idle(machine.worker),
            short,
            lasting,
            self._emptying.get(machine_id),
            load > 0,
        )

    def _maintain_soon(self, number: int, machine: Machine) -> None:
        """Order again what an earlier leader may have ordered."""
        if machine.id not in self._emptying:
            self._emptying[machine.id] = wall_now()
            self._spawn(self._maintain(number, machine, is_repeated=True))

    async def _maintain(
        self, number: int, machine: Machine, *, is_repeated: bool = False
    ) -> None:
        """Order a machine's upkeep.

        Args:
            number: Number of the wave.
            machine: Machine.
            is_repeated: Whether an earlier leader may have ordered it, so that
                its present worker may have begun after the upkeep.
        """
        life = self._leader.life_of(machine.worker)
        verdict, is_first = await self._order(
            machine,
            OrderUpkeep(number, machine.id, self._holder, 0.0),
            lambda token: self._client.maintain(
                machine.id, number, self._holder, token
            ),
        )
        logger.info(
            "upkeep ordered",
            extra={
                "wave": number,
                "machine": machine.id,
                "pool": machine.pool,
                "worker": machine.worker,
                "verdict": verdict.value,
            },
        )
        self._emptying.pop(machine.id, None)
        if machine.worker:
            self._leader.uncordon(machine.worker)
        if verdict is MachineVerdict.DONE:
            self._acknowledged[machine.id] = steady_now()
            if is_first and not is_repeated:
                self._leader.end_worker(life, "its machine is maintained")
        elif verdict is MachineVerdict.NOT_OF_WAVE:
            self._finish(number, machine.id, "the platform disowns it")

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._orders_open.add(task)
        task.add_done_callback(self._note_done)

    def _note_done(self, task: asyncio.Task) -> None:
        self._orders_open.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        if not isinstance(task.exception(), NotLeaderError):
            logger.error("order on a machine failed", exc_info=task.exception())
