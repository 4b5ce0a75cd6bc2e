"""Status reports of workers."""

import msgspec

from galenarill.common import (
    AvailabilityZoneId,
    MachineId,
    PoolId,
    RackId,
    WorkerId,
)
from galenarill.routing import Resources

__all__ = ["WorkerReport"]


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
