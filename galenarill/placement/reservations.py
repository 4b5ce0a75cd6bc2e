"""Reservations of capacity for tasks that have waited for a while."""

import bisect
import collections
import dataclasses
import math
import sys
from collections.abc import Collection, Iterable

from galenarill.common import PoolId, WorkerId
from galenarill.jobs import GANG
from galenarill.placement.horizon import Horizon
from galenarill.placement.plan import (
    AvailableWorker,
    Candidate,
    assign_workers,
    is_eligible,
    prefer_healthy,
)
from galenarill.placement.reservation_book import Reservation, StepId

__all__ = ["choose_reservations"]

# By how much earlier a task must fit on another worker for its reservation to
# move there, in seconds. Expected ends vary by this much between readings.
MOVE_GAIN_SECONDS = 0.25


def choose_reservations(
    waiting: Iterable[Candidate],
    available: dict[PoolId, list[AvailableWorker]],
    horizon: Horizon,
    previous: Collection[tuple[StepId, WorkerId]] = (),
    limit: int = sys.maxsize,
) -> list[Reservation]:
    """Reserve for each task the worker on which it fits earliest.

    This answers the load of a pool in which small tasks take each piece of
    capacity as soon as it is free, so that a large task, a gang or a
    long-running task never finds enough on one worker. Capacity that is free
    until the reservation begins stays usable for tasks that end before.

    Args:
        waiting: Tasks and gangs that have waited for a while, the first one
            first.
        available: Workers that accept starts, by pool.
        horizon: Expected capacity of these workers; updated with what is
            reserved.
        previous: Step and worker of the reservations made before. A task keeps
            its worker unless it fits considerably earlier on another one.
        limit: Most tasks and gangs that get a reservation. Those after the last
            of them are not looked at.

    Returns:
        The reservations, several for a gang. Tasks that fit on no worker even
        when its finite runs have ended get none.
    """
    reservations: list[Reservation] = []
    healthy: dict[PoolId, list[AvailableWorker]] = {}
    # Tasks of each step by worker, with those that have a reservation.
    siblings: dict[StepId, dict[WorkerId, int]] = {}
    reserved = 0
    for waiting_task in waiting:
        candidate = dataclasses.replace(
            waiting_task,
            siblings=siblings.setdefault(
                waiting_task.step_id, dict(waiting_task.siblings)
            ),
        )
        pool = candidate.pool
        if pool not in healthy:
            healthy[pool] = prefer_healthy(available.get(pool, []))
        if candidate.key.index == GANG:
            chosen = _choose_for_gang(candidate, healthy[pool], horizon)
        else:
            chosen = _choose_for_task(
                candidate, healthy[pool], horizon, previous
            )
        if chosen is None:
            continue
        begins_at, workers = chosen
        counts = collections.Counter(w.report.worker for w in workers)
        by_id = {w.report.worker: w for w in workers}
        for worker, count in counts.items():
            need = candidate.step.reserved.times(count)
            candidate.siblings[worker] = (
                candidate.siblings.get(worker, 0) + count
            )
            horizon.reserve(by_id[worker], need)
            reservations.append(
                Reservation(
                    candidate.step_id,
                    worker,
                    need,
                    begins_at,
                    horizon.free_at(by_id[worker], begins_at),
                )
            )
        reserved += 1
        if reserved == limit:
            break
    return reservations


def _choose_for_task(
    candidate: Candidate,
    available: list[AvailableWorker],
    horizon: Horizon,
    previous: Collection[tuple[StepId, WorkerId]],
) -> tuple[float, list[AvailableWorker]] | None:
    """Return the earliest time, and the worker on which the task fits then."""
    need = candidate.step.reserved
    best, best_key = None, None
    for available_worker in available:
        if not is_eligible(candidate, available_worker):
            continue
        begins_at = horizon.fits_at(available_worker, need)
        if begins_at == math.inf:
            continue
        worker = available_worker.report.worker
        is_previous = (candidate.step_id, worker) in previous
        key = (
            worker in candidate.avoided,
            begins_at - (MOVE_GAIN_SECONDS if is_previous else 0.0),
            worker,
        )
        if best is None or key < best_key:
            best, best_key = (begins_at, [available_worker]), key
    return best


def _choose_for_gang(
    candidate: Candidate, available: list[AvailableWorker], horizon: Horizon
) -> tuple[float, list[AvailableWorker]] | None:
    """Return the earliest time, and the workers on which the gang fits then."""
    members = [w for w in available if is_eligible(candidate, w)]
    times = sorted({at for w in members for at in horizon.times(w)})

    def assign(at: float) -> list[AvailableWorker] | None:
        expected = [
            AvailableWorker(w.report, horizon.free_at(w, at)) for w in members
        ]
        return assign_workers(candidate, candidate.step.count, expected)

    # Free capacity only grows with time, so the gang goes on to fit.
    position = bisect.bisect_left(
        times, True, key=lambda at: assign(at) is not None
    )
    if position == len(times):
        return None
    by_id = {w.report.worker: w for w in members}
    chosen = assign(times[position])
    return times[position], [by_id[w.report.worker] for w in chosen]
