"""Fakes of the platform's HTTP interfaces: workers and machines."""

import asyncio
import json
import pathlib
import random

import aiohttp
import msgspec
from aiohttp import web

from galenarill.routing import Resources
from galenarill.workers import StartOrder, Verdict, WorkerReport
from standins.workers import FakeWorker, RunRecord

__all__ = ["FakePlatformWorkers", "FakeMachineApi", "write_settings"]

HEARTBEAT_SECONDS = 0.3
# Longest delay of a late order, in seconds.
MAX_LATENESS_SECONDS = 2.0
# Time after which a call that was lost on its way is forgotten, in seconds.
LOST_SECONDS = 30.0
CONTROL_PORT = 8345
GATEWAY_PORT = 8340
READINESS_PORT = 8343
LINK_PORT = 7000


def write_settings(
    folder: pathlib.Path, name: str, ip: str, seeds: list[str], **extra
) -> pathlib.Path:
    """Write the settings file of one process and return its path.

    The file has the form that the deployment template renders.
    """
    values = {
        "vm": name,
        "ip": ip,
        "availability_zone": "a",
        "link_port": LINK_PORT,
        "metrics_port": LINK_PORT + 1,
        "link_secret": "secret",
        "seeds": [f"{seed}:{CONTROL_PORT}" for seed in seeds],
        "forms_log": True,
        "grace_seconds": 1.0,
        **extra,
    }
    file = folder / f"{name}.toml"
    file.write_text(
        "".join(f"{key} = {json.dumps(v)}\n" for key, v in values.items())
    )
    return file


class _Life:
    """One incarnation of a worker, and the calls that it is serving."""

    def __init__(self, worker: FakeWorker, task: asyncio.Task):
        self.worker = worker
        self.reporting = task
        self.transports: set[asyncio.Transport] = set()


class FakePlatformWorkers:
    """Fake workers that use the platform's HTTP protocol.

    Attributes:
        history: Record of every run started on any of the workers.
        cut: Names of the workers that are cut off: nothing they send or are
            sent arrives, and they run on.
        lateness: Probability that an order is not answered, and is carried out
            after up to `MAX_LATENESS_SECONDS` by the worker that is then at
            the address.
        held_back: Names of the workers whose next renewal that extends the
            lease is kept until `deliver_held_back`.
    """

    def __init__(
        self,
        controls: list[str],
        pool: str,
        seconds: float = 0.3,
        seed: int = 0,
    ):
        """Create an empty set of workers.

        Args:
            controls: `host:port` of the control listeners that receive the
                workers' reports.
            pool: Pool of the workers.
            seconds: Duration of each run.
            seed: Seed of late orders.
        """
        self.history: list[RunRecord] = []
        self.cut: set[str] = set()
        self.lateness = 0.0
        self.held_back: set[str] = set()
        self._kept_renewals: dict[str, tuple[web.BaseRequest, bytes]] = {}
        self._rng = random.Random(seed)
        self._controls = controls
        self._pool = pool
        self._seconds = seconds
        self._lives: dict[str, _Life] = {}
        self._runners: list[web.ServerRunner] = []

    async def add(self, name: str, max_tasks: int = 4) -> None:
        """Start a worker on a free loopback port."""

        async def serve(request: web.BaseRequest) -> web.Response:
            return await self._serve(name, request)

        runner = web.ServerRunner(web.Server(serve, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        self._runners.append(runner)
        report = WorkerReport(
            name,
            1,
            1,
            self._pool,
            f"m-{name}",
            f"{host}:{port}",
            "a",
            "r1",
            ("a", "r1"),
            Resources(max_tasks, 1000, 0),
        )
        self._begin_life(report)

    def restart(self, name: str) -> None:
        """Crash a worker, and start it again under its id and address."""
        life = self._lives[name]
        life.worker.crash()
        life.reporting.cancel()
        for transport in life.transports:
            transport.abort()
        report = life.worker.report
        self._begin_life(msgspec.structs.replace(report, born=report.born + 1))

    async def deliver_held_back(self, name: str) -> bool:
        """Carry out the renewal that was kept; return whether there was one."""
        self.held_back.discard(name)
        kept = self._kept_renewals.pop(name, None)
        if kept is None:
            return False
        await _execute(self._lives[name].worker, *kept)
        return True

    def names_running(self) -> list[str]:
        """Return the workers with runs in progress."""
        return [n for n, life in self._lives.items() if life.worker.records]

    def _begin_life(self, report: WorkerReport) -> None:
        worker = FakeWorker(
            report, lambda *_: (self._seconds, "done"), self.history, 1.0
        )
        task = asyncio.create_task(self._report(worker))
        self._lives[report.worker] = _Life(worker, task)

    async def _serve(self, name: str, request: web.BaseRequest) -> web.Response:
        life = self._lives[name]
        transport = request.transport
        body = await request.read()
        if transport is None:
            return web.Response(status=503)
        life.transports.add(transport)
        try:
            if (
                name in self.held_back
                and request.path.endswith("/hold")
                and b"until_ms" in body
            ):
                self.held_back.discard(name)
                self._kept_renewals[name] = request, body
                await asyncio.sleep(LOST_SECONDS)
            if self._rng.random() < self.lateness:
                await asyncio.sleep(self._rng.uniform(0, MAX_LATENESS_SECONDS))
                transport.abort()
                await _execute(self._lives[name].worker, request, body)
                return web.Response(status=503)
            if name in self.cut:
                await asyncio.sleep(LOST_SECONDS)
            answer = await _execute(life.worker, request, body)
            if name in self.cut:
                await asyncio.sleep(LOST_SECONDS)
            return answer
        finally:
            life.transports.discard(transport)

    async def stop(self) -> None:
        """Stop all workers."""
        for life in self._lives.values():
            life.reporting.cancel()
            life.worker.crash()
        for runner in self._runners:
            await runner.cleanup()

    async def _report(self, incarnation: FakeWorker) -> None:
        sequence = 0
        report = incarnation.report
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=1.0)
        ) as session:
            while True:
                is_cut = report.worker in self.cut
                for control in () if is_cut else self._controls:
                    sequence += 1
                    body = {
                        "service": report.pool,
                        "address": report.address,
                        "zone": report.zone,
                        "state": "ready",
                        "seq": sequence,
                        "born": report.born,
                        "machine": report.machine,
                        "labels": list(report.labels),
                        "capacity": {
                            "cpu": report.capacity.cpu,
                            "mem_mb": 1000,
                        },
                    }
                    try:
                        async with session.put(
                            f"http://{control}/galenarill/instances/"
                            f"{report.worker}",
                            json=body,
                        ) as response:
                            if response.status < 300:
                                break
                    except (aiohttp.ClientError, TimeoutError, OSError):
                        continue
                await asyncio.sleep(HEARTBEAT_SECONDS)


class FakeMachineApi:
    """Fake of the machine interface, with an empty list of machines."""

    def __init__(self):
        """Create an interface that is not listening yet."""
        self.address = ""
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start listening on a free loopback port."""

        async def serve(request: web.BaseRequest) -> web.Response:
            return web.json_response({"machines": [], "next_token": None})

        self._runner = web.ServerRunner(web.Server(serve, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()


async def _execute(
    incarnation: FakeWorker, request: web.BaseRequest, data: bytes
) -> web.Response:
    expected = request.headers.get("X-Galenarill-Expect-Instance")
    if expected != incarnation.report.worker:
        return web.Response(status=421)
    body = json.loads(data)
    name = request.path.rpartition("/")[2]
    if name == "hold":
        verdict, lists = await incarnation.renew_lease(
            body["fence"],
            body["seen_upto"],
            body.get("until_ms"),
            body.get("wait_ms", 0),
        )
        if lists is not None:
            return web.json_response(
                {
                    "clock_ms": lists.clock_ms,
                    "born": incarnation.report.born,
                    "running": [
                        [r.task, r.run, r.checkpoint, r.percent, r.load]
                        for r in lists.running
                    ],
                    "ended": [
                        [e.number, e.task, e.run, e.how, e.checkpoint]
                        for e in lists.ended
                    ],
                }
            )
    elif name == "run-start":
        verdict = incarnation.start(
            StartOrder(
                body["task"],
                body["run"],
                body["spec"],
                body["until_ms"],
                body["fence"],
            )
        )
    elif name == "run-stop":
        verdict = incarnation.stop(body["task"], body["run"], body["fence"])
    else:
        return web.Response(status=404)
    reasons = {
        Verdict.FENCED: "fence",
        Verdict.OLD: "old",
        Verdict.LATE: "late",
        Verdict.NO_ROOM: "room",
    }
    answer = {"clock_ms": incarnation.clock_ms}
    if verdict in reasons:
        return web.json_response(
            answer | {"reason": reasons[verdict]}, status=409
        )
    return web.json_response(answer)
