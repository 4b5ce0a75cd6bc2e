"""Scheduling policy of a zone, read from the replicated state."""

from collections.abc import Callable

from galenarill.common import AvailabilityZoneId, PoolId, TeamId, VmId
from galenarill.scheduling import SchedulingPolicy
from galenarill.state import FleetState, VmState

__all__ = ["FleetPolicy", "OPEN_TEAM"]

# Team of requests without a valid key, on queues that are open to all.
OPEN_TEAM = TeamId("")
OPEN_TEAM_WEIGHT = 1.0
UNLIMITED_SLOTS = 1 << 30


class FleetPolicy(SchedulingPolicy):
    """Limits, shares and pool membership in the applied state."""

    def __init__(
        self, az: AvailabilityZoneId, get_state: Callable[[], FleetState]
    ):
        """Make the policy of zone `az`."""
        self._az = az
        self._get_state = get_state

    def allotment(self, team: TeamId) -> int:
        """Return the number of slots that `team` may use in this zone."""
        if team == OPEN_TEAM:
            return UNLIMITED_SLOTS
        escrow = self._get_state().limits.get(team)
        return escrow.targets.get(self._az, 0) if escrow else 0

    def weight(self, team: TeamId) -> float:
        """Return the share of `team`."""
        settings = self._get_state().settings.teams.get(team)
        return float(settings.share) if settings else OPEN_TEAM_WEIGHT

    def ineligibility_reason(self, server: VmId, pool: PoolId) -> str:
        """Return why `server` may not serve `pool`, or "" if it may."""
        vm = self._get_state().vms.get(server)
        if vm is None:
            return f"VM {server} is not in the settings"
        if vm.pool != pool:
            return f"VM {server} belongs to pool {vm.pool}, not {pool}"
        if vm.availability_zone != self._az:
            return f"VM {server} is in zone {vm.availability_zone}"
        if vm.state in (VmState.DRAINING, VmState.MAINTAINED):
            return f"VM {server} is {vm.state.value}"
        return ""

    def is_decommissioned(self, server: VmId) -> bool:
        """Return whether the VM was removed from the settings."""
        return server not in self._get_state().vms

    def is_evacuated(self) -> bool:
        """Return whether the zone is evacuated."""
        return self._az in self._get_state().evacuated_zones
