"""Machines that get no new tasks."""

import enum

from galenarill.common import MachineId

__all__ = ["CordonReason", "Cordons"]


class CordonReason(enum.Enum):
    """Why a machine gets no new tasks."""

    RELEASE = "release"
    MOVE = "move"
    MAINTENANCE = "maintenance"


class Cordons:
    """Cordoned machines. A machine may be cordoned for several reasons.

    Example:
        >>> cordons = Cordons()
        >>> cordons.add("m", CordonReason.MOVE)
        >>> cordons.add("m", CordonReason.MAINTENANCE)
        >>> cordons.remove("m", CordonReason.MOVE)
        >>> "m" in cordons
        True
    """

    def __init__(self):
        """Initialize without a cordoned machine."""
        self._reasons: dict[MachineId, set[CordonReason]] = {}

    def __contains__(self, machine: MachineId) -> bool:
        """Return whether a machine is cordoned."""
        return machine in self._reasons

    def add(self, machine: MachineId, reason: CordonReason) -> None:
        """Cordon a machine for a reason."""
        self._reasons.setdefault(machine, set()).add(reason)

    def remove(self, machine: MachineId, reason: CordonReason) -> None:
        """Remove one reason for which a machine is cordoned."""
        reasons = self._reasons.get(machine, set())
        reasons.discard(reason)
        if not reasons:
            self._reasons.pop(machine, None)
