"""Runs a gateway or a coordinator on the platform."""

import asyncio
import contextlib
import logging
import signal

from galenarill.coordinator.node import Coordinator
from galenarill.errors import GalenarillError
from galenarill.gateway.node import Gateway
from galenarill.platform.control import ControlServer
from galenarill.platform.front import FrontServer
from galenarill.platform.machine_client import HttpMachineClient
from galenarill.platform.worker_client import HttpWorkerClient
from galenarill.settings import NodeSettings

__all__ = ["run_gateway", "run_coordinator"]

logger = logging.getLogger(__name__)

# Part of the time before SIGKILL in which a gateway serves on, so that its
# open connections are used up and the balancer has noticed.
LEAVE_SHARE = 0.6


async def run_gateway(settings: NodeSettings) -> None:
    """Run a gateway until it gets SIGTERM or SIGINT."""
    stop = _stop_event()
    gateway = Gateway(settings)
    front = FrontServer(gateway)
    running = asyncio.create_task(gateway.run())
    await front.start(settings.callers, settings.readiness)
    logger.info("started", extra={"listen": settings.callers})
    await _wait(stop, running)
    gateway.leave()
    logger.info("leaving")
    await asyncio.sleep(settings.grace_seconds * LEAVE_SHARE)
    await front.stop()
    await _cancel(running)
    logger.info("stopped")


async def run_coordinator(settings: NodeSettings) -> None:
    """Run a coordinator until it gets SIGTERM or SIGINT."""
    stop = _stop_event()
    async with contextlib.AsyncExitStack() as stack:
        client = HttpWorkerClient()
        stack.push_async_callback(client.aclose)
        machines = None
        if settings.machines:
            machines = HttpMachineClient(settings.machines)
            stack.push_async_callback(machines.aclose)
        coordinator = Coordinator(settings, client, machines)
        control = ControlServer(coordinator)
        running = asyncio.create_task(coordinator.run())
        await control.start(settings.control)
        logger.info("started", extra={"listen": settings.control})
        await _wait(stop, running)
        logger.info("leaving")
        await control.stop()
        await _cancel(running)
        logger.info("stopped")


def _stop_event() -> asyncio.Event:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def _wait(stop: asyncio.Event, running: asyncio.Task) -> None:
    """Wait for a signal, or for a failure, which is raised."""
    waiting = asyncio.create_task(stop.wait())
    await asyncio.wait([waiting, running], return_when=asyncio.FIRST_COMPLETED)
    waiting.cancel()
    if running.done():
        try:
            running.result()
        except ExceptionGroup as group:
            errors = group.subgroup(GalenarillError)
            raise errors.exceptions[0] if errors else group from group


async def _cancel(running: asyncio.Task) -> None:
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running
