"""Interface through which a zone's scheduler reads the replicated state."""

import abc

from galenarill.common import PoolId, TeamId, VmId

__all__ = ["SchedulingPolicy"]


class SchedulingPolicy(abc.ABC):
    """Allotments, shares and pool membership enforced by a scheduler."""

    @abc.abstractmethod
    def allotment(self, team: TeamId) -> int:
        """Return the maximum number of slots of `team` in this zone."""

    @abc.abstractmethod
    def weight(self, team: TeamId) -> float:
        """Return the share of `team`, greater than 0."""

    @abc.abstractmethod
    def ineligibility_reason(self, server: VmId, pool: PoolId) -> str:
        """Return why `server` is not eligible for `pool`, or ""."""

    @abc.abstractmethod
    def is_decommissioned(self, server: VmId) -> bool:
        """Return whether the VM is known to be permanently stopped."""

    @abc.abstractmethod
    def is_evacuated(self) -> bool:
        """Return whether no request may start in this zone."""
