"""Whether an entry VM's view of the withdrawn keys is fresh."""

from collections.abc import Mapping

from galenarill.world import AvailabilityZoneId, VmId

__all__ = ["KeyFreshness", "FRESH_SECONDS"]

# Time for which a confirmation by a peer counts.
FRESH_SECONDS = 3.0
MAX_PENDING = 8


class KeyFreshness:
    """Confirmations, by peers, of the withdrawn keys known here.

    The view is fresh while a majority of the fleet's entry VMs has confirmed it
    within `FRESH_SECONDS`, or a majority of the zone's, if the zone has at
    least two. So a single VM that is isolated stops taking keyed work, and a
    zone that is cut off goes on.

    Example:
        >>> freshness = KeyFreshness("a1", {"a1": "a", "a2": "a", "b1": "b"})
        >>> freshness.is_fresh(now=0.0)
        False
        >>> freshness.sent("a2", 1, now=0.0)
        >>> freshness.confirmed("a2", 1)
        >>> freshness.is_fresh(now=1.0), freshness.is_fresh(now=9.0)
        (True, False)
    """

    def __init__(self, vm: VmId, zones: Mapping[VmId, AvailabilityZoneId]):
        """Make a view that nobody has confirmed."""
        self._vm = vm
        self._zones = zones
        self._sent: dict[VmId, dict[int, float]] = {vm: {} for vm in zones}
        self._confirmed_at: dict[VmId, float] = {}

    def sent(self, peer: VmId, sequence: int, now: float) -> None:
        """Note that `peer` was asked at `now`."""
        pending = self._sent[peer]
        pending[sequence] = now
        if len(pending) > MAX_PENDING:
            del pending[next(iter(pending))]

    def confirmed(self, peer: VmId, sequence: int) -> None:
        """Note that `peer` has answered, and all that it knows is known."""
        sent_at = self._sent[peer].pop(sequence, None)
        if sent_at is not None:
            previous = self._confirmed_at.get(peer, sent_at)
            self._confirmed_at[peer] = max(previous, sent_at)

    def is_fresh(self, now: float) -> bool:
        """Tell whether keyed work may be taken."""
        if self._is_majority(self._zones, now):
            return True
        own = [
            vm for vm, az in self._zones.items() if az == self._zones[self._vm]
        ]
        return len(own) > 1 and self._is_majority(own, now)

    def reachable(self, now: float) -> list[VmId]:
        """Return the peers that have confirmed of late."""
        return [
            vm
            for vm, at in self._confirmed_at.items()
            if now < at + FRESH_SECONDS
        ]

    def _is_majority(self, vms, now: float) -> bool:
        recent = set(self.reachable(now)) | {self._vm}
        return sum(vm in recent for vm in vms) > len(vms) // 2
