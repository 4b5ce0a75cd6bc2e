"""Carries out the drains that the replicated log has granted."""

import asyncio
import logging

from galenarill.errors import NotLeaderError
from galenarill.maintenance.platform import (
    PlatformClient,
    PlatformError,
    PlatformVmState,
)
from galenarill.state import FinishDrain, VmRecord, VmState
from galenarill.world import ChangeId, OperatorId, VmId

__all__ = ["MaintenanceDriver"]

POLL_SECONDS = 0.5

logger = logging.getLogger(__name__)


class MaintenanceDriver:
    """Asks the platform to reboot drained VMs, on the leader of the log.

    The grant's id is the id of the platform's command, so a new leader that
    asks again does not cause a second reboot. A VM goes back into service when
    the platform says that it has carried out this very command and runs.
    """

    def __init__(self, vm: VmId, control, client: PlatformClient):
        """Make the driver of one entry VM.

        Args:
            vm: This entry VM.
            control: Control path of this VM.
            client: The platform.
        """
        self._operator = OperatorId(f"entry VM {vm}")
        self._control = control
        self._client = client

    async def run(self) -> None:
        """Drive until cancelled."""
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
                "platform", extra={"server": vm_id, "why": str(error)}
            )
        except NotLeaderError as error:
            logger.info("drain postponed", extra={"why": str(error)})
