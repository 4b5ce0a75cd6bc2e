"""Slots of one entry VM: zone lease, zone scheduler and permits."""

import asyncio
import logging
import random
import secrets
from collections.abc import Callable

import msgspec

from galenarill.common import (
    AttemptId,
    AvailabilityZoneId,
    PermitId,
    PoolId,
    RequestId,
    TeamId,
    VmId,
    rendezvous_order,
)
from galenarill.entry.policy import FleetPolicy
from galenarill.errors import RequestRefusedError
from galenarill.scheduling import (
    AttemptStart,
    LeaseCandidate,
    LeaseElector,
    LeaseState,
    PermitHolder,
    QueueWaitEstimator,
    ZoneScheduler,
    electors_of,
)
from galenarill.scheduling import messages as m
from galenarill.settings import ProcessSettings

__all__ = ["SlotManager"]

REGISTER_INTERVAL_SECONDS = 0.5
# Time after the last request for which sessions with schedulers are renewed.
SESSION_IDLE_SECONDS = 10.0
CAMPAIGN_INTERVAL_SECONDS = 0.3
# Time after the start of this process for which attempts of an earlier
# process on this VM may still be running.
RESTART_GRACE_SECONDS = 5.0
REPORT_TIMEOUT_SECONDS = 1.0

logger = logging.getLogger(__name__)


class SlotManager:
    """Acquires slots for this VM's requests, and schedules the zone if elected.

    The zone's lease elects one entry VM as its scheduler, which grants permits
    for slots of the zone's backend servers. This class connects the state
    machines of the lease, the scheduler and the permits to the event loop and
    to the links with other entry VMs.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        policy: FleetPolicy,
        send: Callable,
        get_version: Callable[[], int],
        on_permit_returned: Callable[[PermitId], None],
    ):
        """Make a slot manager without permits.

        Args:
            settings: Settings of this process.
            policy: Limits, shares and pool membership.
            send: Sends a message to a peer, and returns whether there is a
                link.
            get_version: Returns the version of the replicated state, or -1
                while it may be older than what an earlier process of this VM
                has applied.
            on_permit_returned: Called with each permit that is returned.
        """
        self._on_permit_returned = on_permit_returned
        self._loop = asyncio.get_running_loop()
        now = self._loop.time()
        self._vm = VmId(settings.vm)
        self._az = AvailabilityZoneId(settings.local_peer.availability_zone)
        self._zones = settings.zones
        self._policy = policy
        self._send_to_peer = send
        self._get_version = get_version
        self._holder = PermitHolder(self._az)
        self._electorates = {
            az: electors_of(az, self._zones) for az in set(self._zones.values())
        }
        self._electors = {
            az: LeaseElector(now)
            for az, vms in self._electorates.items()
            if self._vm in vms
        }
        self._candidate = LeaseCandidate(
            self._az, self._vm, self._electorates[self._az]
        )
        self._scheduler: ZoneScheduler | None = None
        # Scheduling entry VM and epoch of each zone.
        self._schedulers: dict[AvailabilityZoneId, tuple[VmId, str]] = {}
        self._next_register_at: dict[AvailabilityZoneId, float] = {}
        self._next_campaign_at = now + random.uniform(
            0, CAMPAIGN_INTERVAL_SECONDS
        )
        self._active_until = 0.0
        self._restart_grace_until = now + RESTART_GRACE_SECONDS
        self._connected_peers: set[VmId] = set()
        self._start_futures: dict[RequestId, asyncio.Future[AttemptStart]] = {}
        self._last_report_call = 0
        self._report_futures: dict[
            int, asyncio.Future[m.ServerReportReply]
        ] = {}
        self._is_pump_scheduled = False
        self._is_leaving = False
        self._wait_estimates: dict[
            tuple[PoolId, TeamId], QueueWaitEstimator
        ] = {}

    @property
    def holder(self) -> PermitHolder:
        """The permits and waiting requests of this VM."""
        return self._holder

    @property
    def scheduler(self) -> ZoneScheduler | None:
        """The zone's scheduler, or None if it does not run on this VM."""
        return self._scheduler

    @property
    def scheduling_epoch(self) -> str:
        """Epoch of the scheduler that runs on this VM, or "" without one."""
        return self._scheduler.epoch if self._scheduler else ""

    @property
    def schedulers(self) -> dict[AvailabilityZoneId, tuple[VmId, str]]:
        """Scheduling entry VM and epoch of each zone, as known to this VM."""
        return self._schedulers

    async def acquire(
        self,
        request: RequestId,
        pool: PoolId,
        team: TeamId,
        deadline: float,
        excluded: frozenset[VmId] = frozenset(),
    ) -> AttemptStart:
        """Wait for a slot.

        Args:
            request: Id of the request.
            pool: Pool whose backend servers can run it.
            team: Team on whose behalf it runs.
            deadline: Latest loop time at which it may start.
            excluded: Backend servers on which it has failed.

        Returns:
            The start, with the permit to use.

        Raises:
            RequestRefusedError: If it cannot start before `deadline`.
        """
        now = self._loop.time()
        self._active_until = now + SESSION_IDLE_SECONDS
        self._check_expected_wait(pool, team, deadline, now)
        start = self._holder.submit(
            request, pool, team, deadline, now, excluded
        )
        if start is not None:
            return start
        future = self._loop.create_future()
        self._start_futures[request] = future
        self._open_sessions(now)
        self._schedule_pump()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                # The slot was granted in the same turn of the loop as the
                # cancellation.
                if future.exception() is None:
                    self.release(future.result().permit.permit_id)
            else:
                self._holder.cancel(request)
            raise
        finally:
            self._start_futures.pop(request, None)
            self._schedule_pump()

    def release(
        self,
        permit_id: PermitId,
        *,
        failed: bool = False,
        running: AttemptId | None = None,
    ) -> None:
        """End the attempt on `permit_id`; see `PermitHolder.finish`."""
        self._holder.finish(
            permit_id, self._loop.time(), failed=failed, running=running
        )
        if self._holder.has_output:
            self._schedule_pump()

    async def report(self, message: m.ServerReport) -> m.ServerReportReply:
        """Forward a backend server's announcement to its zone's scheduler.

        Args:
            message: The announcement; its call number is replaced.

        Returns:
            The scheduler's reply.

        Raises:
            TimeoutError: If there is no scheduler or it does not reply.
        """
        self._last_report_call += 1
        call = self._last_report_call
        future = self._loop.create_future()
        self._report_futures[call] = future
        try:
            scheduler = self._schedulers.get(message.availability_zone)
            if scheduler is None:
                raise TimeoutError("the zone has no scheduler")
            numbered = _with_call(message, call)
            self._send(scheduler[0], numbered)
            async with asyncio.timeout(REPORT_TIMEOUT_SECONDS):
                return await future
        finally:
            self._report_futures.pop(call, None)

    def receive(self, sender: VmId, message) -> None:
        """Handle a message from a peer or from this VM."""
        now = self._loop.time()
        match message:
            case m.Register():
                if self._is_for_local_scheduler(message):
                    self._scheduler.register(sender, message, now)
            case m.Demand():
                if self._is_for_local_scheduler(message):
                    self._scheduler.demand(sender, message, now)
            case m.Returned():
                if self._is_for_local_scheduler(message):
                    self._scheduler.returned(sender, message, now)
            case m.ServerReport():
                self._receive_report(sender, message, now)
            case m.ServerReportReply():
                future = self._report_futures.get(message.call)
                if future is not None and not future.done():
                    future.set_result(message)
            case m.RegisterReply():
                self._holder.handle_register_reply(message, now)
            case m.Granted():
                self._holder.add_permits(message, now)
            case m.Recall():
                self._holder.recall(message, now)
            case m.LeaseRequest():
                self._receive_lease_request(sender, message, now)
            case m.LeaseReply():
                self._candidate.receive(sender, message, now)
                self._apply_lease_state(now)
        self._schedule_pump()

    def set_link_state(self, peer: VmId, is_up: bool) -> None:
        """Record whether the link to `peer` is up."""
        zone = self._zones[peer]
        if is_up:
            self._connected_peers.add(peer)
            return
        self._connected_peers.discard(peer)
        if self._schedulers.get(zone, ("", ""))[0] == peer:
            self._holder.forget_session(zone)
            self._next_register_at[zone] = 0.0

    def set_peer_epoch(self, peer: VmId, epoch: str) -> None:
        """Record the epoch of the scheduler on `peer`, or "" without one."""
        zone = self._zones[peer]
        known = self._schedulers.get(zone, ("", ""))
        if epoch and known != (peer, epoch):
            self._schedulers[zone] = (peer, epoch)
            self._register(zone, self._loop.time())
            self._schedule_pump()
        elif not epoch and known[0] == peer:
            del self._schedulers[zone]

    def policy_changed(self) -> None:
        """Apply changed limits, shares and pool membership."""
        now = self._loop.time()
        if self._scheduler is not None and self._may_grant(now):
            self._scheduler.policy_changed(now)
        self._schedule_pump()

    def set_evacuated_zones(self, zones: frozenset[AvailabilityZoneId]) -> None:
        """Start no request of this VM in `zones`."""
        self._holder.set_evacuated_zones(zones)
        self._schedule_pump()

    def leave(self) -> None:
        """Stop the scheduler, and neither renew nor seek the zone's lease."""
        self._is_leaving = True

    def majority_version(self) -> int:
        """Return the state version that a majority of electors has applied."""
        return self._candidate.majority_version

    def tick(self) -> None:
        """Handle timeouts and periodic work."""
        now = self._loop.time()
        self._tick_lease(now)
        self._holder.tick(now)
        if self._scheduler is not None and self._may_grant(now):
            self._scheduler.tick(now)
        is_active = self._holder.permits or self._holder.waiting
        if is_active or now < self._active_until:
            self._open_sessions(now)
        self.pump()

    def pump(self) -> None:
        """Process the outputs of the permit holder and the scheduler."""
        self._is_pump_scheduled = False
        now = self._loop.time()
        # A message from the holder to a scheduler on this VM is delivered at
        # once and can cause new outputs of the holder, so a second pass is
        # needed.
        for _ in range(2):
            self._pump_holder(now)
            if self._scheduler is not None:
                self._pump_scheduler(now)
        self._resolve_waiting_requests(now)

    def _pump_holder(self, now: float) -> None:
        for permit_id in self._holder.take_returned_ids():
            self._on_permit_returned(permit_id)
        for zone, message in self._holder.take_messages(now):
            scheduler = self._schedulers.get(zone)
            if scheduler is not None:
                self._send(scheduler[0], message)

    def _pump_scheduler(self, now: float) -> None:
        scheduler = self._scheduler
        if scheduler.has_work and self._may_grant(now):
            scheduler.allocate(now)
        for holder, batch in scheduler.take_messages().items():
            for message in batch:
                self._send(holder, message)
        self._log_decisions()

    def _resolve_waiting_requests(self, now: float) -> None:
        for start in self._holder.take_starts():
            pair = (start.permit.pool, start.permit.team)
            self._wait_estimates[pair].record_start(now)
            future = self._start_futures.get(start.request)
            if future is None or future.done():
                self._holder.finish(start.permit.permit_id, now)
                self._schedule_pump()
            else:
                future.set_result(start)
        for expired in self._holder.take_expired():
            future = self._start_futures.get(expired.request)
            if future is not None and not future.done():
                future.set_exception(
                    RequestRefusedError(
                        "deadline-passed",
                        "no slot was free before the deadline",
                    )
                )

    def _schedule_pump(self) -> None:
        if not self._is_pump_scheduled:
            self._is_pump_scheduled = True
            self._loop.call_soon(self.pump)

    def _send(self, peer: VmId, message) -> None:
        if peer == self._vm:
            self.receive(peer, message)
        else:
            self._send_to_peer(peer, message)

    def _is_for_local_scheduler(self, message) -> bool:
        return (
            self._scheduler is not None
            and message.availability_zone == self._az
        )

    def _may_grant(self, now: float) -> bool:
        return (
            self._candidate.state(now) is LeaseState.HOLDING
            and self._get_version() >= self._candidate.required_version
        )

    def _receive_report(
        self, sender: VmId, message: m.ServerReport, now: float
    ) -> None:
        if self._is_for_local_scheduler(message):
            self._send(sender, self._scheduler.report(message, now))

    def _receive_lease_request(
        self, sender: VmId, message: m.LeaseRequest, now: float
    ) -> None:
        elector = self._electors.get(message.availability_zone)
        if elector is not None and sender == message.candidate:
            reply = elector.request(message, self._get_version(), now)
            self._send(sender, reply)

    def _open_sessions(self, now: float) -> None:
        for zone in self._schedulers:
            if now >= self._next_register_at.get(zone, 0.0):
                self._register(zone, now)

    def _register(self, zone: AvailabilityZoneId, now: float) -> None:
        vm, epoch = self._schedulers[zone]
        if vm != self._vm and vm not in self._connected_peers:
            return
        self._next_register_at[zone] = now + REGISTER_INTERVAL_SECONDS
        is_in_restart_grace = now < self._restart_grace_until
        self._send(
            vm,
            self._holder.next_register(
                zone, epoch, now, fresh=is_in_restart_grace
            ),
        )

    def _tick_lease(self, now: float) -> None:
        state = self._candidate.state(now)
        if self._is_leaving:
            self._apply_lease_state(now)
            return
        if state is LeaseState.FOLLOWING and now >= self._next_campaign_at:
            self._next_campaign_at = now + random.uniform(
                CAMPAIGN_INTERVAL_SECONDS, 2 * CAMPAIGN_INTERVAL_SECONDS
            )
            if self._should_campaign():
                epoch = f"{self._az}-{secrets.token_hex(4)}"
                self._send_to_electors(self._candidate.campaign(epoch, now))
        else:
            request = self._candidate.renew(now)
            if request is not None:
                self._send_to_electors(request)
        self._apply_lease_state(now)

    def _should_campaign(self) -> bool:
        """Return whether this VM should campaign for the zone's lease.

        It should if no connected VM schedules the zone, and no connected entry
        VM of the zone precedes this one in rendezvous order.
        """
        known = self._schedulers.get(self._az)
        if known is not None and known[0] in self._connected_peers:
            return False
        own = [vm for vm, az in self._zones.items() if az == self._az]
        for vm in rendezvous_order(self._az, own):
            if vm == self._vm:
                return True
            if vm in self._connected_peers:
                return False
        return True

    def _send_to_electors(self, request: m.LeaseRequest) -> None:
        for vm in sorted(self._electorates[self._az]):
            self._send(vm, request)

    def _apply_lease_state(self, now: float) -> None:
        """Start the scheduler if the lease was won, stop it if it was lost."""
        is_holding = (
            self._candidate.state(now) is LeaseState.HOLDING
            and not self._is_leaving
        )
        if is_holding and self.scheduling_epoch != self._candidate.epoch:
            self._start_scheduler(now)
        elif not is_holding and self._scheduler is not None:
            logger.warning("scheduler stopped", extra={"zone": self._az})
            self._scheduler = None
            if self._schedulers.get(self._az, ("", ""))[0] == self._vm:
                del self._schedulers[self._az]

    def _start_scheduler(self, now: float) -> None:
        epoch = self._candidate.epoch
        logger.info("scheduler started", extra={"zone": self._az, "ep": epoch})
        self._scheduler = ZoneScheduler(
            self._az, epoch, frozenset(self._zones), self._policy, now
        )
        self._schedulers[self._az] = (self._vm, epoch)
        self._register(self._az, now)

    def _log_decisions(self) -> None:
        for decision in self._scheduler.take_decisions():
            logger.info(
                decision.kind.value,
                extra={
                    "server": decision.server,
                    "team": decision.team,
                    "permit": decision.permit,
                    "reason": decision.reason,
                },
            )

    def _check_expected_wait(
        self, pool: PoolId, team: TeamId, deadline: float, now: float
    ) -> None:
        """Raise if the expected wait exceeds the deadline."""
        waiting = self._holder.waiting_for(pool, team)
        estimate = self._wait_estimates.setdefault(
            (pool, team), QueueWaitEstimator()
        )
        if not waiting:
            estimate.begin_busy_period(now)
        wait = estimate.expected_wait(waiting, now)
        if now + wait > deadline:
            raise RequestRefusedError(
                "queue-too-long",
                f"{waiting} requests of the team wait, about {wait:.1f} s, "
                "which is past the deadline",
            )


def _with_call(message: m.ServerReport, call: int) -> m.ServerReport:
    return msgspec.structs.replace(message, call=call)
