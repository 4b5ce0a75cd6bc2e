"""The leader's machine control loop: pool moves and maintenance."""

import asyncio
import logging

from galenarill.common import monotonic_now
from galenarill.coordinator.fleet import Fleet
from galenarill.coordinator.moves import PoolRebalancer
from galenarill.coordinator.waves import WaveRunner
from galenarill.errors import NotLeaderError
from galenarill.pools import MachineListError

__all__ = ["manage_machines"]

logger = logging.getLogger(__name__)

STEP_PERIOD_SECONDS = 0.15
# Maximum age of the machine list, in seconds: while machines change, and while
# they do not.
BUSY_LIST_SECONDS = 0.5
IDLE_LIST_SECONDS = 4.0


async def manage_machines(
    fleet: Fleet, rebalancer: PoolRebalancer, wave_runner: WaveRunner
) -> None:
    """Move and maintain machines until cancelled or leadership is lost.

    Args:
        fleet: Machines and orders on them.
        rebalancer: Moves machines between pools.
        wave_runner: Carries out maintenance waves.
    """
    try:
        while True:
            await asyncio.sleep(STEP_PERIOD_SECONDS)
            if not fleet.may_order:
                continue
            try:
                is_changing = fleet.is_changing or wave_runner.has_open_waves
                age = monotonic_now() - fleet.read_at
                if age > (
                    BUSY_LIST_SECONDS if is_changing else IDLE_LIST_SECONDS
                ):
                    await fleet.read()
                wave_runner.advance()
                rebalancer.rebalance()
            except MachineListError as error:
                logger.warning(
                    "machine list not read", extra={"why": str(error)}
                )
            except NotLeaderError:
                return
            except Exception:
                logger.exception(
                    "step of a loop failed", extra={"loop": "machines"}
                )
    finally:
        fleet.stop()
