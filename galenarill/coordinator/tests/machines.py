"""Simulated machines under the control of a simulated leader."""

import asyncio
import random

from galenarill.coordinator.fleet import Fleet
from galenarill.coordinator.machines import manage_machines
from galenarill.coordinator.moves import PoolRebalancer
from galenarill.coordinator.tests.audit import DisruptionAudit
from galenarill.coordinator.waves import WaveRunner
from galenarill.jobs import StartWave
from galenarill.pools import (
    Machine,
    MachineClient,
    MachineList,
    MachineState,
    MachineVerdict,
)
from galenarill.routing import Resources

__all__ = ["Machines", "start_machine_task", "start_wave", "take_over"]

# Range of the time after which a late order is carried out, in seconds.
LATE_SECONDS = (2.0, 12.0)
CALL_TIMEOUT_SECONDS = 1.5


class Machines(MachineClient):
    """Machines that carry out orders and are then down for a time.

    Attributes:
        machines: Machines as the platform lists them, by name.
        orders: Kind, machine, destination or wave, token and time of each
            order.
        carried_out: Machine and wave of each maintenance carried out.
        most_down: Most machines that were down for maintenance at a time.
        refusals: Answers to the next orders, which have no effect.
        answers: Answers to the orders carried out next, instead of `DONE`.
        delay_seconds: Time from an order until it is carried out.
        lateness: Share of orders that get no answer and are carried out late.
        loss: Share of answers that are lost.
        down_seconds: Time for which a machine is down.
        unreadable: Machines whose entries in the list can't be read.
        audit: Check of what orders end.
    """

    def __init__(self, simulation, pools, down_seconds=2.0):
        """Create machines in the pools that `pools` names for each."""
        self.machines = {}
        self.orders = []
        self.carried_out = set()
        self.most_down = 0
        self.refusals = []
        self.answers = []
        self.delay_seconds = 0.0
        self.lateness = 0.0
        self.loss = 0.0
        self.down_seconds = down_seconds
        self.unreadable = set()
        self.audit = DisruptionAudit(simulation)
        self._simulation = simulation
        self._rng = random.Random(len(pools))
        self._highest_token = {}
        self._in_progress = set()
        for name, pool in pools.items():
            worker = "" if pool == "spare" else f"{name}-worker"
            self.set(name, pool, MachineState.UP, worker)

    @property
    def maintained(self):
        """Names of the machines that were maintained."""
        return {machine for machine, _ in self.carried_out}

    def set(self, name, pool, state, worker):
        """Set what the platform lists of a machine."""
        self.machines[name] = Machine(
            name,
            pool,
            state,
            "r1",
            "a",
            Resources(4, 1000),
            worker,
            self._simulation.network.zones.get(f"{name}-worker", "a"),
        )

    async def list(self):
        """Return all machines."""
        await asyncio.sleep(0.01)
        return MachineList(
            [m for m in self.machines.values() if m.id not in self.unreadable],
            frozenset(self.unreadable),
        )

    async def move(self, machine, pool, holder, token):
        """Move a machine to a pool."""
        return await self._order("move", machine, pool, token)

    async def maintain(self, machine, wave, holder, token):
        """Maintain a machine for a wave."""
        return await self._order("maintain", machine, wave, token)

    async def _order(self, kind, machine, target, token):
        now = self._simulation.loop.time()
        self.orders.append((kind, machine, target, token, now))
        if self.refusals:
            await asyncio.sleep(0.01)
            return self.refusals.pop(0)
        is_late = self._rng.random() < self.lateness
        seconds = (
            self._rng.uniform(*LATE_SECONDS) if is_late else self.delay_seconds
        )
        # The platform goes on when the caller no longer waits.
        execution = asyncio.ensure_future(
            self._execute(kind, machine, target, token, seconds, is_late)
        )
        self._in_progress.add(execution)
        execution.add_done_callback(self._in_progress.discard)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                verdict = await asyncio.shield(execution)
        except TimeoutError:
            return MachineVerdict.NO_ANSWER
        if self._rng.random() < self.loss:
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            return MachineVerdict.NO_ANSWER
        return verdict

    async def _execute(self, kind, machine, target, token, seconds, is_late):
        await asyncio.sleep(seconds)
        if token < self._highest_token.get(machine, 0):
            return MachineVerdict.FENCED
        self._highest_token[machine] = token
        now = self.machines[machine]
        if kind == "maintain":
            if (machine, target) in self.carried_out:
                return MachineVerdict.DONE
            if now.state is not MachineState.UP:
                return MachineVerdict.BUSY
            self.carried_out.add((machine, target))
            pool, state = now.pool, MachineState.MAINTENANCE
        else:
            if now.pool == target:
                return MachineVerdict.DONE
            if now.state is not MachineState.UP:
                return MachineVerdict.BUSY
            pool, state = target, MachineState.MOVING
        return await self._carry_out(kind, machine, pool, state, is_late)

    async def _carry_out(self, kind, machine, pool, state, is_late):
        self.end_worker(machine, kind, is_late)
        self.set(machine, pool, state, "")
        down = [
            m
            for m in self.machines.values()
            if m.state is MachineState.MAINTENANCE
        ]
        self.most_down = max(self.most_down, len(down))
        asyncio.get_running_loop().call_later(
            self.down_seconds, self.come_back, machine, pool
        )
        await asyncio.sleep(0.01)
        return self.answers.pop(0) if self.answers else MachineVerdict.DONE

    def end_worker(self, machine, cause="", is_late=False):
        """End the worker of a machine, by an order if `cause` names one."""
        for worker in list(self._simulation.network.workers.values()):
            if worker.is_alive and worker.report.machine == machine:
                if cause:
                    self.audit.note_machine_order(worker, cause, is_late)
                worker.crash()

    def lose(self, machine, seconds=None):
        """Lose a machine without an order, for good or for some seconds."""
        if self.machines[machine].state is not MachineState.UP:
            return
        self.end_worker(machine)
        pool = self.machines[machine].pool
        self.set(machine, pool, MachineState.DOWN, "")
        if seconds is not None:
            asyncio.get_running_loop().call_later(
                seconds, self.come_back, machine, pool
            )

    def come_back(self, machine, pool):
        """Start the next worker of a machine, which reports at once."""
        worker = "" if pool == "spare" else f"{machine}-worker"
        self.set(machine, pool, MachineState.UP, worker)
        if worker:
            self._simulation.report(
                self._simulation.network.add(worker, pool, machine=machine)
            )


def start_machine_task(simulation, machines):
    """Start the machine control loop of the current leader."""
    term = simulation.term

    def propose(*commands):
        return simulation.propose(term, *commands)

    fleet = Fleet(
        term,
        simulation.state,
        machines,
        propose,
        lambda: simulation.term == term,
        f"c{term}",
        3.0,
    )
    leader, state = simulation.leader, simulation.state
    simulation.fleet = fleet
    leader.disruptions.watch(fleet)
    simulation.machine_task = asyncio.ensure_future(
        manage_machines(
            fleet,
            PoolRebalancer(leader, state, fleet),
            WaveRunner(leader, state, fleet, propose),
        )
    )


def start_wave(simulation, machines, max_machines_down, seconds=60.0, wave=1):
    """Start a maintenance wave."""
    simulation.call(
        simulation.apply,
        [
            StartWave(
                wave,
                tuple(machines),
                max_machines_down,
                simulation.loop.time() + seconds,
            )
        ],
    )


def take_over(simulation, machines):
    """Replace the leader and its machine control loop at one moment."""

    async def replace():
        simulation.machine_task.cancel()
        simulation.start_term()
        start_machine_task(simulation, machines)

    simulation.run(replace())
