"""Messages about slots, permits and the scheduler lease of a zone."""

import msgspec

from galenarill.common import (
    AttemptId,
    AvailabilityZoneId,
    PermitId,
    PoolId,
    TeamId,
    VmId,
)

__all__ = [
    "HeldPermit",
    "Register",
    "RegisterReply",
    "Demand",
    "DemandLine",
    "Granted",
    "Permit",
    "Returned",
    "ReturnedPermit",
    "Recall",
    "LeaseRequest",
    "LeaseReply",
    "ServerReport",
    "ServerReportReply",
    "AllotmentRequest",
]


class HeldPermit(msgspec.Struct, frozen=True, array_like=True):
    """A permit that a holder reports when it registers.

    Attributes:
        permit_id: Permit.
        server: Backend server that the permit is for.
        incarnation: Incarnation of the backend server.
        team: Team that the permit is for.
        pool: Pool of the backend server.
    """

    permit_id: PermitId
    server: VmId
    incarnation: str
    team: TeamId
    pool: PoolId


class Register(msgspec.Struct, frozen=True, array_like=True, tag="sr"):
    """Opens or renews a holder's session with a zone's scheduler.

    Attributes:
        availability_zone: Zone whose scheduler is addressed.
        epoch: Epoch of the scheduler with which the session was opened, or ""
            to open a session.
        sequence: Sequence number, echoed in the reply.
        held: Every permit of this zone that the holder has; sent only when a
            session is opened.
        fresh: Whether the holder started so recently that attempts of an
            earlier process of the same VM may still be running.
    """

    availability_zone: AvailabilityZoneId
    epoch: str
    sequence: int
    held: tuple[HeldPermit, ...] = ()
    fresh: bool = False


class RegisterReply(msgspec.Struct, frozen=True, array_like=True, tag="sR"):
    """Reply to `Register` that opens, renews or rejects a session.

    Attributes:
        availability_zone: Zone of the scheduler.
        epoch: Epoch of the scheduler, or "" if the holder has no session and
            has to open one.
        sequence: Sequence number of the `Register`.
        dropped: Reported permits that the scheduler rejects.
    """

    availability_zone: AvailabilityZoneId
    epoch: str
    sequence: int
    dropped: tuple[PermitId, ...] = ()


class DemandLine(msgspec.Struct, frozen=True, array_like=True):
    """Number of waiting requests of one team for one pool at one holder.

    Attributes:
        pool: Pool that the requests need.
        team: Team of the requests.
        waiting: Number of waiting requests.
        seen: Number of permits for this pool and team received under the
            scheduler's epoch. The scheduler subtracts it from the number
            granted to get the permits still in flight.
    """

    pool: PoolId
    team: TeamId
    waiting: int
    seen: int


class Demand(msgspec.Struct, frozen=True, array_like=True, tag="sd"):
    """Updates the scheduler's view of a holder's waiting requests.

    Attributes:
        availability_zone: Zone whose scheduler is addressed.
        epoch: Epoch of the scheduler.
        lines: Demand of each pool and team for which it has changed.
    """

    availability_zone: AvailabilityZoneId
    epoch: str
    lines: tuple[DemandLine, ...]


class Permit(msgspec.Struct, frozen=True, array_like=True):
    """The right to run one request at a time on one slot.

    Attributes:
        permit_id: Permit.
        server: Backend server.
        incarnation: Incarnation of the backend server.
        address: `host:port` of the backend server.
        pool: Pool of the backend server.
        team: Team whose requests may run.
        contended: Whether other requests wait for slots. A contended permit is
            returned when it is idle or its time quantum has passed.
        reason: Why this backend server was chosen and why others were
            excluded.
    """

    permit_id: PermitId
    server: VmId
    incarnation: str
    address: str
    pool: PoolId
    team: TeamId
    contended: bool = False
    reason: str = ""


class Granted(msgspec.Struct, frozen=True, array_like=True, tag="sg"):
    """Grants permits to a holder.

    Attributes:
        availability_zone: Zone of the scheduler.
        epoch: Epoch of the scheduler.
        permits: Permits granted.
    """

    availability_zone: AvailabilityZoneId
    epoch: str
    permits: tuple[Permit, ...]


class ReturnedPermit(msgspec.Struct, frozen=True, array_like=True):
    """A permit that a holder returns, with the outcomes of its requests.

    Attributes:
        permit_id: Permit.
        requests: Number of requests that completed with a response.
        failures: Number of requests that failed.
        running: Attempts that may still be running.
    """

    permit_id: PermitId
    requests: int = 0
    failures: int = 0
    running: tuple[AttemptId, ...] = ()


class Returned(msgspec.Struct, frozen=True, array_like=True, tag="st"):
    """Returns permits to a scheduler.

    Attributes:
        availability_zone: Zone whose scheduler is addressed.
        epoch: Epoch of the scheduler.
        permits: Permits returned.
    """

    availability_zone: AvailabilityZoneId
    epoch: str
    permits: tuple[ReturnedPermit, ...]


class Recall(msgspec.Struct, frozen=True, array_like=True, tag="sc"):
    """Asks a holder to return the permits that match every non-empty filter.

    Attributes:
        availability_zone: Zone of the scheduler.
        epoch: Epoch of the scheduler.
        pool: Pool to match, or "".
        team: Team to match, or "".
        server: Backend server to match, or "".
        hard: Whether a busy permit may start no further request, even within
            its time quantum.
    """

    availability_zone: AvailabilityZoneId
    epoch: str
    pool: PoolId | str = ""
    team: TeamId | str = ""
    server: VmId | str = ""
    hard: bool = False


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag="lr"):
    """Asks an elector to grant or renew the scheduler lease of a zone.

    Attributes:
        availability_zone: Zone.
        candidate: Entry VM that requests the lease.
        epoch: Epoch under which the candidate would schedule.
        sequence: Sequence number, echoed in the reply.
    """

    availability_zone: AvailabilityZoneId
    candidate: VmId
    epoch: str
    sequence: int


class LeaseReply(msgspec.Struct, frozen=True, array_like=True, tag="lR"):
    """An elector's reply to `LeaseRequest`.

    Attributes:
        availability_zone: Zone.
        epoch: Epoch of the request.
        sequence: Sequence number of the request.
        granted: Whether the elector grants the lease.
        version: Version of the replicated state that the elector has applied.
    """

    availability_zone: AvailabilityZoneId
    epoch: str
    sequence: int
    granted: bool
    version: int


class ServerReport(msgspec.Struct, frozen=True, array_like=True, tag="sv"):
    """A backend server's heartbeat, forwarded to its zone's scheduler.

    Attributes:
        server: VM of the backend server.
        availability_zone: Zone of the backend server.
        pool: Pool that the backend server serves.
        address: `host:port` on which it accepts requests.
        incarnation: Identifier that changes at each start of the process.
        sequence: Sequence number, increasing within an incarnation.
        slots: Maximum number of concurrent requests.
        connections: Maximum number of connections.
        running: Attempts that are running.
        leaving: Whether the backend server is shutting down.
        seen: Stamp of the latest reply received before this report was made.
        call: Call number, echoed in the reply.
    """

    server: VmId
    availability_zone: AvailabilityZoneId
    pool: PoolId
    address: str
    incarnation: str
    sequence: int
    slots: int
    connections: int
    running: tuple[AttemptId, ...] = ()
    leaving: bool = False
    seen: str = ""
    call: int = 0


class ServerReportReply(msgspec.Struct, frozen=True, array_like=True, tag="sV"):
    """The scheduler's reply to a `ServerReport`.

    Attributes:
        call: Call number of the report.
        accepted: Whether the backend server is eligible for work.
        stamp: Stamp to repeat in the next report, which proves that the report
            was made after this reply.
        renew_after: Seconds until the next report is due.
        reason: Why the backend server was not accepted, or "".
        stop: Attempts to cancel because no caller waits for them.
    """

    call: int
    accepted: bool
    stamp: str
    renew_after: float
    reason: str = ""
    stop: tuple[AttemptId, ...] = ()


class AllotmentRequest(msgspec.Struct, frozen=True, array_like=True, tag="sn"):
    """Requests allotment from zones that have more than they use.

    Sent to other schedulers when a zone has free slots, but a team has reached
    its allotment there.

    Attributes:
        availability_zone: Zone that needs allotment.
        team: Team with waiting requests.
        count: Number of free slots that these requests could use.
    """

    availability_zone: AvailabilityZoneId
    team: TeamId
    count: int
