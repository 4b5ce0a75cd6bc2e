"""Changes that a zone's scheduler proposes to the replicated log."""

import asyncio
import logging
from collections.abc import Callable

from galenarill.common import (
    AvailabilityZoneId,
    ChangeId,
    OperatorId,
    VmId,
)
from galenarill.entry.control import ControlPlane
from galenarill.entry.slots import SlotManager
from galenarill.errors import NotLeaderError
from galenarill.scheduling import ZoneScheduler
from galenarill.scheduling.messages import AllotmentRequest
from galenarill.state import (
    AcknowledgeAllotment,
    AdvanceDrain,
    GiveAllotment,
    LimitEscrow,
    ReportLoss,
    ReportReturn,
    TakeAllotment,
    VmState,
)

__all__ = ["ZoneReconciler"]

RECONCILE_INTERVAL_SECONDS = 0.5

logger = logging.getLogger(__name__)


class ZoneReconciler:
    """Proposes changes where the zone differs from the replicated state.

    It runs on every entry VM, and is active on the one that schedules the zone.
    It reports lost, returned and drained VMs, acknowledges lower allotments,
    gives up spare allotments and takes needed ones. Each change names the state
    that it is based on, so repeated and late changes are rejected as stale.
    """

    def __init__(
        self,
        vm: VmId,
        az: AvailabilityZoneId,
        control: ControlPlane,
        slots: SlotManager,
        send: Callable,
    ):
        """Make the reconciler of one entry VM.

        Args:
            vm: This entry VM.
            az: Its zone.
            control: Its control plane.
            slots: Its slot manager.
            send: Sends a message to a peer.
        """
        self._vm = vm
        self._send_to_peer = send
        self._operator = OperatorId(f"entry VM {vm}")
        self._az = az
        self._control = control
        self._slots = slots
        self._loop = asyncio.get_running_loop()
        self._pending_changes: dict[ChangeId, asyncio.Task] = {}

    async def run(self) -> None:
        """Reconcile periodically until cancelled."""
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_SECONDS)
            scheduler = self._slots.scheduler
            if scheduler is not None and self._control.is_caught_up:
                self._reconcile_vms(scheduler)
                self._reconcile_allotments(scheduler)
                self._reconcile_demand(scheduler)

    def receive(self, sender: VmId, message: AllotmentRequest) -> None:
        """Give up spare allotment for a zone that needs it."""
        scheduler = self._slots.scheduler
        if scheduler is None or not self._control.is_caught_up:
            return
        spare = scheduler.spare_allotment(message.team)
        if self._az not in self._control.state.evacuated_zones:
            # The other half is kept for requests that arrive in this zone
            # before the change is applied.
            spare = (spare + 1) // 2
        count = min(message.count, spare)
        if count:
            command = GiveAllotment(self._az, message.team, count)
            version = self._control.state.version
            self._propose(command, f"give:{self._az}:{message.team}:{version}")

    def _reconcile_vms(self, scheduler: ZoneScheduler) -> None:
        now = self._loop.time()
        for name, vm in self._control.state.vms.items():
            if vm.availability_zone != self._az:
                continue
            version = self._control.state.version
            server = scheduler.servers.get(name)
            is_lost = scheduler.is_lost(name, now)
            if vm.state is VmState.SERVING and server and is_lost:
                command = ReportLoss(name, server.incarnation)
                self._propose(command, f"loss:{name}:{version}")
            elif vm.state is VmState.LOST and server and not is_lost:
                self._propose(ReportReturn(name), f"return:{name}:{version}")
            elif vm.state is VmState.DRAINING:
                if scheduler.is_drained(name, now):
                    command = AdvanceDrain(name, vm.grant)
                    self._propose(command, f"drained:{vm.grant}")

    def _reconcile_allotments(self, scheduler: ZoneScheduler) -> None:
        """Acknowledge allotments that were lowered.

        It waits until a majority of the zone's electors has applied the lower
        target. A later scheduler then cannot start with the higher one.
        """
        state = self._control.state
        if self._slots.majority_version() < state.version:
            return
        for team, escrow in state.limits.items():
            target = escrow.targets.get(self._az, 0)
            held = escrow.held.get(self._az, 0)
            if held > target and scheduler.running(team) <= target:
                command = AcknowledgeAllotment(self._az, team, target)
                change = f"ack:{self._az}:{team}:{target}:{state.version}"
                self._propose(command, change)

    def _reconcile_demand(self, scheduler: ZoneScheduler) -> None:
        """Take free allotment for waiting requests, or ask other zones."""
        state = self._control.state
        for team, count in scheduler.blocked_demand(self._loop.time()).items():
            escrow = state.limits.get(team, LimitEscrow(0))
            if escrow.free > 0:
                command = TakeAllotment(self._az, team, min(count, escrow.free))
                change = f"take:{self._az}:{team}:{state.version}"
                self._propose(command, change)
                continue
            need = AllotmentRequest(self._az, team, count)
            for vm, _ in self._slots.schedulers.values():
                if vm != self._vm:
                    self._send_to_peer(vm, need)

    def _propose(self, command, change: str) -> None:
        change_id = ChangeId(change)
        if change_id in self._pending_changes:
            return
        task = asyncio.create_task(self._submit(command, change_id))
        self._pending_changes[change_id] = task
        task.add_done_callback(
            lambda _: self._pending_changes.pop(change_id, None)
        )

    async def _submit(self, command, change_id: ChangeId) -> None:
        try:
            await self._control.propose(command, self._operator, change_id)
        except NotLeaderError as error:
            logger.info("report postponed", extra={"why": str(error)})
