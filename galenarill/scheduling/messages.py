"""Messages between entry VMs about slots, permits and the zone lease."""

import msgspec

from galenarill.world import (
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
    "Registered",
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
    "AllotmentNeed",
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
        epoch: Epoch of the scheduler that the holder knows, or "".
        sequence: Number of this message, echoed in the reply.
        held: Every permit of this zone that the holder has, sent only while
            the holder does not know the scheduler's epoch.
        fresh: Whether the holder started so lately that an earlier process of
            the same VM may have left attempts behind.
    """

    availability_zone: AvailabilityZoneId
    epoch: str
    sequence: int
    held: tuple[HeldPermit, ...] = ()
    fresh: bool = False


class Registered(msgspec.Struct, frozen=True, array_like=True, tag="sR"):
    """Renews a holder's session.

    Attributes:
        availability_zone: Zone of the scheduler.
        epoch: Epoch of the scheduler.
        sequence: Number of the `Register` that is answered.
        dropped: Reported permits that the scheduler does not accept.
    """

    availability_zone: AvailabilityZoneId
    epoch: str
    sequence: int
    dropped: tuple[PermitId, ...] = ()


class DemandLine(msgspec.Struct, frozen=True, array_like=True):
    """Waiting requests of one team for one pool at one holder.

    Attributes:
        pool: Pool.
        team: Team.
        waiting: Number of requests that wait.
        seen: Permits for this pair received under the scheduler's epoch, so
            that the scheduler can tell grants that are still on their way.
    """

    pool: PoolId
    team: TeamId
    waiting: int
    seen: int


class Demand(msgspec.Struct, frozen=True, array_like=True, tag="sd"):
    """Replaces what the scheduler knows of a holder's waiting requests.

    Attributes:
        availability_zone: Zone whose scheduler is addressed.
        epoch: Epoch of the scheduler.
        lines: The pairs of pool and team whose number has changed.
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
        contended: Whether others wait: the permit does not linger when idle
            and goes back when its quantum has passed.
        reason: Why this backend server was chosen and which were left out.
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
    """Permits for a holder.

    Attributes:
        availability_zone: Zone of the scheduler.
        epoch: Epoch of the scheduler.
        permits: The permits.
    """

    availability_zone: AvailabilityZoneId
    epoch: str
    permits: tuple[Permit, ...]


class ReturnedPermit(msgspec.Struct, frozen=True, array_like=True):
    """One permit that a holder gives back.

    Attributes:
        permit_id: Permit.
        requests: Requests that ran on it to an answer.
        failures: Requests that failed on it.
        running: Attempts whose end is not known.
    """

    permit_id: PermitId
    requests: int = 0
    failures: int = 0
    running: tuple[AttemptId, ...] = ()


class Returned(msgspec.Struct, frozen=True, array_like=True, tag="st"):
    """Permits that a holder gives back.

    Attributes:
        availability_zone: Zone whose scheduler is addressed.
        epoch: Epoch of the scheduler.
        permits: The permits.
    """

    availability_zone: AvailabilityZoneId
    epoch: str
    permits: tuple[ReturnedPermit, ...]


class Recall(msgspec.Struct, frozen=True, array_like=True, tag="sc"):
    """Asks for permits back; an empty field matches everything.

    Attributes:
        availability_zone: Zone of the scheduler.
        epoch: Epoch of the scheduler.
        pool: Pool whose permits are asked for.
        team: Team whose permits are asked for.
        server: Backend server whose permits are asked for.
        hard: Whether a busy permit takes no further request, even within its
            quantum.
    """

    availability_zone: AvailabilityZoneId
    epoch: str
    pool: PoolId | str = ""
    team: TeamId | str = ""
    server: VmId | str = ""
    hard: bool = False


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag="lr"):
    """Asks an elector for the lease of a zone's scheduler.

    Attributes:
        availability_zone: Zone.
        candidate: Entry VM that asks.
        epoch: Epoch that the candidate would schedule under.
        sequence: Number of this message, echoed in the reply.
    """

    availability_zone: AvailabilityZoneId
    candidate: VmId
    epoch: str
    sequence: int


class LeaseReply(msgspec.Struct, frozen=True, array_like=True, tag="lR"):
    """An elector's answer to `LeaseRequest`.

    Attributes:
        availability_zone: Zone.
        epoch: Epoch that was asked for.
        sequence: Number of the request.
        granted: Whether the elector grants the lease.
        version: Version of the replicated state that the elector has applied.
    """

    availability_zone: AvailabilityZoneId
    epoch: str
    sequence: int
    granted: bool
    version: int


class ServerReport(msgspec.Struct, frozen=True, array_like=True, tag="sv"):
    """A backend server's announcement, passed on to its zone's scheduler.

    Attributes:
        server: VM of the backend server.
        availability_zone: Zone of the backend server.
        pool: Pool that it says it serves.
        address: `host:port` where it takes requests.
        incarnation: Changes with each start of the backend server.
        sequence: Rises with each announcement of one incarnation.
        slots: Requests that it runs at once.
        connections: Connections that it accepts.
        running: Attempts that it runs.
        leaving: Whether it departs.
        seen: Stamp of the last reply that it had when it made this.
        call: Number that the reply echoes.
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
    """The scheduler's answer to a `ServerReport`.

    Attributes:
        call: Number of the report.
        accepted: Whether the backend server may get work.
        stamp: For the next announcement to repeat, as proof that it was made
            after this reply.
        renew_after: Seconds until the next announcement is due.
        reason: Why not.
        stop: Attempts that nobody waits for any more.
    """

    call: int
    accepted: bool
    stamp: str
    renew_after: float
    reason: str = ""
    stop: tuple[AttemptId, ...] = ()


class AllotmentNeed(msgspec.Struct, frozen=True, array_like=True, tag="sn"):
    """Tells other schedulers that a zone has slots but no allotment left.

    Attributes:
        availability_zone: Zone in need.
        team: Team whose requests wait.
        count: Slots that they could use.
    """

    availability_zone: AvailabilityZoneId
    team: TeamId
    count: int
