"""Fakes of the platform's HTTP interfaces: workers and machines."""

import asyncio
import json
import pathlib

import aiohttp
from aiohttp import web

from galenarill.routing import Resources
from galenarill.workers import StartOrder, Verdict, WorkerReport
from standins.workers import FakeWorker, RunRecord

__all__ = ["FakePlatformWorkers", "FakeMachineApi", "write_settings"]

HEARTBEAT_SECONDS = 0.3
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


class FakePlatformWorkers:
    """Fake workers that use the platform's HTTP protocol.

    Attributes:
        history: Record of every run started on any of the workers.
    """

    def __init__(self, controls: list[str], pool: str, seconds: float = 0.3):
        """Create an empty set of workers.

        Args:
            controls: `host:port` of the control listeners that receive the
                workers' reports.
            pool: Pool of the workers.
            seconds: Duration of each run.
        """
        self.history: list[RunRecord] = []
        self._controls = controls
        self._pool = pool
        self._seconds = seconds
        self._incarnations: list[FakeWorker] = []
        self._runners: list[web.ServerRunner] = []
        self._tasks: list[asyncio.Task] = []

    async def add(self, name: str, max_tasks: int = 4) -> None:
        """Start a worker on a free loopback port."""
        incarnation: list[FakeWorker] = []

        async def serve(request: web.BaseRequest) -> web.Response:
            return await _serve(incarnation[0], request)

        runner = web.ServerRunner(web.Server(serve, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
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
        incarnation.append(
            FakeWorker(
                report, lambda *_: (self._seconds, "done"), self.history, 1.0
            )
        )
        self._incarnations += incarnation
        self._runners.append(runner)
        self._tasks.append(asyncio.create_task(self._report(incarnation[0])))

    async def stop(self) -> None:
        """Stop all workers."""
        for task in self._tasks:
            task.cancel()
        for incarnation in self._incarnations:
            incarnation.crash()
        for runner in self._runners:
            await runner.cleanup()

    async def _report(self, incarnation: FakeWorker) -> None:
        sequence = 0
        report = incarnation.report
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=1.0)
        ) as session:
            while True:
                for control in self._controls:
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


async def _serve(
    incarnation: FakeWorker, request: web.BaseRequest
) -> web.Response:
    expected = request.headers.get("X-Galenarill-Expect-Instance")
    if expected != incarnation.report.worker:
        return web.Response(status=421)
    body = json.loads(await request.read())
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
