"""Freshness of an entry VM's set of withdrawn keys."""

from collections.abc import Mapping

from galenarill.common import AvailabilityZoneId, VmId

__all__ = ["KeyFreshness", "CONFIRMATION_TTL_SECONDS"]

# Time for which a confirmation counts, from when the heartbeat was sent.
CONFIRMATION_TTL_SECONDS = 3.0
MAX_UNCONFIRMED_HEARTBEATS = 8


class KeyFreshness:
    """Tracks which peers have confirmed this VM's set of withdrawn keys.

    The set is fresh if a majority of all entry VMs has confirmed it within
    `CONFIRMATION_TTL_SECONDS`, or a majority of those in this VM's zone, if the
    zone has at least two. An isolated VM therefore stops accepting requests
    with keys, while a zone partitioned from the others continues.

    Example:
        >>> freshness = KeyFreshness("a1", {"a1": "a", "a2": "a", "b1": "b"})
        >>> freshness.is_fresh(now=0.0)
        False
        >>> freshness.record_heartbeat_sent("a2", 1, now=0.0)
        >>> freshness.record_confirmation("a2", 1)
        >>> freshness.is_fresh(now=1.0), freshness.is_fresh(now=9.0)
        (True, False)
    """

    def __init__(self, vm: VmId, zones: Mapping[VmId, AvailabilityZoneId]):
        """Create a tracker without confirmations.

        Args:
            vm: This VM.
            zones: Zone of each entry VM, including this one.
        """
        self._vm = vm
        self._zones = zones
        self._unconfirmed: dict[VmId, dict[int, float]] = {
            vm: {} for vm in zones
        }
        self._confirmed_at: dict[VmId, float] = {}

    def record_heartbeat_sent(
        self, peer: VmId, sequence: int, now: float
    ) -> None:
        """Record that a heartbeat was sent to `peer` at `now`."""
        unconfirmed = self._unconfirmed[peer]
        unconfirmed[sequence] = now
        if len(unconfirmed) > MAX_UNCONFIRMED_HEARTBEATS:
            del unconfirmed[next(iter(unconfirmed))]

    def record_confirmation(self, peer: VmId, sequence: int) -> None:
        """Record that `peer` knows no withdrawn key that this VM does not."""
        sent_at = self._unconfirmed[peer].pop(sequence, None)
        if sent_at is not None:
            previous = self._confirmed_at.get(peer, sent_at)
            self._confirmed_at[peer] = max(previous, sent_at)

    def is_fresh(self, now: float) -> bool:
        """Return whether requests with keys may be accepted."""
        if self._is_majority(self._zones, now):
            return True
        zone_vms = [
            vm for vm, az in self._zones.items() if az == self._zones[self._vm]
        ]
        return len(zone_vms) > 1 and self._is_majority(zone_vms, now)

    def reachable(self, now: float) -> list[VmId]:
        """Return the peers whose confirmation still counts."""
        return [
            vm
            for vm, at in self._confirmed_at.items()
            if now < at + CONFIRMATION_TTL_SECONDS
        ]

    def _is_majority(self, vms, now: float) -> bool:
        confirmed_vms = set(self.reachable(now)) | {self._vm}
        return sum(vm in confirmed_vms for vm in vms) > len(vms) // 2
