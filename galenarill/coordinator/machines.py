"""The leader's care of machines: moves between pools, and upkeep."""

import asyncio
import logging

from galenarill.coordinator.fleet import Fleet
from galenarill.coordinator.moves import Mover
from galenarill.coordinator.waves import WaveKeeper
from galenarill.errors import NotLeaderError
from galenarill.pools import MachineListError
from galenarill.world import steady_now

__all__ = ["keep_machines"]

logger = logging.getLogger(__name__)

STEP_SECONDS = 0.15
# Age at which the list of machines is read again, in seconds: while something
# changes, and while nothing does.
BUSY_LIST_SECONDS = 0.5
QUIET_LIST_SECONDS = 4.0


async def keep_machines(fleet: Fleet, mover: Mover, waves: WaveKeeper) -> None:
    """Move and maintain machines until cancelled, or the lead is lost.

    Args:
        fleet: Machines and orders on them.
        mover: Moves them between pools.
        waves: Carries out waves of upkeep.
    """
    try:
        while True:
            await asyncio.sleep(STEP_SECONDS)
            if not fleet.may_order:
                continue
            try:
                is_changing = fleet.is_changing or waves.is_working
                age = steady_now() - fleet.read_at
                if age > (
                    BUSY_LIST_SECONDS if is_changing else QUIET_LIST_SECONDS
                ):
                    await fleet.read()
                waves.step()
                mover.step()
            except MachineListError as error:
                logger.warning("machines not read", extra={"why": str(error)})
            except NotLeaderError:
                return
    finally:
        fleet.stop()
