"""Selection of the machines of a wave that are maintained next."""

import dataclasses
from collections.abc import Iterable

from galenarill.common import JobId, MachineId

__all__ = [
    "DisruptionBudget",
    "DueMachine",
    "StepKey",
    "WavePlan",
    "plan_wave",
]

# Duration of draining and maintaining one machine, in seconds.
MAINTENANCE_SECONDS = 4.0
# Share of the remaining time that is kept in reserve.
RESERVE_SHARE = 0.3
# How long a machine is cordoned before its finite runs may be interrupted, in
# seconds: longer than most tasks run.
CORDON_SECONDS = 3.0

StepKey = tuple[JobId, int, int]


@dataclasses.dataclass(slots=True)
class DisruptionBudget:
    """Disruption budget of a long-running step.

    Attributes:
        max_unavailable: Maximum number of tasks that may be unavailable at a
            time; 0 means that the job states no limit.
        unavailable: Number of tasks that are unavailable now.
    """

    max_unavailable: int
    unavailable: int

    def allows(self, count: int) -> bool:
        """Return whether `count` more tasks may be interrupted.

        A step without a limit is interrupted one task at a time.
        """
        return self.unavailable + count <= max(1, self.max_unavailable)


@dataclasses.dataclass(slots=True)
class DueMachine:
    """A machine that is due for maintenance.

    Attributes:
        machine: Machine.
        is_idle: Whether it has no runs.
        finite_runs: Number of its runs that end by themselves.
        long_running_tasks: Number of its long-running tasks that serve, by
            step. A step none of whose tasks serves has the number 0.
        cordoned_since: When it was cordoned, or None. A cordoned machine gets
            no new tasks.
        is_pool_short: Whether its pool is short of machines.
        is_ordered: Whether its maintenance was ordered already. It most likely
            began, so that the order only has to be confirmed.
    """

    machine: MachineId
    is_idle: bool
    finite_runs: int
    long_running_tasks: dict[StepKey, int]
    cordoned_since: float | None
    is_pool_short: bool
    is_ordered: bool = False


@dataclasses.dataclass(slots=True)
class WavePlan:
    """Next actions of a wave.

    Attributes:
        to_maintain: Machines whose maintenance starts now.
        to_cordon: Machines to cordon.
        evict: Pairs of a machine and a step of which one task is to be
            evicted from the machine.
    """

    to_maintain: list[MachineId] = dataclasses.field(default_factory=list)
    to_cordon: list[MachineId] = dataclasses.field(default_factory=list)
    evict: list[tuple[MachineId, StepKey]] = dataclasses.field(
        default_factory=list
    )


def plan_wave(
    due_machines: Iterable[DueMachine],
    steps: dict[StepKey, DisruptionBudget],
    down: int,
    max_machines_down: int,
    now: float,
    deadline: float,
) -> WavePlan:
    """Return the next actions of a wave.

    Idle machines are maintained first. Other machines are cordoned, and their
    maintenance starts once all their remaining tasks may be interrupted. Finite
    runs are interrupted only to meet the deadline, and only on a machine that
    has been cordoned for `CORDON_SECONDS`. A machine that was ordered already
    counts as down, and is ordered again without regard to its finite runs.

    Args:
        due_machines: Machines that are due and accept an order.
        steps: Disruption budgets of long-running steps; their `unavailable`
            grows with each interruption that is planned.
        down: Number of machines of the wave that are down for maintenance.
        max_machines_down: Maximum number of machines down at a time.
        now: Unix seconds.
        deadline: Unix seconds by which the wave should be completed.
    """
    plan = WavePlan()
    due_machines = sorted(due_machines, key=_maintenance_order)
    is_urgent = _is_urgent(len(due_machines), max_machines_down, now, deadline)
    free_slots = max_machines_down - down
    for due_machine in due_machines:
        if not due_machine.is_ordered:
            if free_slots <= 0:
                break
            if _waits_for_finite_runs(due_machine, now, is_urgent):
                if not due_machine.is_pool_short or is_urgent:
                    free_slots -= 1
                    if due_machine.cordoned_since is None:
                        plan.to_cordon.append(due_machine.machine)
                continue
            free_slots -= 1
        if all(
            steps[step].allows(count)
            for step, count in due_machine.long_running_tasks.items()
        ):
            for step, count in due_machine.long_running_tasks.items():
                steps[step].unavailable += count
            plan.to_maintain.append(due_machine.machine)
            continue
        if due_machine.cordoned_since is None:
            plan.to_cordon.append(due_machine.machine)
        for step, count in due_machine.long_running_tasks.items():
            if count > 1 and steps[step].allows(1):
                steps[step].unavailable += 1
                plan.evict.append((due_machine.machine, step))
    return plan


def _waits_for_finite_runs(
    due_machine: DueMachine, now: float, is_urgent: bool
) -> bool:
    if not due_machine.finite_runs:
        return False
    return not (
        is_urgent
        and due_machine.cordoned_since is not None
        and now >= due_machine.cordoned_since + CORDON_SECONDS
    )


def _maintenance_order(due_machine: DueMachine) -> tuple:
    return (
        not due_machine.is_ordered,
        due_machine.cordoned_since is None and not due_machine.is_idle,
        not due_machine.is_idle,
        due_machine.is_pool_short,
        sum(due_machine.long_running_tasks.values()),
        due_machine.finite_runs,
        due_machine.machine,
    )


def _is_urgent(
    remaining: int, max_machines_down: int, now: float, deadline: float
) -> bool:
    rounds = -(-remaining // max(1, max_machines_down))
    needed_seconds = rounds * MAINTENANCE_SECONDS
    return (
        now + needed_seconds / (1 - RESERVE_SHARE) + MAINTENANCE_SECONDS
        > deadline
    )
