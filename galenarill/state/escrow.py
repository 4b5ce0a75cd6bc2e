"""Upper limits split into allotments for the availability zones."""

import msgspec

from galenarill.world import AvailabilityZoneId

__all__ = ["LimitEscrow"]


class LimitEscrow(msgspec.Struct):
    """One team's upper limit and its allotments.

    A zone may run up to its target. What it may still run from an earlier
    target is held against it until its scheduler acknowledges the lower one.
    New slots are given only from what nobody holds, so the sum over the zones
    of what may run never exceeds the highest limit still in force somewhere.

    Attributes:
        limit: Slots that the team may use at once.
        targets: Slots that each zone may use.
        held: Slots that each zone may still be using; at least its target.

    Example:
        >>> escrow = LimitEscrow(limit=0)
        >>> escrow.set_limit(10, ["az-a", "az-b", "az-c"])
        >>> escrow.targets
        {'az-a': 4, 'az-b': 3, 'az-c': 3}
        >>> escrow.give("az-a", 2), escrow.take("az-b", 2)
        (True, False)
        >>> escrow.acknowledge("az-a", 2), escrow.take("az-b", 2)
        (True, True)
        >>> escrow.targets
        {'az-a': 2, 'az-b': 5, 'az-c': 3}
    """

    limit: int
    targets: dict[AvailabilityZoneId, int] = {}
    held: dict[AvailabilityZoneId, int] = {}

    @property
    def free(self) -> int:
        """Slots of the limit that no zone holds; negative after a cut."""
        return self.limit - sum(self.held.values())

    def set_limit(self, limit: int, zones: list[AvailabilityZoneId]) -> None:
        """Change the limit, or the zones that share it.

        Args:
            limit: New limit.
            zones: Zones that have VMs.
        """
        self.limit = limit
        for az in [az for az in self.targets if az not in zones]:
            self.targets[az] = 0
        for az in zones:
            self.targets.setdefault(az, 0)
            self.held.setdefault(az, 0)
        excess = sum(self.targets.values()) - limit
        if excess > 0:
            self._scale_targets(limit)
        self.distribute_free_slots(zones)

    def distribute_free_slots(self, zones: list[AvailabilityZoneId]) -> None:
        """Give what is free to `zones`, the smallest allotment first."""
        while self.free > 0 and zones:
            az = min(zones, key=lambda az: (self.targets[az], az))
            self.targets[az] += 1
            self.held[az] = max(self.held[az], self.targets[az])

    def give(self, az: AvailabilityZoneId, count: int) -> bool:
        """Lower the target of `az`, which goes on holding what it had.

        Returns:
            Whether the zone had as much.
        """
        if not 0 < count <= self.targets.get(az, 0):
            return False
        self.targets[az] -= count
        return True

    def take(self, az: AvailabilityZoneId, count: int) -> bool:
        """Raise the target of `az` from what is free.

        Returns:
            Whether enough was free.
        """
        if count <= 0 or az not in self.targets:
            return False
        raised = max(self.held[az], self.targets[az] + count)
        if self.free < raised - self.held[az]:
            return False
        self.targets[az] += count
        self.held[az] = raised
        return True

    def acknowledge(self, az: AvailabilityZoneId, target: int) -> bool:
        """Note that `az` keeps to `target` and runs no more than that.

        Returns:
            Whether `target` is still the zone's target.
        """
        if self.targets.get(az) != target:
            return False
        self.held[az] = target
        return True

    def _scale_targets(self, limit: int) -> None:
        """Lower the targets in proportion, so that they add up to `limit`."""
        total = sum(self.targets.values())
        scaled = {az: n * limit // total for az, n in self.targets.items()}
        remainder = limit - sum(scaled.values())
        for az in sorted(scaled, key=lambda az: (-self.targets[az], az)):
            if remainder and scaled[az] < self.targets[az]:
                scaled[az] += 1
                remainder -= 1
        self.targets = scaled
