"""Workers and machines that follow PROTOCOL.md."""

import asyncio
import json
import time

from aiohttp import web


def _now_ms() -> float:
    return time.monotonic() * 1000


class Worker:
    """One worker: runs tasks for the milliseconds that their spec names."""

    def __init__(
        self,
        name: str,
        service: str,
        ip: str,
        controls,
        record,
        cpu: int = 16000,
        zone: str = "ub-east",
        rack: str = "r1-1",
    ):
        """Create a worker; `start` makes it listen and report."""
        self.name = name
        self.service = service
        self.machine = f"m-{name}"
        self.state = "ready"
        self.cpu = cpu
        self.zone = zone
        self.labels = ["a", rack]
        self.address = ""
        self.born = int(time.time() * 1000)
        self.running: dict[tuple[str, int], dict] = {}
        self.ended: list[list] = []
        # Also those that were acknowledged.
        self.all_ends: list[list] = []
        self.starts: list[tuple[float, str, int]] = []
        # When a report with the state `draining` was first acknowledged.
        self.drain_acknowledged_at: float | None = None
        self._ip = ip
        self._controls = controls
        self._record = record
        self._began_ms = _now_ms()
        self._fence = 0
        self._until_ms = 0.0
        self._barred: dict[str, int] = {}
        self._end_count = 0
        self._sequence = 0
        self._news = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self._runner: web.ServerRunner | None = None

    @property
    def clock_ms(self) -> int:
        """Return the worker's steady clock."""
        return int(_now_ms() - self._began_ms)

    async def start(self, session) -> None:
        """Listen, and begin to report."""
        self._session = session
        self._runner = web.ServerRunner(
            web.Server(self._serve, access_log=None), shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, self._ip, 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        self._tasks = [
            asyncio.create_task(self._report_forever()),
            asyncio.create_task(self._tick_forever()),
        ]

    async def stop(self) -> None:
        """End at once, as in a crash."""
        for task in self._tasks:
            task.cancel()
        self.running.clear()
        if self._runner is not None:
            await self._runner.cleanup()

    async def report(self) -> bool:
        """Send one report to the first node that acknowledges it."""
        self._sequence += 1
        state = self.state
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
            "labels": self.labels,
            "machine": self.machine,
            "born": self.born,
            "clock_ms": self.clock_ms,
            "seq": self._sequence,
        }
        if state == "draining":
            body["remaining_ms"] = 2000
        for control in self._controls():
            try:
                async with asyncio.timeout(1.0):
                    async with self._session.put(
                        f"http://{control}/galenarill/instances/{self.name}",
                        data=json.dumps(body),
                        headers={"Content-Type": "application/json"},
                    ) as response:
                        status = response.status
            except Exception:
                continue
            if 200 <= status < 300:
                if state == "draining" and self.drain_acknowledged_at is None:
                    self.drain_acknowledged_at = time.monotonic()
                    self._record(
                        f"{self.name}: draining acknowledged by {control}"
                    )
                return True
        return False

    async def _report_forever(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(1.5)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = self.clock_ms
            if self.running and now > self._until_ms:
                for run in list(self.running):
                    self._end(run, "lapsed")
            for run, row in list(self.running.items()):
                if row["ends_ms"] is not None and now >= row["ends_ms"]:
                    self._end(run, "done")

    def _end(self, run: tuple[str, int], how: str) -> None:
        del self.running[run]
        self._end_count += 1
        self._barred[run[0]] = max(run[1], self._barred.get(run[0], 0))
        self.ended.append([self._end_count, *run, how, ""])
        self.all_ends.append(self.ended[-1])
        self._record(f"{self.name}: {run[0]} run {run[1]} ended {how}")
        self._news.set()

    def _extend(self, until_ms) -> None:
        if until_ms is not None:
            latest = min(until_ms, self.clock_ms + 6000)
            self._until_ms = max(self._until_ms, latest)

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        body = await request.json()
        expected = request.headers.get("X-Galenarill-Expect-Instance")
        if expected not in (None, self.name):
            return self._answer(421)
        if body.get("fence", 0) < self._fence:
            return self._answer(409, reason="fence")
        self._fence = body.get("fence", 0)
        match request.path:
            case "/galenarill/run-start":
                return self._start(body)
            case "/galenarill/run-stop":
                run = body["task"], body["run"]
                if run in self.running:
                    self._end(run, "stopped")
                self._barred[run[0]] = max(run[1], self._barred.get(run[0], 0))
                return self._answer(200)
            case "/galenarill/hold":
                return await self._hold(body)
            case "/galenarill/pace":
                return self._answer(200)
        return self._answer(404)

    def _start(self, body: dict) -> web.Response:
        run = body["task"], body["run"]
        if run in self.running:
            self._extend(body["until_ms"])
            return self._answer(200)
        if run[1] <= self._barred.get(run[0], 0):
            self._extend(body["until_ms"])
            return self._answer(409, reason="old")
        if body["until_ms"] <= self.clock_ms:
            return self._answer(409, reason="late")
        spec = json.loads(body["spec"])
        used = sum(row["cpu"] for row in self.running.values())
        if used + spec["cpu"] > self.cpu:
            self._extend(body["until_ms"])
            return self._answer(409, reason="room")
        self._extend(body["until_ms"])
        self.running[run] = {
            "cpu": spec["cpu"],
            "began_ms": self.clock_ms,
            "ends_ms": None
            if spec["ms"] is None
            else self.clock_ms + spec["ms"],
        }
        self.starts.append((time.monotonic(), *run))
        self._record(f"{self.name}: {run[0]} run {run[1]} started")
        return self._answer(200)

    async def _hold(self, body: dict) -> web.Response:
        self._extend(body.get("until_ms"))
        seen = body.get("seen_upto", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        if body.get("wait_ms") and not self.ended:
            self._news.clear()
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await self._news.wait()
            except TimeoutError:
                pass
        rows = []
        for run, row in self.running.items():
            age = self.clock_ms - row["began_ms"]
            percent = 100 if age > 300 else age // 3
            if row["ends_ms"] is not None:
                percent = 100 * age // (row["ends_ms"] - row["began_ms"])
            rows.append([*run, "", min(100, percent), row["cpu"]])
        return self._answer(200, running=rows, ended=self.ended[:500])

    def _answer(self, status: int, **fields) -> web.Response:
        return web.Response(
            status=status,
            body=json.dumps(
                {"clock_ms": self.clock_ms, "born": self.born, **fields}
            ),
            content_type="application/json",
        )


class MachineApi:
    """The platform's list of machines; it takes no part in the cases."""

    def __init__(self, ip: str, workers: list[Worker]):
        """List the machines of `workers`."""
        self._ip = ip
        self._workers = workers
        self.address = ""

    async def start(self) -> None:
        """Start listening."""
        self._runner = web.ServerRunner(
            web.Server(self._serve, access_log=None), shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, self._ip, 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        if request.method != "GET":
            return web.json_response({"reason": "busy"}, status=409)
        machines = [
            {
                "machine": worker.machine,
                "pool": worker.service,
                "state": "up",
                "zone": worker.zone,
                "labels": worker.labels,
                "capacity": {"cpu": worker.cpu, "mem_mb": 65536, "gpu": 0},
                "id": worker.name,
            }
            for worker in self._workers
        ]
        return web.json_response({"machines": machines, "next_token": ""})
