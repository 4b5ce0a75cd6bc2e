"""Runs a gateway or a coordinator on the platform."""

import asyncio
import contextlib
import logging
import pathlib
import signal
from collections.abc import Callable

from aiohttp import web
from opentelemetry.metrics import Observation

from galenarill.coordinator.node import Coordinator
from galenarill.errors import (
    GalenarillError,
    JournalCorruptError,
    JournalError,
    SettingsFindings,
)
from galenarill.gateway.node import Gateway
from galenarill.platform.advice_client import HttpAdviceClient
from galenarill.platform.control import ControlServer
from galenarill.platform.front import FrontServer
from galenarill.platform.http import listen
from galenarill.platform.machine_client import HttpMachineClient
from galenarill.platform.worker_client import HttpWorkerClient
from galenarill.settings import NodeSettings, load_node_settings
from galenarill.telemetry import LogPipe, MetricsPage, meter

__all__ = ["run_gateway", "run_coordinator"]

logger = logging.getLogger(__name__)

# Part of the time before SIGKILL in which a gateway serves on, so that its
# open connections are used up and the balancer has noticed.
LEAVE_SHARE = 0.6
REOPEN_SECONDS = 1.0
RELOAD_SECONDS = 2.0
FLUSH_SECONDS = 0.3


async def run_gateway(file: pathlib.Path, pipe: LogPipe) -> None:
    """Run a gateway until it gets SIGTERM or SIGINT.

    Args:
        file: Settings of this process, read again on SIGHUP and when changed.
        pipe: Log lines, to be flushed now and then.
    """
    stop = _stop_event()
    settings = load_node_settings(file)
    telling = await _start_telemetry(settings, pipe)
    gateway = Gateway(settings)
    front = FrontServer(gateway)
    running = asyncio.create_task(gateway.run())
    watching = asyncio.create_task(_watch_settings(file, gateway.add_seeds))
    await front.start(settings.callers, settings.readiness)
    logger.info("started", extra={"listen": settings.callers})
    await _wait(stop, running)
    gateway.leave()
    logger.info("leaving")
    await asyncio.sleep(settings.grace_seconds * LEAVE_SHARE)
    await front.stop()
    await _cancel(watching)
    await _cancel(running)
    await _cancel(telling)
    logger.info("stopped")


async def run_coordinator(file: pathlib.Path, pipe: LogPipe) -> None:
    """Run a coordinator until it gets SIGTERM or SIGINT.

    A journal that cannot be written is opened anew until it can be: what has
    reached the disk is then read again.

    Args:
        file: Settings of this process, read again on SIGHUP and when changed.
        pipe: Log lines, to be flushed now and then.
    """
    stop = _stop_event()
    settings = load_node_settings(file)
    async with contextlib.AsyncExitStack() as stack:
        telling = await _start_telemetry(settings, pipe)
        stack.push_async_callback(_cancel, telling)
        client = HttpWorkerClient()
        stack.push_async_callback(client.aclose)
        machines = None
        if settings.machines:
            machines = HttpMachineClient(settings.machines)
            stack.push_async_callback(machines.aclose)
        advice = None
        if settings.advice:
            advice = HttpAdviceClient(settings.advice)
            stack.push_async_callback(advice.aclose)
        while not stop.is_set():
            try:
                await _coordinate(file, client, machines, advice, stop)
            except JournalCorruptError:
                raise
            except JournalError as error:
                logger.critical(
                    "journal is opened anew", extra={"why": str(error)}
                )
                await asyncio.sleep(REOPEN_SECONDS)
        logger.info("stopped")


async def _coordinate(
    file: pathlib.Path,
    client: HttpWorkerClient,
    machines: HttpMachineClient | None,
    advice: HttpAdviceClient | None,
    stop: asyncio.Event,
) -> None:
    settings = load_node_settings(file)
    coordinator = Coordinator(settings, client, machines, advice)
    control = ControlServer(coordinator)
    running = asyncio.create_task(coordinator.run())
    watching = asyncio.create_task(_watch_settings(file, coordinator.add_seeds))
    try:
        await control.start(settings.control)
        logger.info("started", extra={"listen": settings.control})
        await _wait(stop, running)
        logger.info("leaving")
    finally:
        await control.stop()
        await _cancel(watching)
        await _cancel(running)


async def _start_telemetry(
    settings: NodeSettings, pipe: LogPipe
) -> asyncio.Task:
    """Serve the metrics page, and flush log lines until cancelled."""
    page = MetricsPage()
    meter().create_observable_counter(
        "galenarill_log_lines_dropped",
        callbacks=[lambda options: [Observation(pipe.dropped)]],
    )

    async def serve(request: web.BaseRequest) -> web.Response:
        return web.Response(body=page.render(), content_type="text/plain")

    runner = await listen(serve, f"{settings.ip}:{settings.metrics_port}")

    async def flush_forever() -> None:
        try:
            while True:
                await asyncio.sleep(FLUSH_SECONDS)
                pipe.flush()
        finally:
            await runner.cleanup()

    return asyncio.create_task(flush_forever())


async def _watch_settings(
    file: pathlib.Path, add_seeds: Callable[[NodeSettings], None]
) -> None:
    """Take in new seeds on SIGHUP, or when the file has changed."""
    hangup = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, hangup.set)
    content = _read(file)
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(hangup.wait(), RELOAD_SECONDS)
        is_asked, was = hangup.is_set(), content
        hangup.clear()
        try:
            content = _read(file)
            if not is_asked and content == was:
                continue
            settings = load_node_settings(file)
        except (OSError, SettingsFindings) as error:
            logger.error("settings not reloaded", extra={"why": str(error)})
            continue
        add_seeds(settings)
        logger.info("settings reloaded", extra={"seeds": settings.seeds})


def _read(file: pathlib.Path) -> bytes:
    return file.read_bytes()


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
    await asyncio.gather(running, return_exceptions=True)
