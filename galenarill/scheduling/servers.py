"""Backend servers as a zone's scheduler sees them."""

import dataclasses

from galenarill.scheduling import messages
from galenarill.world import AttemptId, PermitId, PoolId, TeamId, VmId

__all__ = [
    "BackendServer",
    "Orphan",
    "permit_of",
    "team_of",
    "renewal_interval",
    "RENEWALS_PER_LEASE",
]

# Shortest time between two announcements of a backend server.
MIN_RENEWAL_INTERVAL_SECONDS = 1.0
# Announcements that a scheduler takes in each second; with more servers,
# each announces itself less often.
MAX_RENEWALS_PER_SECOND = 70.0
# Connections that one slot may take: one in use, and one of the holder before
# that still closes.
CONNECTIONS_PER_SLOT = 2
# Announcements that may be missed before a backend server gets no more work.
RENEWALS_PER_LEASE = 3


@dataclasses.dataclass(slots=True)
class Orphan:
    """A permit that has no holder, but whose attempts may still run.

    Attributes:
        team: Team that it counts for.
        pool: Pool that it was given in.
        fenced_at: Time from which its last holder can start nothing more.
    """

    team: TeamId
    pool: PoolId
    fenced_at: float


@dataclasses.dataclass(slots=True)
class BackendServer:
    """A backend server and the use of its slots.

    Attributes:
        vm: VM that it runs on.
        pool: Pool that it serves.
        address: `host:port` where it takes requests.
        incarnation: Changes with each start.
        sequence: Number of its last announcement.
        slots: Requests that it may run at once, each on a connection of its
            own.
        lease_deadline: Time from which it gets no more work.
        is_leaving: Whether it departs.
        is_known: Whether every attempt that may run on it is counted.
        permits: Permits out.
        orphans: Permits without a holder that may still run.
    """

    vm: VmId
    pool: PoolId
    address: str
    incarnation: str
    sequence: int
    slots: int
    lease_deadline: float
    is_leaving: bool = False
    is_known: bool = False
    permits: set[PermitId] = dataclasses.field(default_factory=set)
    orphans: dict[PermitId, Orphan] = dataclasses.field(default_factory=dict)

    @property
    def used(self) -> int:
        """Slots that are or may be in use."""
        return len(self.permits) + len(self.orphans)

    @property
    def free(self) -> int:
        """Slots that may be granted, negative after a takeover or cut."""
        return self.slots - self.used

    def update(
        self, report: messages.ServerReport, lease_deadline: float
    ) -> None:
        """Take over what the backend server says of itself."""
        self.pool = report.pool
        self.address = report.address
        self.sequence = report.sequence
        self.slots = min(
            report.slots, report.connections // CONNECTIONS_PER_SLOT
        )
        self.is_leaving = report.leaving
        self.lease_deadline = lease_deadline


def renewal_interval(servers: int) -> float:
    """Return how often each of `servers` backend servers announces itself.

    Example:
        >>> renewal_interval(10), renewal_interval(350)
        (1.0, 5.0)
    """
    return max(MIN_RENEWAL_INTERVAL_SECONDS, servers / MAX_RENEWALS_PER_SECOND)


def permit_of(attempt: AttemptId) -> PermitId:
    """Return the permit that `attempt` was started on.

    Example:
        >>> permit_of("az-a.5f.12.3~municipal")
        'az-a.5f.12'
    """
    return PermitId(attempt.partition("~")[0].rpartition(".")[0])


def team_of(attempt: AttemptId) -> TeamId:
    """Return the team that `attempt` was started for.

    Example:
        >>> team_of("az-a.5f.12.3~municipal")
        'municipal'
    """
    return TeamId(attempt.partition("~")[2])
