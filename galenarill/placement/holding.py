"""Workers held free for long-running tasks that fit nowhere."""

from collections.abc import Hashable, Iterable, Mapping

from galenarill.common import PoolId, WorkerId
from galenarill.placement.plan import (
    AvailableWorker,
    Candidate,
    is_eligible,
)
from galenarill.routing import Resources

__all__ = ["choose_workers_to_hold"]


def choose_workers_to_hold(
    waiting: Iterable[tuple[Hashable, Candidate]],
    available: dict[PoolId, list[AvailableWorker]],
    releasable: Mapping[WorkerId, Resources],
    held: Mapping[Hashable, WorkerId],
) -> dict[Hashable, WorkerId]:
    """Return a worker to hold for each waiting task for which there is one.

    A held worker gets no more finite tasks, so that the long-running task fits
    when those on it have ended. This answers the load of a full pool in which
    small finite tasks take each piece of capacity as soon as it is free, and a
    long-running task that needs most of a worker never finds one.

    Args:
        waiting: Id and candidate of each long-running task that has waited for
            a while.
        available: Workers by pool, with the capacity that is free after all
            placements.
        releasable: Capacity that finite runs will release, by worker.
        held: Workers held until now, by the id of the task.
    """
    chosen: dict[Hashable, WorkerId] = {}
    for task_id, candidate in waiting:
        need = candidate.step.reserved
        suitable = [
            available_worker
            for available_worker in available.get(candidate.pool, [])
            if not available_worker.is_suspect
            and is_eligible(candidate, available_worker)
            and available_worker.report.worker not in chosen.values()
            and need.fits(
                available_worker.free.plus(
                    releasable.get(available_worker.report.worker, Resources())
                )
            )
        ]
        best = min(
            suitable,
            key=lambda w: (
                w.report.worker != held.get(task_id),
                _missing_share(need, w.free),
                w.report.worker,
            ),
            default=None,
        )
        if best is not None:
            chosen[task_id] = best.report.worker
    return chosen


def _missing_share(need: Resources, free: Resources) -> float:
    """Return the largest share of a needed resource that isn't free yet."""
    return max(
        (
            (amount - available) / amount
            for amount, available in (
                (need.cpu, free.cpu),
                (need.mem_mb, free.mem_mb),
                (need.gpu, free.gpu),
            )
            if amount
        ),
        default=0.0,
    )
