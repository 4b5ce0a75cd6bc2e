"""Lease of a zone's scheduler, granted by a majority of electors."""

import dataclasses
import enum

from galenarill.scheduling import messages
from galenarill.world import AvailabilityZoneId, VmId, rendezvous_order

__all__ = [
    "LEASE_SECONDS",
    "LEASE_MARGIN_SECONDS",
    "LeaseState",
    "ZoneElector",
    "ZoneCandidate",
    "electorate",
]

# Time for which an elector promises its vote.
LEASE_SECONDS = 2.0
# Allowance for clocks that run at different rates.
LEASE_MARGIN_SECONDS = 0.25
RENEW_INTERVAL_SECONDS = 0.5


def electorate(
    availability_zone: AvailabilityZoneId,
    vms: dict[VmId, AvailabilityZoneId],
) -> frozenset[VmId]:
    """Return the electors of a zone's lease.

    These are the zone's entry VMs. If their number is even, one entry VM of
    another zone is a witness, so that the loss of one of two leaves a
    majority, and so does the loss of the witness when the zone is cut off.

    Args:
        availability_zone: Zone.
        vms: Zone of each entry VM in the settings.

    Returns:
        The electors.

    Example:
        >>> sorted(electorate("az-a", {"e1": "az-a", "e2": "az-a"}))
        ['e1', 'e2']
        >>> len(electorate("az-a", {"e1": "az-a", "e2": "az-a", "e3": "az-b"}))
        3
    """
    own = [vm for vm, az in vms.items() if az == availability_zone]
    others = [vm for vm, az in vms.items() if az != availability_zone]
    if len(own) % 2 or not others:
        return frozenset(own)
    witness = rendezvous_order(availability_zone, others)[0]
    return frozenset([*own, witness])


class ZoneElector:
    """One elector's vote for the scheduler of one zone.

    A vote is a promise in memory, so an elector that starts gives none until
    every promise of an earlier process has ended.
    """

    def __init__(self, now: float):
        """Make an elector whose process starts at `now`."""
        self._holder: tuple[VmId, str] | None = None
        self._promised_until = now + LEASE_SECONDS + LEASE_MARGIN_SECONDS

    def request(
        self, message: messages.LeaseRequest, version: int, now: float
    ) -> messages.LeaseReply:
        """Answer a candidate.

        Args:
            message: The candidate's request.
            version: Version of the replicated state applied here, or -1 while
                it may lag behind what an earlier process has applied.
            now: Time in seconds.

        Returns:
            The vote.
        """
        requester = (message.candidate, message.epoch)
        granted = version >= 0 and (
            requester == self._holder or now >= self._promised_until
        )
        if granted:
            self._holder = requester
            self._promised_until = now + LEASE_SECONDS
        return messages.LeaseReply(
            message.availability_zone,
            message.epoch,
            message.sequence,
            granted,
            version,
        )


class LeaseState(enum.Enum):
    """Whether a candidate may act as the zone's scheduler."""

    FOLLOWING = enum.auto()
    CAMPAIGNING = enum.auto()
    HOLDING = enum.auto()


@dataclasses.dataclass(slots=True)
class _Round:
    sent_at: float
    # Version applied by each elector that granted the lease.
    votes: dict[VmId, int] = dataclasses.field(default_factory=dict)


class ZoneCandidate:
    """One entry VM's claim to schedule its zone.

    The lease holds until `LEASE_SECONDS` after the request that a majority has
    granted was sent, less a margin; an elector counts from when it received the
    request, so no second candidate can hold it before the first has stopped.
    """

    def __init__(
        self,
        availability_zone: AvailabilityZoneId,
        vm: VmId,
        electors: frozenset[VmId],
    ):
        """Make a candidate that does not hold the lease."""
        self._availability_zone = availability_zone
        self._vm = vm
        self._electors = electors
        self._epoch = ""
        self._sequence = 0
        self._rounds: dict[int, _Round] = {}
        self._held_until = 0.0
        self._campaign_deadline = 0.0
        self._renew_deadline = 0.0
        self._required_version = 0
        self._majority_version = 0

    @property
    def required_version(self) -> int:
        """Version to apply before scheduling under the current lease.

        An earlier scheduler gives an allotment up only once a majority of the
        electors has applied the version that takes it away.
        """
        return self._required_version

    @property
    def majority_version(self) -> int:
        """Version that a majority of the electors has applied."""
        return self._majority_version

    @property
    def epoch(self) -> str:
        """Epoch that the candidate campaigns for or schedules under."""
        return self._epoch

    def state(self, now: float) -> LeaseState:
        """Return whether the candidate may schedule at `now`."""
        if now < self._held_until:
            return LeaseState.HOLDING
        if now < self._campaign_deadline:
            return LeaseState.CAMPAIGNING
        return LeaseState.FOLLOWING

    def campaign(self, epoch: str, now: float) -> messages.LeaseRequest:
        """Begin to ask for the lease.

        Args:
            epoch: Name that no earlier epoch of the zone has had.
            now: Time in seconds.

        Returns:
            The request to send to every elector.
        """
        self._epoch = epoch
        self._rounds.clear()
        self._held_until = 0.0
        self._majority_version = 0
        self._campaign_deadline = now + LEASE_SECONDS
        return self._next_request(now)

    def renew(self, now: float) -> messages.LeaseRequest | None:
        """Return the next request to every elector, if one is due."""
        if self.state(now) is LeaseState.FOLLOWING:
            return None
        if now < self._renew_deadline:
            return None
        return self._next_request(now)

    def receive(
        self, elector: VmId, message: messages.LeaseReply, now: float
    ) -> None:
        """Count a vote."""
        if message.epoch != self._epoch or not message.granted:
            return
        round_ = self._rounds.get(message.sequence)
        if round_ is None or elector not in self._electors:
            return
        round_.votes[elector] = message.version
        majority = len(self._electors) // 2 + 1
        if len(round_.votes) < majority:
            return
        if now >= self._held_until:
            self._required_version = max(round_.votes.values())
        versions = sorted(round_.votes.values(), reverse=True)
        self._majority_version = max(
            self._majority_version, versions[majority - 1]
        )
        until = round_.sent_at + LEASE_SECONDS - LEASE_MARGIN_SECONDS
        self._held_until = max(self._held_until, until)

    def _next_request(self, now: float) -> messages.LeaseRequest:
        self._sequence += 1
        self._rounds[self._sequence] = _Round(now)
        self._rounds.pop(self._sequence - 8, None)
        self._renew_deadline = now + RENEW_INTERVAL_SECONDS
        return messages.LeaseRequest(
            self._availability_zone, self._vm, self._epoch, self._sequence
        )
