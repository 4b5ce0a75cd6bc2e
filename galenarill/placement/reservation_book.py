"""Reservations of one round, and which other tasks they admit."""

import dataclasses
from collections.abc import Iterable

from galenarill.common import JobId, WorkerId
from galenarill.routing import Resources

__all__ = ["StepId", "Reservation", "ReservationBook"]

# Job, occurrence and step. Tasks of a step differ by their index only, so that
# each may use the reservation of another.
StepId = tuple[JobId, int, int]


@dataclasses.dataclass(slots=True)
class Reservation:
    """Capacity of a worker that is kept for a waiting task or gang.

    Attributes:
        owner: Step of the task.
        worker: Worker.
        need: Capacity for the task, or for the members of a gang.
        begins_at: When the task will probably fit, on the monotonic clock.
        spare: Capacity beside `need` and earlier reservations from `begins_at`
            on. Tasks that end later may use it.
    """

    owner: StepId
    worker: WorkerId
    need: Resources
    begins_at: float
    spare: Resources


class ReservationBook:
    """Reservations, in the order in which they were made."""

    def __init__(self, reservations: Iterable[Reservation] = ()):
        """Create a book; the packing of a round updates it."""
        self._by_worker: dict[WorkerId, list[Reservation]] = {}
        self._by_owner: dict[StepId, list[Reservation]] = {}
        for reservation in reservations:
            self._by_worker.setdefault(reservation.worker, []).append(
                reservation
            )
            self._by_owner.setdefault(reservation.owner, []).append(reservation)

    def __len__(self) -> int:
        """Return the number of reservations."""
        return sum(map(len, self._by_owner.values()))

    def __contains__(self, reservation: Reservation) -> bool:
        """Return whether a reservation has not been used."""
        return any(
            reservation is other
            for other in self._by_owner.get(reservation.owner, ())
        )

    def has_owner(self, owner: StepId | None) -> bool:
        """Return whether a step has a reservation."""
        return owner in self._by_owner

    def admits(
        self,
        worker: WorkerId,
        need: Resources,
        ends_at: float,
        owner: StepId | None,
    ) -> bool:
        """Return whether a task may be placed on a worker.

        Args:
            worker: Worker.
            need: Capacity that the task reserves.
            ends_at: Its expected end, on the monotonic clock.
            owner: Its step. A reservation of this step and those made after it
                on the worker leave room for the task.
        """
        for reservation in self._by_worker.get(worker, ()):
            if reservation.owner == owner:
                break
            if ends_at > reservation.begins_at and not need.fits(
                reservation.spare
            ):
                return False
        return True

    def record_placement(
        self,
        workers: Iterable[WorkerId],
        need: Resources,
        ends_at: float,
        owner: StepId,
    ) -> bool:
        """Record a placed task or gang.

        Args:
            workers: Worker of each member.
            need: Capacity that each member reserves.
            ends_at: Expected end.
            owner: Step of the task.

        Returns:
            Whether it used reservations, which are removed.
        """
        workers = list(workers)
        for worker in workers:
            for reservation in self._by_worker.get(worker, ()):
                if reservation.owner == owner:
                    break
                if ends_at > reservation.begins_at:
                    reservation.spare = reservation.spare.minus(need)
        own = self._by_owner.get(owner)
        if own is None:
            return False
        # A task placed elsewhere gives up the step's last reservation.
        used = (
            own[:]
            if len(workers) > 1
            else [next((r for r in own if r.worker == workers[0]), own[-1])]
        )
        for reservation in used:
            own.remove(reservation)
            self._by_worker[reservation.worker].remove(reservation)
        if not own:
            del self._by_owner[owner]
        return True
