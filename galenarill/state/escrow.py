"""Escrow of upper limits: allotments that zones enforce independently."""

import msgspec

from galenarill.common import AvailabilityZoneId

__all__ = ["LimitEscrow"]


class LimitEscrow(msgspec.Struct):
    """One team's upper limit and its allotments to the availability zones.

    A zone may use as many slots as its target. After a target is lowered, the
    zone holds the slots of the earlier target until its scheduler acknowledges
    the new one. Targets are raised only from slots that no zone holds, so the
    slots in use in all zones never exceed the highest limit that is still in
    force in some zone.

    Attributes:
        limit: Maximum number of slots that the team may use at once.
        targets: Number of slots that each zone may use.
        held: Number of slots that each zone may still be using; at least its
            target.

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
        """Number of slots that no zone holds.

        Negative after the limit was lowered, until zones acknowledge their new
        targets.
        """
        return self.limit - sum(self.held.values())

    def set_limit(self, limit: int, zones: list[AvailabilityZoneId]) -> None:
        """Set the limit and the zones between which it is divided.

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
        """Add the free slots to the targets of `zones`, the smallest first."""
        while self.free > 0 and zones:
            az = min(zones, key=lambda az: (self.targets[az], az))
            self.targets[az] += 1
            self.held[az] = max(self.held[az], self.targets[az])

    def give(self, az: AvailabilityZoneId, count: int) -> bool:
        """Lower the target of `az`.

        The zone holds the slots until it acknowledges the new target.

        Returns:
            Whether the target was at least `count`, and was lowered.
        """
        if not 0 < count <= self.targets.get(az, 0):
            return False
        self.targets[az] -= count
        return True

    def take(self, az: AvailabilityZoneId, count: int) -> bool:
        """Raise the target of `az` by free slots.

        Returns:
            Whether enough slots were free, and the target was raised.
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
        """Release the slots that `az` holds in excess of `target`.

        Called when the zone's scheduler enforces `target` and no more slots
        than that are in use.

        Returns:
            Whether `target` is still the zone's target.
        """
        if self.targets.get(az) != target:
            return False
        self.held[az] = target
        return True

    def _scale_targets(self, limit: int) -> None:
        """Scale the targets down in proportion to a sum of `limit`."""
        total = sum(self.targets.values())
        scaled = {az: n * limit // total for az, n in self.targets.items()}
        remainder = limit - sum(scaled.values())
        for az in sorted(scaled, key=lambda az: (-self.targets[az], az)):
            if remainder and scaled[az] < self.targets[az]:
                scaled[az] += 1
                remainder -= 1
        self.targets = scaled
