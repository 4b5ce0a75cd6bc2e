"""Process of one entry VM: its components and the messages between them."""

import asyncio
import contextlib
import logging
import pathlib
import resource
import signal
import time

from aiohttp import web

from galenarill.claims import messages as claim_messages
from galenarill.common import AttemptId, AvailabilityZoneId, RequestId, VmId
from galenarill.consensus import messages as log_messages
from galenarill.entry.admin import AdminInterface
from galenarill.entry.callers import CallerInterface
from galenarill.entry.claims import ClaimManager
from galenarill.entry.connections import PermitConnections
from galenarill.entry.control import open_control_plane
from galenarill.entry.evacuation import EvacuationMonitor
from galenarill.entry.executor import RequestExecutor
from galenarill.entry.keyring import KeyRing
from galenarill.entry.operators import load_operators
from galenarill.entry.policy import FleetPolicy
from galenarill.entry.reconciler import ZoneReconciler
from galenarill.entry.servers import ServerInterface
from galenarill.entry.slots import SlotManager
from galenarill.errors import SettingsError
from galenarill.links import Mesh, load_certificates
from galenarill.maintenance import HttpPlatformClient, MaintenanceDriver
from galenarill.membership import messages as membership_messages
from galenarill.scheduling import BrokenRequests
from galenarill.scheduling import messages as slot_messages
from galenarill.settings import ProcessSettings
from galenarill.state import messages as state_messages
from galenarill.telemetry import LogBuffer, ObservableGauges

__all__ = ["EntryNode", "serve"]

# Tick intervals while requests wait for slots, and while none do.
BUSY_TICK_INTERVAL_SECONDS = 0.04
IDLE_TICK_INTERVAL_SECONDS = 0.1
HEARTBEAT_INTERVAL_SECONDS = 1.0
LOG_FLUSH_INTERVAL_SECONDS = 0.5
CERTIFICATE_RELOAD_INTERVAL_SECONDS = 2.0
# Time between the announcement of a shutdown and the end of listening. The
# load balancer and the peers stop sending requests in this time.
LEAVE_GRACE_SECONDS = 3.0
# aiohttp's limit on the time for open requests, which have deadlines of their
# own.
SHUTDOWN_TIMEOUT_SECONDS = 900.0

logger = logging.getLogger(__name__)


class EntryNode:
    """The components of one entry VM's process."""

    def __init__(self, settings: ProcessSettings, log_buffer: LogBuffer):
        """Make all components; `run` starts them.

        Args:
            settings: Settings of this process.
            log_buffer: Buffered log lines, flushed periodically.

        Raises:
            JournalError: If the journal cannot be opened.
            SettingsError: If a file that the settings name cannot be used.
        """
        self._settings = settings
        self._log_buffer = log_buffer
        self._loop = asyncio.get_running_loop()
        self._vm = VmId(settings.vm)
        self._is_leaving = False
        self._started_at = time.monotonic()
        az = AvailabilityZoneId(settings.local_peer.availability_zone)
        secret = pathlib.Path(settings.link_secret_file).read_bytes().strip()
        self._certificates = load_certificates(
            settings.tls_certificate_file,
            settings.tls_key_file,
            settings.tls_ca_file,
        )
        self._mesh = Mesh(
            self._vm,
            settings.local_peer.links,
            {
                VmId(peer.id): peer.links
                for peer in settings.entry_vms
                if peer.id != settings.vm
            },
            secret,
            self._on_message,
            self._on_link,
            self._certificates,
        )
        self._control = open_control_plane(
            settings, self._mesh.send, self._on_applied
        )
        self._keys = KeyRing(
            settings,
            self._mesh.send,
            lambda: self._control.state,
            lambda: self._control.is_caught_up,
        )
        self._connections = PermitConnections()
        self._slots = SlotManager(
            settings,
            FleetPolicy(az, lambda: self._control.state),
            self._mesh.send,
            self._version_if_current,
            self._connections.close,
        )
        self._evacuations = EvacuationMonitor(
            settings.zones.keys() - {settings.vm},
            lambda: self._control.state,
            self._slots,
            self._broadcast_heartbeat,
        )
        self._claims = ClaimManager(settings, self._mesh.send)
        self._broken = BrokenRequests()
        self._callers = CallerInterface(
            settings,
            lambda: self._control.state,
            self._keys,
            self._claims,
            self._slots,
            RequestExecutor(self._slots, self._connections, self._broken),
            self._certificates and self._certificates.peer_client_context,
        )
        self._reconciler = ZoneReconciler(
            self._vm, az, self._control, self._slots, self._mesh.send
        )
        self._message_handlers = self._make_message_handlers()
        # The state restored from the disk may contain evacuations.
        self._evacuations.state_changed()

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then shut down gracefully."""
        runner = web.AppRunner(
            self._make_app(),
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
        )
        await self._mesh.start()
        await runner.setup()
        host, _, port = self._settings.local_peer.callers.rpartition(":")
        site = web.TCPSite(
            runner,
            host,
            int(port),
            reuse_address=True,
            backlog=1024,
            ssl_context=self._certificates
            and self._certificates.caller_listener_context,
        )
        await site.start()
        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (
                self._tick_forever(),
                self._send_heartbeats(),
                self._flush_logs(),
                self._reconciler.run(),
                self._drive_maintenance(),
                self._reload_certificates(),
            )
        ]
        logger.info(
            "started", extra={"listen": self._settings.local_peer.callers}
        )
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait(
            [*tasks, stopping], return_when=asyncio.FIRST_COMPLETED
        )
        failed = [task for task in tasks if task.done()]
        if not failed:
            await self._shut_down(site)
        await runner.cleanup()
        await self._connections.close_all()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._mesh.stop()
        logger.info("stopped")
        self._log_buffer.flush()
        for task in failed:
            task.result()

    async def _shut_down(self, site: web.TCPSite) -> None:
        """Stop accepting requests, and wait for those in progress."""
        logger.info(
            "leaving", extra={"requests": self._callers.requests_in_progress}
        )
        self._is_leaving = True
        self._callers.leave()
        self._slots.leave()
        self._broadcast_heartbeat()
        await asyncio.sleep(LEAVE_GRACE_SECONDS)
        await site.stop()
        await self._callers.wait_idle()

    def _make_app(self) -> web.Application:
        settings = self._settings
        app = web.Application()
        self._callers.add_routes(app)
        ServerInterface(
            lambda: self._control.state, self._slots, settings.server_secret
        ).add_routes(app)
        operators = load_operators(pathlib.Path(settings.operators_file))
        AdminInterface(
            self._control,
            self._keys,
            operators,
            self._evacuations,
            self._status,
        ).add_routes(app)
        ObservableGauges(self._gauges()).add_routes(app)
        app.router.add_get("/livez", self._livez)
        app.router.add_get("/readyz", self._readyz)
        return app

    async def _livez(self, request: web.Request) -> web.Response:
        return web.Response(text="alive\n")

    async def _readyz(self, request: web.Request) -> web.Response:
        """Report to the load balancer whether this VM should get requests."""
        reasons = []
        if self._is_leaving:
            reasons.append("leaving")
        if not self._keys.is_fresh():
            reasons.append("keys are not fresh")
        if not self._slots.schedulers:
            reasons.append("no scheduler is known")
        if reasons:
            return web.Response(status=503, text="; ".join(reasons) + "\n")
        return web.Response(text="ready\n")

    def _make_message_handlers(self) -> dict[type, object]:
        handlers: dict[type, object] = {}
        for module, receive in (
            (log_messages, self._control.receive),
            (slot_messages, self._slots.receive),
            (claim_messages, self._claims.receive),
            (membership_messages, self._receive_membership),
        ):
            for name in module.__all__:
                handlers[getattr(module, name)] = receive
        handlers[slot_messages.AllotmentRequest] = self._reconciler.receive
        handlers[state_messages.Propose] = self._control.receive_proposal
        handlers[state_messages.Proposed] = lambda _, message: (
            self._control.receive_outcome(message)
        )
        return handlers

    def _on_message(self, peer: VmId, message) -> None:
        self._message_handlers[type(message)](peer, message)

    def _on_link(self, peer: VmId, is_up: bool) -> None:
        logger.info("link", extra={"peer": peer, "up": is_up})
        self._slots.set_link_state(peer, is_up)
        if is_up:
            # The peer may have restarted, or been cut off.
            broken = self._broken.latest(self._loop.time())
            self._send_heartbeat(peer, broken)
        else:
            self._evacuations.forget_version(peer)

    def _receive_membership(self, peer: VmId, message) -> None:
        if isinstance(message, membership_messages.Heartbeat):
            self._slots.set_peer_epoch(peer, message.epoch)
            self._evacuations.record_version(peer, message.version)
            for request, attempt in message.broken:
                self._broken.record(request, attempt, self._loop.time())
        self._keys.receive(peer, message)

    def _on_applied(self) -> None:
        self._keys.state_changed()
        self._evacuations.state_changed()
        self._slots.policy_changed()

    def _version_if_current(self) -> int:
        if not self._control.is_caught_up:
            return -1
        return self._control.state.version

    async def _tick_forever(self) -> None:
        epoch = ""
        while True:
            is_waiting = self._slots.holder.waiting
            await asyncio.sleep(
                BUSY_TICK_INTERVAL_SECONDS
                if is_waiting
                else IDLE_TICK_INTERVAL_SECONDS
            )
            self._control.tick()
            self._slots.tick()
            self._claims.tick()
            has_new_epoch = self._slots.scheduling_epoch != epoch
            if has_new_epoch or self._broken.has_news:
                epoch = self._slots.scheduling_epoch
                self._broadcast_heartbeat()

    async def _send_heartbeats(self) -> None:
        while True:
            self._broadcast_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def _broadcast_heartbeat(self) -> None:
        broken = self._broken.announcements(self._loop.time())
        for peer in self._mesh.connected_peers:
            self._send_heartbeat(peer, broken)

    def _send_heartbeat(
        self, peer: VmId, broken: tuple[tuple[RequestId, AttemptId], ...]
    ) -> None:
        epoch = self._slots.scheduling_epoch
        message = self._keys.next_heartbeat(
            peer, epoch, self._is_leaving, broken
        )
        self._mesh.send(peer, message)

    async def _flush_logs(self) -> None:
        while True:
            await asyncio.sleep(LOG_FLUSH_INTERVAL_SECONDS)
            self._log_buffer.flush()

    async def _drive_maintenance(self) -> None:
        if not self._settings.platform:
            await asyncio.Event().wait()
        platform = HttpPlatformClient(self._settings.platform)
        async with contextlib.aclosing(platform):
            await MaintenanceDriver(self._vm, self._control, platform).run()

    async def _reload_certificates(self) -> None:
        while True:
            await asyncio.sleep(CERTIFICATE_RELOAD_INTERVAL_SECONDS)
            try:
                if self._certificates and self._certificates.reload():
                    logger.info("certificates reloaded")
            except SettingsError as error:
                logger.error(
                    "certificates not reloaded", extra={"why": str(error)}
                )

    def _gauges(self) -> dict:
        counters = self._mesh.counters
        holder = self._slots.holder
        return {
            "requests": lambda: self._callers.requests_in_progress,
            "waiting": lambda: holder.waiting,
            "permits": lambda: len(holder.permits),
            "claims": lambda: len(self._claims.table),
            "version": lambda: self._control.state.version,
            "evacuated_zones": lambda: len(self._control.state.evacuated_zones),
            "links": lambda: len(self._mesh.connected_peers),
            "link_sent_bytes": lambda: counters.sent_bytes,
            "link_received_bytes": lambda: counters.received_bytes,
            "link_sent_messages": lambda: counters.sent_messages,
            "link_received_messages": lambda: counters.received_messages,
            "cpu_seconds": time.process_time,
            "memory_peak_kib": _peak_memory_kib,
        }

    def _status(self) -> dict:
        """Return the status of this VM for operators."""
        scheduler = self._slots.scheduler
        servers = scheduler.servers.values() if scheduler else ()
        return {
            "vm": self._vm,
            "availability_zone": self._settings.local_peer.availability_zone,
            "uptime_seconds": round(time.monotonic() - self._started_at, 1),
            "is_leaving": self._is_leaving,
            "is_fresh": self._keys.is_fresh(),
            "withdrawn_digest": self._keys.digest,
            "log_role": self._control.replica.role.value,
            "log_leader": self._control.replica.leader,
            "log_voters": sorted(self._control.replica.configuration.voters),
            "log_learners": sorted(
                self._control.replica.configuration.learners
            ),
            "links": self._mesh.connected_peers,
            "entry_vms": [
                {
                    "id": peer.id,
                    "availability_zone": peer.availability_zone,
                    "callers": peer.callers,
                }
                for peer in self._settings.entry_vms
            ],
            "schedulers": {
                zone: vm for zone, (vm, _) in self._slots.schedulers.items()
            },
            "requests": self._callers.requests_in_progress,
            "waiting": self._slots.holder.waiting,
            "backend_servers": [
                {
                    "vm": server.vm,
                    "pool": server.pool,
                    "slots": server.slots,
                    "used": server.used,
                    "orphans": len(server.orphans),
                    "is_leaving": server.is_leaving,
                    "is_usable": server.is_in_sync and not server.is_leaving,
                }
                for server in servers
            ],
            "running": {
                team: scheduler.running(team)
                for team in self._control.state.limits
                if scheduler
            },
        }


async def serve(settings: ProcessSettings, log_buffer: LogBuffer) -> None:
    """Run one entry VM until it receives SIGTERM or SIGINT.

    Args:
        settings: Settings of this process.
        log_buffer: Buffered log lines, flushed periodically.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await EntryNode(settings, log_buffer).run(stop)


def _peak_memory_kib() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
