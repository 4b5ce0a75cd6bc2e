"""A gateway: stateless, connected to the coordinators by links."""

import asyncio
import logging

from galenarill.cluster import (
    LeaderClient,
    NoAnswerError,
    Presence,
    Reply,
)
from galenarill.common import VmId, monotonic_now
from galenarill.gateway.service import GatewayService
from galenarill.links import Mesh
from galenarill.settings import NodeSettings
from galenarill.telemetry import meter

__all__ = ["Gateway"]

logger = logging.getLogger(__name__)

_REQUESTS = meter().create_counter("galenarill_requests")
_READY = meter().create_gauge("galenarill_ready")
_LATENCY = meter().create_histogram("galenarill_request_seconds", unit="s")

# A `Presence` of a gateway only keeps its links alive.
PRESENCE_INTERVAL_SECONDS = 0.7
# Time without messages after which a link is treated as half-open: twice the
# longest interval of `Presence`.
LINK_IDLE_TIMEOUT_SECONDS = 1.5


class Gateway(GatewayService):
    """The components of a gateway's process, without its HTTP interface."""

    def __init__(self, settings: NodeSettings):
        """Make all components; `run` starts them."""
        self._is_leaving = False
        self._leader_client = LeaderClient(self._send)
        self._mesh = Mesh(
            settings.link_address,
            "",
            {vm: vm for vm in settings.seed_link_addresses},
            settings.link_secret.encode(),
            self._on_message,
            self._on_link,
            accepts_unknown_peers=True,
            idle_timeout_seconds=LINK_IDLE_TIMEOUT_SECONDS,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this gateway.

        A link to a coordinator isn't sufficient: in a partitioned zone, a
        gateway can reach a coordinator but no leader, and callers have to use
        gateways in other zones.
        """
        return not self._is_leaving and self._leader_client.leader is not None

    def add_seeds(self, settings: NodeSettings) -> None:
        """Add the seeds of `settings` to the known coordinators."""
        for vm in settings.seed_link_addresses:
            self._mesh.add_peer(vm, vm)

    def leave(self) -> None:
        """Report to the load balancer that this gateway is not ready."""
        self._is_leaving = True

    async def run(self) -> None:
        """Run until cancelled."""
        await self._mesh.start()
        try:
            while True:
                _READY.set(int(self.is_ready))
                for peer in self._mesh.connected_peers:
                    self._mesh.send(peer, Presence(0, False, ()))
                await asyncio.sleep(PRESENCE_INTERVAL_SECONDS)
        finally:
            await self._mesh.stop()

    async def call_leader(self, request, deadline: float) -> Reply:
        """Forward a caller's request to the leader; see `GatewayService`."""
        started_at = monotonic_now()
        outcome = "no leader"
        try:
            reply = await self._leader_client.call_leader(request, deadline)
            outcome = reply.code.value
            return reply
        except NoAnswerError:
            outcome = "no answer"
            raise
        finally:
            seconds = monotonic_now() - started_at
            kind = type(request).__name__
            labels = {"kind": kind, "outcome": outcome}
            _REQUESTS.add(1, labels)
            _LATENCY.record(seconds, {"kind": kind})
            if outcome != "done":
                logger.info(
                    "request not served",
                    extra={
                        "job": getattr(request, "job", ""),
                        "kind": kind,
                        "outcome": outcome,
                        "leader": self._leader_client.leader,
                        "seconds": round(seconds, 3),
                    },
                )

    def _send(self, peer: VmId, message) -> bool:
        return self._mesh.send(peer, message)

    def _on_link(self, peer: VmId, is_up: bool) -> None:
        self._leader_client.record_link(peer, is_up)
        logger.info("link", extra={"peer": peer, "up": is_up})

    def _on_message(self, peer: VmId, message) -> None:
        match message:
            case Presence():
                self._leader_client.record_presence(peer, message)
                for vm in message.coordinators:
                    self._mesh.add_peer(vm, vm)
            case Reply():
                self._leader_client.record_reply(message)
