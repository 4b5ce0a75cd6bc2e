"""What a worker reports of itself."""

import msgspec

from galenarill.routing import Resources
from galenarill.world import (
    AvailabilityZoneId,
    MachineId,
    PoolId,
    RackId,
    WorkerId,
)

__all__ = ["WorkerReport"]


class WorkerReport(msgspec.Struct, frozen=True, array_like=True):
    """What a worker reports of itself.

    Attributes:
        worker: Id, which a later life may have too.
        born: Start of this life, Unix milliseconds.
        sequence: Number that rises with each report of this life.
        pool: Pool that it belongs to.
        machine: Machine that it runs on, or "" where that is not told.
        address: `host:port` for orders.
        zone: Availability zone.
        rack: Rack, or "".
        labels: Labels, the rack among them.
        capacity: What it has room for.
        is_draining: Whether it is about to leave.
        remaining_ms: Least time left to a draining worker, in milliseconds.
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
