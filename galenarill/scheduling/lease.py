"""Scheduler lease of a zone, granted by a quorum of electors."""

import dataclasses
import enum

from galenarill.common import AvailabilityZoneId, VmId, rendezvous_order
from galenarill.scheduling import messages

__all__ = [
    "LEASE_SECONDS",
    "LEASE_MARGIN_SECONDS",
    "LeaseState",
    "LeaseElector",
    "LeaseCandidate",
    "electors_of",
]

# Time for which an elector's vote is binding.
LEASE_SECONDS = 2.0
# Safety margin for clocks that run at different rates.
LEASE_MARGIN_SECONDS = 0.25
RENEW_INTERVAL_SECONDS = 0.5


def electors_of(
    availability_zone: AvailabilityZoneId,
    vms: dict[VmId, AvailabilityZoneId],
) -> frozenset[VmId]:
    """Return the electors of a zone's lease.

    The electors are the zone's entry VMs. If their number is even, one entry
    VM of another zone is added as a witness. With two entry VMs, a quorum
    then survives the loss of either one, and also the loss of the witness
    when the zone is partitioned from the others.

    Args:
        availability_zone: Zone whose scheduler needs the lease.
        vms: Zone of each entry VM in the settings.

    Returns:
        The entry VMs that vote on the lease.

    Example:
        >>> sorted(electors_of("az-a", {"e1": "az-a", "e2": "az-a"}))
        ['e1', 'e2']
        >>> len(electors_of("az-a", {"e1": "az-a", "e2": "az-a", "e3": "az-b"}))
        3
    """
    own = [vm for vm, az in vms.items() if az == availability_zone]
    others = [vm for vm, az in vms.items() if az != availability_zone]
    if len(own) % 2 or not others:
        return frozenset(own)
    witness = rendezvous_order(availability_zone, others)[0]
    return frozenset([*own, witness])


class LeaseElector:
    """Votes of one elector on the scheduler lease of one zone.

    Votes are kept in memory only. A restarted elector therefore grants no vote
    until every vote of an earlier process has expired.
    """

    def __init__(self, now: float):
        """Initialize an elector whose process starts at `now`."""
        self._holder: tuple[VmId, str] | None = None
        self._promised_until = now + LEASE_SECONDS + LEASE_MARGIN_SECONDS

    def request(
        self, message: messages.LeaseRequest, version: int, now: float
    ) -> messages.LeaseReply:
        """Vote on a candidate's request for the lease.

        Args:
            message: The candidate's request.
            version: Version of the replicated state applied locally, or -1
                while it may be older than what an earlier process applied.
            now: Monotonic time in seconds.

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
    """State of a candidate with respect to the scheduler lease."""

    FOLLOWING = enum.auto()
    CAMPAIGNING = enum.auto()
    HOLDING = enum.auto()


@dataclasses.dataclass(slots=True)
class _Round:
    sent_at: float
    # Version applied by each elector that granted the lease.
    votes: dict[VmId, int] = dataclasses.field(default_factory=dict)


class LeaseCandidate:
    """Acquires and renews the scheduler lease of a zone for one entry VM.

    The lease is valid for `LEASE_SECONDS`, less a margin, from when the request
    granted by a quorum was sent. Each elector counts from when it received the
    request, which is later, so the lease ends at the holder before a quorum can
    grant it to another candidate.
    """

    def __init__(
        self,
        availability_zone: AvailabilityZoneId,
        vm: VmId,
        electors: frozenset[VmId],
    ):
        """Initialize a candidate that does not hold the lease."""
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
        """Version that must be applied before scheduling under this lease.

        A scheduler acknowledges a lower allotment only after a majority of the
        electors has applied the version that lowers it. Any later quorum thus
        reports this version.
        """
        return self._required_version

    @property
    def majority_version(self) -> int:
        """Version that a majority of the electors has applied."""
        return self._majority_version

    @property
    def epoch(self) -> str:
        """Epoch of the current campaign or lease."""
        return self._epoch

    def state(self, now: float) -> LeaseState:
        """Return the state of the lease at `now`."""
        if now < self._held_until:
            return LeaseState.HOLDING
        if now < self._campaign_deadline:
            return LeaseState.CAMPAIGNING
        return LeaseState.FOLLOWING

    def campaign(self, epoch: str, now: float) -> messages.LeaseRequest:
        """Start a campaign for the lease.

        Args:
            epoch: Epoch that was never used in this zone before.
            now: Monotonic time in seconds.

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
        """Return the next request to send to every elector, if one is due."""
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
