"""A zone scheduler's view of its backend servers."""

import dataclasses

from galenarill.common import AttemptId, PermitId, PoolId, TeamId, VmId
from galenarill.scheduling import messages

__all__ = [
    "BackendServer",
    "Orphan",
    "permit_of",
    "team_of",
    "renewal_interval",
    "RENEWALS_PER_LEASE",
]

# Minimum interval between two reports of a backend server.
MIN_RENEWAL_INTERVAL_SECONDS = 1.0
# Maximum rate of reports at a scheduler. With more backend servers, each of
# them reports less often.
MAX_RENEWALS_PER_SECOND = 70.0
# Connections needed per slot: one in use, and one of the slot's previous
# holder that is still closing.
CONNECTIONS_PER_SLOT = 2
# Length of a backend server's lease in reporting intervals. A backend server
# gets no more work after its lease has expired.
RENEWALS_PER_LEASE = 3


@dataclasses.dataclass(slots=True)
class Orphan:
    """A permit without a holder whose attempts may still be running.

    Attributes:
        team: Team to whose allotment the permit counts.
        pool: Pool in which the permit was granted.
        fenced_at: Time from which its last holder cannot start attempts on it.
    """

    team: TeamId
    pool: PoolId
    fenced_at: float


@dataclasses.dataclass(slots=True)
class BackendServer:
    """A backend server and the permits that occupy its slots.

    Attributes:
        vm: VM that it runs on.
        pool: Pool that it serves.
        address: `host:port` on which it accepts requests.
        incarnation: Identifier that changes at each start of the process.
        sequence: Sequence number of its latest report.
        slots: Maximum number of concurrent requests, each of which needs its
            own connection.
        lease_deadline: Time at which its lease expires.
        is_leaving: Whether it is shutting down or its permits are recalled.
        is_in_sync: Whether all attempts that may run on it are accounted for.
        permits: Permits granted and not returned.
        orphans: Permits without a holder whose attempts may still be running.
    """

    vm: VmId
    pool: PoolId
    address: str
    incarnation: str
    sequence: int
    slots: int
    lease_deadline: float
    is_leaving: bool = False
    is_in_sync: bool = False
    permits: set[PermitId] = dataclasses.field(default_factory=set)
    orphans: dict[PermitId, Orphan] = dataclasses.field(default_factory=dict)

    @property
    def used(self) -> int:
        """Number of slots that are or may be in use."""
        return len(self.permits) + len(self.orphans)

    @property
    def free(self) -> int:
        """Number of slots that may be granted.

        Negative if more permits were taken over from an earlier scheduler
        than there are slots, or if the number of slots was lowered.
        """
        return self.slots - self.used

    def update(
        self, report: messages.ServerReport, lease_deadline: float
    ) -> None:
        """Update the attributes from a report and extend the lease."""
        self.pool = report.pool
        self.address = report.address
        self.sequence = report.sequence
        self.slots = min(
            report.slots, report.connections // CONNECTIONS_PER_SLOT
        )
        self.is_leaving = report.leaving
        self.lease_deadline = lease_deadline


def renewal_interval(servers: int) -> float:
    """Return the reporting interval in seconds for `servers` backend servers.

    Example:
        >>> renewal_interval(10), renewal_interval(350)
        (1.0, 5.0)
    """
    return max(MIN_RENEWAL_INTERVAL_SECONDS, servers / MAX_RENEWALS_PER_SECOND)


def permit_of(attempt: AttemptId) -> PermitId:
    """Return the permit on which `attempt` was started.

    Example:
        >>> permit_of("az-a.5f.12.3~municipal")
        'az-a.5f.12'
    """
    return PermitId(attempt.partition("~")[0].rpartition(".")[0])


def team_of(attempt: AttemptId) -> TeamId:
    """Return the team for which `attempt` was started.

    Example:
        >>> team_of("az-a.5f.12.3~municipal")
        'municipal'
    """
    return TeamId(attempt.partition("~")[2])
