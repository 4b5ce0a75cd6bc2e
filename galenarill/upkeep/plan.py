"""Which machines of a wave come next."""

import dataclasses
from collections.abc import Iterable

from galenarill.world import JobId, MachineId

__all__ = ["StepPresence", "Subject", "Choice", "choose"]

# Time of one upkeep with emptying the machine before, in seconds.
ROUND_SECONDS = 4.0
# Share of the time left that is kept in reserve.
RESERVE = 0.3
# How long a machine is kept free of new tasks before it is interrupted, in
# seconds: longer than most tasks run.
EMPTYING_SECONDS = 3.0

StepPlace = tuple[JobId, int, int]


@dataclasses.dataclass(slots=True)
class StepPresence:
    """Tasks of a step that lasts.

    Attributes:
        may_miss: Tasks that may be away at a time; 0 means no promise.
        away: Tasks that are not at work now.
    """

    may_miss: int
    away: int

    def allows(self, count: int) -> bool:
        """Tell whether `count` more may be interrupted.

        Without a promise, one at a time is interrupted all the same.
        """
        return self.away + count <= max(1, self.may_miss)


@dataclasses.dataclass(slots=True)
class Subject:
    """A machine that is due.

    Attributes:
        machine: Machine.
        is_idle: Whether it runs nothing.
        short_runs: Runs on it that end by themselves.
        lasting: Tasks on it that last, by step.
        emptying_since: When new tasks were first kept away, or None.
        is_wanted: Whether its pool is short of machines.
    """

    machine: MachineId
    is_idle: bool
    short_runs: int
    lasting: dict[StepPlace, int]
    emptying_since: float | None
    is_wanted: bool


@dataclasses.dataclass(slots=True)
class Choice:
    """What to do next for a wave.

    Attributes:
        begin: Machines whose upkeep begins now.
        empty: Machines that get no new tasks from now on.
        evacuate: Machines, and steps of which one task is to leave each.
    """

    begin: list[MachineId] = dataclasses.field(default_factory=list)
    empty: list[MachineId] = dataclasses.field(default_factory=list)
    evacuate: list[tuple[MachineId, StepPlace]] = dataclasses.field(
        default_factory=list
    )


def choose(
    subjects: Iterable[Subject],
    steps: dict[StepPlace, StepPresence],
    down: int,
    at_once: int,
    now: float,
    deadline: float,
) -> Choice:
    """Choose the machines of a wave that come next.

    Idle machines go first. Others are kept free of new tasks, and begin once
    only tasks remain that may be interrupted.

    Args:
        subjects: Machines that are due and can be ordered.
        steps: Steps that last; `away` rises with what is chosen.
        down: Machines of the wave that are down for their upkeep.
        at_once: Most machines down at a time.
        now: Unix seconds.
        deadline: Unix seconds by which the wave should be done.
    """
    choice = Choice()
    subjects = sorted(subjects, key=_effort)
    is_urgent = _is_urgent(len(subjects), at_once, now, deadline)
    places = at_once - down
    for subject in subjects:
        if places <= 0:
            break
        if subject.is_wanted and subject.short_runs and not is_urgent:
            continue
        waited = (
            subject.emptying_since is not None
            and now >= subject.emptying_since + EMPTYING_SECONDS
        )
        if subject.short_runs and not (waited and is_urgent):
            if subject.emptying_since is None:
                choice.empty.append(subject.machine)
            places -= 1
            continue
        places -= 1
        if all(
            steps[step].allows(count) for step, count in subject.lasting.items()
        ):
            for step, count in subject.lasting.items():
                steps[step].away += count
            choice.begin.append(subject.machine)
            continue
        if subject.emptying_since is None:
            choice.empty.append(subject.machine)
        for step, count in subject.lasting.items():
            if count > 1 and steps[step].allows(1):
                steps[step].away += 1
                choice.evacuate.append((subject.machine, step))
    return choice


def _effort(subject: Subject) -> tuple:
    return (
        subject.emptying_since is None and not subject.is_idle,
        not subject.is_idle,
        subject.is_wanted,
        sum(subject.lasting.values()),
        subject.short_runs,
        subject.machine,
    )


def _is_urgent(left: int, at_once: int, now: float, deadline: float) -> bool:
    rounds = -(-left // max(1, at_once))
    needed = rounds * ROUND_SECONDS
    return now + needed / (1 - RESERVE) + ROUND_SECONDS > deadline
