"""Evacuations of zones, as enforced and confirmed by the entry VMs."""

import asyncio
import logging
from collections.abc import Callable, Collection

from galenarill.common import AvailabilityZoneId, VmId
from galenarill.entry.slots import SlotManager
from galenarill.scheduling import SESSION_MARGIN_SECONDS, SESSION_SECONDS
from galenarill.state import FleetState, ZoneEvacuation

__all__ = ["EvacuationMonitor"]

# Time to wait for confirmations. When it has passed, an entry VM that is cut
# off from the zone's scheduler has lost its session and starts nothing there.
CONFIRMATION_TIMEOUT_SECONDS = SESSION_SECONDS + SESSION_MARGIN_SECONDS
# Time for attempts that an entry VM assigned just before it applied the order.
# They need a turn of its event loop, or a new connection, to reach the backend
# server.
SETTLE_SECONDS = 0.1

logger = logging.getLogger(__name__)


class EvacuationMonitor:
    """Enforces evacuations on this VM, and follows them on the others.

    An entry VM starts no request in an evacuated zone once it has applied the
    order. Its heartbeats tell the others which version it has applied.
    """

    def __init__(
        self,
        peers: Collection[VmId],
        get_state: Callable[[], FleetState],
        slots: SlotManager,
        broadcast_version: Callable[[], None],
    ):
        """Make the monitor of one entry VM.

        Args:
            peers: The other entry VMs.
            get_state: Returns the replicated state.
            slots: Slot manager of this VM.
            broadcast_version: Sends the applied version to the other VMs.
        """
        self._loop = asyncio.get_running_loop()
        self._peers = frozenset(peers)
        self._get_state = get_state
        self._slots = slots
        self._broadcast_version = broadcast_version
        self._zones: dict[AvailabilityZoneId, ZoneEvacuation] = {}
        self._versions: dict[VmId, int] = {}
        # Set and replaced by a new event when a peer reports its version.
        self._reported = asyncio.Event()

    def state_changed(self) -> None:
        """Enforce the evacuations of the applied state."""
        zones = dict(self._get_state().evacuated_zones)
        if zones == self._zones:
            return
        earlier, self._zones = self._zones, zones
        self._slots.set_evacuated_zones(frozenset(zones))
        for zone in earlier.keys() - zones.keys():
            logger.info("zone restored", extra={"zone": zone})
        for zone, order in zones.items():
            if earlier.get(zone) != order:
                logger.info(
                    "zone evacuated",
                    extra={
                        "zone": zone,
                        "version": order.version,
                        "operator": order.operator,
                        "reason": order.reason,
                    },
                )
        self._broadcast_version()

    def record_version(self, peer: VmId, version: int) -> None:
        """Record the version that `peer` has applied."""
        self._versions[peer] = version
        self._reported.set()
        self._reported = asyncio.Event()

    def forget_version(self, peer: VmId) -> None:
        """Discard the version of `peer`, to which there is no link."""
        self._versions.pop(peer, None)

    async def wait_confirmed(self, zone: AvailabilityZoneId) -> list[VmId]:
        """Wait until every entry VM enforces the evacuation of `zone`.

        Returns:
            The entry VMs that have not confirmed it within
            `CONFIRMATION_TIMEOUT_SECONDS`.
        """
        deadline = self._loop.time() + CONFIRMATION_TIMEOUT_SECONDS
        try:
            async with asyncio.timeout_at(deadline):
                while self._unconfirmed(zone):
                    await self._reported.wait()
        except TimeoutError:
            return self._unconfirmed(zone)
        await asyncio.sleep(SETTLE_SECONDS)
        return []

    def _unconfirmed(self, zone: AvailabilityZoneId) -> list[VmId]:
        order = self._get_state().evacuated_zones.get(zone)
        if order is None:
            return []
        return sorted(
            peer
            for peer in self._peers
            if self._versions.get(peer, -1) < order.version
        )
