"""Preemption of runs in favor of more urgent tasks."""

import dataclasses
from collections.abc import Hashable, Iterable

from galenarill.common import PoolId, TeamId, WorkerId
from galenarill.jobs import GANG
from galenarill.placement.plan import (
    AvailableWorker,
    Candidate,
    is_eligible,
)
from galenarill.placement.quota import Quota
from galenarill.routing import Resources

__all__ = ["ActiveRun", "Preemption", "choose_victims"]


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run that reserves capacity on a worker.

    Attributes:
        run: Caller's identifier of the run.
        priority: Priority of its queue; 0 is the most urgent.
        reserved: Capacity that it reserves.
        lost_seconds: Work that would have to be repeated, in seconds.
        is_stopping: Whether it is already being stopped.
        is_preemptible: Whether it may be preempted.
    """

    run: Hashable
    priority: int
    reserved: Resources
    lost_seconds: float = 0.0
    is_stopping: bool = False
    is_preemptible: bool = True


@dataclasses.dataclass(slots=True)
class Preemption:
    """Runs to preempt, and the tasks that get room by it.

    Attributes:
        victims: Runs to preempt.
        helped: Tasks that fit on a worker once these, and runs that are being
            stopped already, have ended.
    """

    victims: list[ActiveRun]
    helped: list[Candidate]


def choose_victims(
    waiting: Iterable[tuple[Candidate, int]],
    available: dict[PoolId, list[AvailableWorker]],
    quotas: dict[TeamId, Quota],
    active_runs: dict[WorkerId, list[ActiveRun]],
) -> Preemption:
    """Choose the runs to preempt.

    Only runs of less urgent queues are preempted, on the worker where the
    least work is lost. Nothing is preempted on a worker where runs that are
    already stopping release enough capacity.

    Args:
        waiting: Tasks that found no worker, with the priority of their queue,
            the most urgent first. Gangs are skipped.
        available: Workers by pool, with the capacity that is free after all
            placements.
        quotas: Quotas by tenant; their usage is updated with the tasks that
            are to start.
        active_runs: Runs by worker.
    """
    free = {
        available_worker.report.worker: available_worker.free.plus(
            _releasing_capacity(active_runs, available_worker)
        )
        for members in available.values()
        for available_worker in members
    }
    victims: list[ActiveRun] = []
    victims_by_worker: dict[WorkerId, list[ActiveRun]] = {}
    helped: list[Candidate] = []
    for candidate, priority in waiting:
        need = candidate.step.reserved
        quota = quotas.get(candidate.tenant)
        if candidate.key.index == GANG or (
            quota is not None and not quota.allows(candidate.step)
        ):
            continue
        choices = []
        for available_worker in available.get(candidate.pool, []):
            worker = available_worker.report.worker
            if available_worker.is_suspect or not is_eligible(
                candidate, available_worker
            ):
                continue
            chosen = _select_victims(
                need,
                free[worker],
                [
                    active_run
                    for active_run in active_runs.get(worker, [])
                    if active_run.is_preemptible
                    and not active_run.is_stopping
                    and active_run.priority > priority
                    and active_run not in victims
                ],
            )
            if chosen is not None:
                lost = sum(o.lost_seconds * o.reserved.cpu for o in chosen)
                choices.append((lost, worker, chosen))
        if not choices:
            continue
        _, worker, chosen = min(choices, key=lambda choice: choice[:2])
        victims += chosen
        victims_by_worker.setdefault(worker, []).extend(chosen)
        helped.append(candidate)
        for active_run in chosen:
            free[worker] = free[worker].plus(active_run.reserved)
        free[worker] = free[worker].minus(need)
        candidate.siblings[worker] = candidate.siblings.get(worker, 0) + 1
        if quota is not None:
            quota.add(candidate.step)
    # The victims of one task may free enough capacity for another.
    unnecessary = [
        active_run
        for worker, chosen in victims_by_worker.items()
        for active_run in _unnecessary_victims(chosen, free[worker])
    ]
    return Preemption(
        [victim for victim in victims if victim not in unnecessary], helped
    )


def _releasing_capacity(
    active_runs: dict[WorkerId, list[ActiveRun]],
    available_worker: AvailableWorker,
) -> Resources:
    """Return the capacity that runs already being stopped will release."""
    total = Resources()
    for active_run in active_runs.get(available_worker.report.worker, []):
        if active_run.is_stopping:
            total = total.plus(active_run.reserved)
    return total


def _select_victims(
    need: Resources, free: Resources, active_runs: list[ActiveRun]
) -> list[ActiveRun] | None:
    """Return the runs to stop so that `need` fits, or None if it cannot fit.

    Prefers the least urgent runs, then those that lose the least work. A run
    that turns out to be unnecessary beside later choices goes on.
    """
    chosen: list[ActiveRun] = []
    for active_run in sorted(active_runs, key=_preemption_order):
        if need.fits(free):
            break
        chosen.append(active_run)
        free = free.plus(active_run.reserved)
    if not need.fits(free):
        return None
    unnecessary = _unnecessary_victims(chosen, free.minus(need))
    return [o for o in chosen if o not in unnecessary]


def _unnecessary_victims(
    victims: list[ActiveRun], spare: Resources
) -> list[ActiveRun]:
    """Return the victims whose capacity is not needed, the most urgent first.

    Args:
        victims: Runs to be stopped on one worker.
        spare: Capacity that is left once they have ended and the tasks that
            they are stopped for have started.
    """
    unnecessary = []
    for victim in sorted(victims, key=_preemption_order)[::-1]:
        if victim.reserved.fits(spare):
            unnecessary.append(victim)
            spare = spare.minus(victim.reserved)
    return unnecessary


def _preemption_order(active_run: ActiveRun) -> tuple[int, float]:
    return -active_run.priority, active_run.lost_seconds
