"""Carries out the maintenance that the replicated log has granted."""

import asyncio
import logging

from galenarill.common import ChangeId, OperatorId, VmId
from galenarill.errors import NotLeaderError
from galenarill.maintenance.platform_client import (
    PlatformClient,
    PlatformError,
    PlatformVmState,
)
from galenarill.state import FinishDrain, VmRecord, VmState

__all__ = ["MaintenanceDriver"]

POLL_SECONDS = 0.5

logger = logging.getLogger(__name__)


class MaintenanceDriver:
    """Reboots drained VMs through the platform, on the leader of the log.

    The drain's grant id is also the id of the reboot command, which makes the
    command idempotent: a new leader that repeats it causes no second reboot. A
    VM returns to service when the platform reports that it is running and that
    its last completed command is the one with this id.
    """

    def __init__(self, vm: VmId, control, client: PlatformClient):
        """Create the driver of one entry VM.

        Args:
            vm: This entry VM.
            control: `ControlPlane` of this entry VM.
            client: Client of the platform's interface.
        """
        self._operator = OperatorId(f"entry VM {vm}")
        self._control = control
        self._client = client

    async def run(self) -> None:
        """Poll the VMs under maintenance until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            if not self._control.is_leader:
                continue
            for vm_id, vm in list(self._control.state.vms.items()):
                if vm.state is VmState.MAINTAINED:
                    await self._advance_maintenance(vm_id, vm)

    async def _advance_maintenance(self, vm_id: VmId, vm: VmRecord) -> None:
        try:
            reported_vm = await self._client.describe(vm_id)
            if reported_vm.last_command != vm.grant:
                if reported_vm.state is PlatformVmState.RUNNING:
                    await self._client.reboot(vm_id, vm.grant)
                return
            if reported_vm.state is not PlatformVmState.RUNNING:
                return
            await self._control.propose(
                FinishDrain(vm_id, vm.grant),
                self._operator,
                ChangeId(f"finish:{vm.grant}"),
            )
        except PlatformError as error:
            logger.warning(
                "platform call failed",
                extra={"server": vm_id, "why": str(error)},
            )
        except NotLeaderError as error:
            logger.info("drain postponed", extra={"why": str(error)})
