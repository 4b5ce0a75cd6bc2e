"""Process lifecycle of a gateway or a coordinator on the platform."""

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
    SettingsErrorGroup,
)
from galenarill.gateway.node import Gateway
from galenarill.platform.advice_client import HttpAdviceClient
from galenarill.platform.control import ControlServer
from galenarill.platform.explain import EXPLAIN_PATH, ExplainEndpoint
from galenarill.platform.front import FrontServer
from galenarill.platform.http import listen
from galenarill.platform.machine_client import HttpMachineClient
from galenarill.platform.worker_client import HttpWorkerClient
from galenarill.settings import NodeSettings, load_node_settings
from galenarill.telemetry import (
    NonBlockingLogHandler,
    PrometheusExporter,
    meter,
)

__all__ = ["run_gateway", "run_coordinator"]

logger = logging.getLogger(__name__)

# Fraction of the grace period between SIGTERM and SIGKILL in which a gateway
# that already reports "not ready" still serves requests, so that its open
# connections drain and the load balancer stops sending new ones.
DRAIN_FRACTION = 0.6
JOURNAL_REOPEN_DELAY_SECONDS = 1.0
SETTINGS_POLL_SECONDS = 2.0
LOG_FLUSH_SECONDS = 0.3


async def run_gateway(
    file: pathlib.Path, log_handler: NonBlockingLogHandler
) -> None:
    """Run a gateway until it receives SIGTERM or SIGINT.

    Args:
        file: Settings file, reloaded on SIGHUP and when its content changes.
        log_handler: Log handler whose buffer is flushed periodically.
    """
    stop = _stop_event()
    settings = load_node_settings(file)
    telemetry_task = await _start_telemetry(settings, log_handler)
    gateway = Gateway(settings)
    front = FrontServer(gateway)
    node_task = asyncio.create_task(gateway.run())
    watch_task = asyncio.create_task(_watch_settings(file, gateway.add_seeds))
    await front.start(settings.callers, settings.readiness)
    logger.info("started", extra={"listen": settings.callers})
    await _wait_for_stop(stop, node_task)
    gateway.leave()
    logger.info("leaving")
    await asyncio.sleep(settings.grace_seconds * DRAIN_FRACTION)
    await front.stop()
    await _cancel(watch_task)
    await _cancel(node_task)
    await _cancel(telemetry_task)
    logger.info("stopped")


async def run_coordinator(
    file: pathlib.Path, log_handler: NonBlockingLogHandler
) -> None:
    """Run a coordinator until it receives SIGTERM or SIGINT.

    If the journal cannot be written, the coordinator is restarted, which
    recovers its state from the records on disk, until writing succeeds. A
    corrupt journal is not retried.

    Args:
        file: Settings file, reloaded on SIGHUP and when its content changes.
        log_handler: Log handler whose buffer is flushed periodically.

    Raises:
        JournalCorruptError: If a synced record of the journal is damaged.
    """
    stop = _stop_event()
    settings = load_node_settings(file)
    async with contextlib.AsyncExitStack() as stack:
        endpoint = ExplainEndpoint()
        telemetry_task = await _start_telemetry(settings, log_handler, endpoint)
        stack.push_async_callback(_cancel, telemetry_task)
        worker_client = HttpWorkerClient()
        stack.push_async_callback(worker_client.aclose)
        machine_client = None
        if settings.machines:
            machine_client = HttpMachineClient(settings.machines)
            stack.push_async_callback(machine_client.aclose)
        advice_client = None
        if settings.advice:
            advice_client = HttpAdviceClient(settings.advice)
            stack.push_async_callback(advice_client.aclose)
        while not stop.is_set():
            try:
                await _run_coordinator_once(
                    file,
                    worker_client,
                    machine_client,
                    advice_client,
                    stop,
                    endpoint,
                )
            except JournalCorruptError:
                raise
            except JournalError as error:
                logger.critical(
                    "journal failed, reopening it", extra={"why": str(error)}
                )
                await asyncio.sleep(JOURNAL_REOPEN_DELAY_SECONDS)
        logger.info("stopped")


async def _run_coordinator_once(
    file: pathlib.Path,
    worker_client: HttpWorkerClient,
    machine_client: HttpMachineClient | None,
    advice_client: HttpAdviceClient | None,
    stop: asyncio.Event,
    endpoint: ExplainEndpoint,
) -> None:
    settings = load_node_settings(file)
    coordinator = Coordinator(
        settings, worker_client, machine_client, advice_client
    )
    control = ControlServer(coordinator)
    node_task = asyncio.create_task(coordinator.run())
    watch_task = asyncio.create_task(
        _watch_settings(file, coordinator.add_seeds)
    )
    try:
        await control.start(settings.control)
        endpoint.service = coordinator
        logger.info("started", extra={"listen": settings.control})
        await _wait_for_stop(stop, node_task)
        logger.info("leaving")
    finally:
        endpoint.service = None
        await control.stop()
        await _cancel(watch_task)
        await _cancel(node_task)


async def _start_telemetry(
    settings: NodeSettings,
    log_handler: NonBlockingLogHandler,
    endpoint: ExplainEndpoint | None = None,
) -> asyncio.Task:
    """Serve the metrics page and return a task that flushes log lines.

    The metrics page, and `endpoint` if given, stop when the task is cancelled.
    """
    exporter = PrometheusExporter()
    meter().create_observable_counter(
        "galenarill_log_lines_dropped",
        callbacks=[lambda options: [Observation(log_handler.dropped)]],
    )

    async def serve(request: web.BaseRequest) -> web.Response:
        if endpoint is not None and request.path == EXPLAIN_PATH:
            return await endpoint.serve(request)
        return web.Response(body=exporter.render(), content_type="text/plain")

    runner = await listen(serve, f"{settings.ip}:{settings.metrics_port}")

    async def flush_forever() -> None:
        try:
            while True:
                await asyncio.sleep(LOG_FLUSH_SECONDS)
                log_handler.flush()
        finally:
            await runner.cleanup()

    return asyncio.create_task(flush_forever())


async def _watch_settings(
    file: pathlib.Path, add_seeds: Callable[[NodeSettings], None]
) -> None:
    """Reload the seeds on SIGHUP and when the settings file changes."""
    reload_requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGHUP, reload_requested.set
    )
    content = _read(file)
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                reload_requested.wait(), SETTINGS_POLL_SECONDS
            )
        is_requested, previous = reload_requested.is_set(), content
        reload_requested.clear()
        try:
            content = _read(file)
            if not is_requested and content == previous:
                continue
            settings = load_node_settings(file)
        except (OSError, SettingsErrorGroup) as error:
            logger.error("settings not reloaded", extra={"why": str(error)})
            continue
        add_seeds(settings)
        logger.info("settings reloaded", extra={"seeds": settings.seeds})


def _read(file: pathlib.Path) -> bytes:
    return file.read_bytes()


def _stop_event() -> asyncio.Event:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    return stop


async def _wait_for_stop(stop: asyncio.Event, node_task: asyncio.Task) -> None:
    """Wait until `stop` is set or `node_task` ends, and raise its failure."""
    stop_task = asyncio.create_task(stop.wait())
    await asyncio.wait(
        [stop_task, node_task], return_when=asyncio.FIRST_COMPLETED
    )
    stop_task.cancel()
    if node_task.done():
        try:
            node_task.result()
        except ExceptionGroup as group:
            errors = group.subgroup(GalenarillError)
            raise errors.exceptions[0] if errors else group from group


async def _cancel(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
