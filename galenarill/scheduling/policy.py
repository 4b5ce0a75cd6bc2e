"""What the replicated state tells a zone's scheduler."""

import abc

from galenarill.world import PoolId, TeamId, VmId

__all__ = ["SchedulingPolicy"]


class SchedulingPolicy(abc.ABC):
    """Limits, shares and pool membership that a scheduler obeys."""

    @abc.abstractmethod
    def allotment(self, team: TeamId) -> int:
        """Return how many slots `team` may use in this zone."""

    @abc.abstractmethod
    def weight(self, team: TeamId) -> float:
        """Return the share of `team`, greater than 0."""

    @abc.abstractmethod
    def refusal(self, server: VmId, pool: PoolId) -> str:
        """Return why `server` may not serve `pool`, or "" if it may."""

    @abc.abstractmethod
    def is_gone(self, server: VmId) -> bool:
        """Tell whether the VM is proved to have stopped for good."""
