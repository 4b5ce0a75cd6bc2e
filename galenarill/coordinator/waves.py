"""Carries out maintenance waves."""

import logging
from collections.abc import Callable

from galenarill.common import MachineId, WorkerId, monotonic_now, wall_now
from galenarill.coordinator.cordons import CordonReason
from galenarill.coordinator.fleet import Fleet
from galenarill.coordinator.guards import BudgetGuard
from galenarill.coordinator.leader import Leader
from galenarill.jobs import ClusterState, FinishMaintenance, Wave
from galenarill.maintenance_waves import (
    DisruptionBudget,
    DueMachine,
    StepKey,
    plan_wave,
)
from galenarill.pools import Machine, MachineState, MachineVerdict

__all__ = ["WaveRunner"]

logger = logging.getLogger(__name__)


class WaveRunner:
    """Maintains machines within wave limits and disruption budgets."""

    def __init__(
        self,
        leader: Leader,
        state: ClusterState,
        fleet: Fleet,
        propose: Callable,
    ):
        """Create a runner for machines of `fleet`.

        Args:
            leader: Scheduler of the term.
            state: Replicated state.
            fleet: Machines and orders on them.
            propose: Proposes commands, and returns a future of their commit.
        """
        self._leader = leader
        self._state = state
        self._fleet = fleet
        self._propose = propose
        # Machines with a maintenance order in flight, and the worker that it
        # ends. The order may not be committed yet.
        self._orders_in_flight: dict[MachineId, WorkerId] = {}
        # When the order of each wave and machine was acknowledged, on the
        # monotonic clock.
        self._acknowledged_at: dict[tuple[int, MachineId], float] = {}
        # Finished maintenance whose commit may still be pending.
        self._finished: set[tuple[int, MachineId]] = set()

    @property
    def has_open_waves(self) -> bool:
        """Whether any wave is incomplete."""
        return any(not wave.is_completed for wave in self._state.waves.values())

    def advance(self) -> None:
        """Record returned machines, and order the maintenance due now."""
        self._finished = {
            (number, machine)
            for number, machine in self._finished
            if machine not in self._state.waves[number].finished
        }
        for number, wave in self._state.waves.items():
            if not wave.is_completed and self._fleet.machines:
                self._finish_returned(number, wave)
                self._order_due(number, wave)

    def _finish_returned(self, number: int, wave: Wave) -> None:
        for machine_id in wave.machines:
            machine = self._fleet.machines.get(machine_id)
            acknowledged_at = self._acknowledged_at.get((number, machine_id))
            if self._is_finished(number, wave, machine_id):
                continue
            if self._fleet.is_gone(machine_id):
                self._finish(number, machine_id, "it is gone")
            elif (
                machine is not None
                and acknowledged_at is not None
                and self._fleet.read_at > acknowledged_at
                and machine.state is MachineState.UP
            ):
                self._finish(number, machine_id, "it is back")

    def _is_finished(self, number: int, wave: Wave, machine: MachineId) -> bool:
        return machine in wave.finished or (number, machine) in self._finished

    def _finish(self, number: int, machine: MachineId, why: str) -> None:
        logger.info(
            "upkeep finished",
            extra={"wave": number, "machine": machine, "why": why},
        )
        self._finished.add((number, machine))
        self._acknowledged_at.pop((number, machine), None)
        self._fleet.cordoned_since.pop(machine, None)
        self._leader.uncordon(machine, CordonReason.MAINTENANCE)
        self._propose(FinishMaintenance(number, machine))

    def _order_due(self, number: int, wave: Wave) -> None:
        pending = wave.ordered.keys() - wave.finished
        down = len(pending | self._orders_in_flight.keys() & set(wave.machines))
        budgets = self._leader.disruptions.budgets(
            frozenset(self._orders_in_flight.values())
        )
        workers_by_machine = self._leader.workers_by_machine()
        due_machines = [
            self._due_machine(wave, machine, budgets, workers_by_machine)
            for machine in map(self._fleet.machines.get, wave.machines)
            if machine is not None and self._may_order(number, wave, machine)
        ]
        wave_plan = plan_wave(
            due_machines,
            budgets,
            down,
            wave.max_machines_down,
            wall_now(),
            wave.deadline_at,
        )
        machines = self._fleet.machines
        for machine_id in wave_plan.to_cordon + wave_plan.to_maintain:
            self._fleet.cordoned_since.setdefault(machine_id, wall_now())
            self._leader.cordon(machine_id, CordonReason.MAINTENANCE)
        for machine_id, step_key in wave_plan.evict:
            self._leader.evict(machines[machine_id], step_key)
        for machine_id in wave_plan.to_maintain:
            self._start_order(
                number,
                machines[machine_id],
                is_repeated=machine_id in wave.ordered,
            )

    def _may_order(self, number: int, wave: Wave, machine: Machine) -> bool:
        """Return whether a machine is due and an order can be given now.

        An order that was refused or deferred, or sent by an earlier leader, is
        repeated: it may never have been carried out.
        """
        if (
            self._is_finished(number, wave, machine.id)
            or machine.id in self._orders_in_flight
            or (number, machine.id) in self._acknowledged_at
        ):
            return False
        if machine.id in wave.ordered:
            return self._fleet.may_repeat_order(machine.id)
        return self._fleet.is_orderable(machine)

    def _due_machine(
        self,
        wave: Wave,
        machine: Machine,
        budgets: dict[StepKey, DisruptionBudget],
        workers_by_machine: dict[MachineId, set[WorkerId]],
    ) -> DueMachine:
        workers = {*workers_by_machine.get(machine.id, ()), machine.worker}
        serving: dict[StepKey, int] = {}
        finite_runs = 0
        for worker in workers:
            for run in self._leader.runs.on_worker(worker):
                if not run.step.is_long_running:
                    finite_runs += 1
                elif run.step_key in budgets:
                    is_serving = self._leader.disruptions.is_serving(run)
                    serving[run.step_key] = (
                        serving.get(run.step_key, 0) + is_serving
                    )
        return DueMachine(
            machine.id,
            all(self._leader.is_idle(worker) for worker in workers),
            finite_runs,
            serving,
            self._fleet.cordoned_since.get(machine.id),
            self._leader.unplaced_count(machine.pool) > 0,
            machine.id in wave.ordered,
        )

    def _start_order(
        self, number: int, machine: Machine, *, is_repeated: bool
    ) -> None:
        self._orders_in_flight[machine.id] = machine.worker
        self._fleet.spawn(self._maintain(number, machine, is_repeated))

    async def _maintain(
        self, number: int, machine: Machine, is_repeated: bool
    ) -> None:
        """Order the maintenance of a machine.

        Args:
            number: Number of the wave.
            machine: Machine.
            is_repeated: Whether it may have been ordered before. The current
                worker may then have started after the maintenance.
        """
        incarnation = self._leader.incarnation_of(machine.worker)
        try:
            verdict, is_first = await self._fleet.maintain(
                machine.id,
                number,
                BudgetGuard(self._leader, machine),
            )
        finally:
            del self._orders_in_flight[machine.id]
            self._fleet.cordoned_since.pop(machine.id, None)
            self._leader.uncordon(machine.id, CordonReason.MAINTENANCE)
        logger.info(
            "upkeep ordered",
            extra={
                "wave": number,
                "machine": machine.id,
                "pool": machine.pool,
                "worker": machine.worker,
                "verdict": verdict.value,
                "repeated": is_repeated,
            },
        )
        if verdict is MachineVerdict.DONE:
            self._acknowledged_at[number, machine.id] = monotonic_now()
            if is_first and not is_repeated:
                self._leader.end_incarnation(
                    incarnation, "its machine is maintained"
                )
        elif verdict is MachineVerdict.NOT_OF_WAVE:
            self._finish(number, machine.id, "the platform disowns it")
