"""Status reports of workers."""

import msgspec

from galenarill.common import (
    AvailabilityZoneId,
    MachineId,
    PoolId,
    RackId,
    WorkerId,
    wall_now,
)
from galenarill.routing import Resources

__all__ = ["WorkerReport", "begins_in_future"]

# Largest error of a worker's clock against ours, in seconds. An incarnation
# beyond it would replace the real one of its id for good.
MAX_CLOCK_ERROR_SECONDS = 86400.0


class WorkerReport(msgspec.Struct, frozen=True, array_like=True):
    """Status report of a worker.

    Attributes:
        worker: Id, which a later incarnation may share.
        born: Start of this incarnation, Unix milliseconds.
        sequence: Number that increases with each report of this incarnation.
        pool: Pool that it belongs to.
        machine: Machine that it runs on, or "" if not reported.
        address: `host:port` for orders.
        zone: Availability zone.
        rack: Rack, or "".
        labels: Labels, including the rack.
        capacity: Total capacity.
        is_draining: Whether it is about to leave.
        remaining_ms: Minimum time left to a draining worker, in milliseconds.
        cold_left_ms: Time for which it is cold, so that tasks take longer on
            it, in milliseconds; 0 for a warm one.
    """

    worker: WorkerId
    born: int
    sequence: int
    pool: PoolId
    machine: MachineId
    address: str
    zone: AvailabilityZoneId
    rack: RackId
    labels: tuple[str, ...]
    capacity: Resources
    is_draining: bool = False
    remaining_ms: float = 0.0
    cold_left_ms: float = 0.0


def begins_in_future(born: int) -> bool:
    """Return whether an incarnation claims to begin in the future.

    Args:
        born: Start of the incarnation, Unix milliseconds.
    """
    return born > (wall_now() + MAX_CLOCK_ERROR_SECONDS) * 1000
