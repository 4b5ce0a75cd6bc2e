"""Stand-ins for workers, callers, the operator and the machine interface.

They speak what the platform's protocol says, and no more.
"""

import asyncio
import contextlib
import dataclasses
import json
import time

import aiohttp
from aiohttp import web

BEAT_SECONDS = 1.5
ANSWER_SECONDS = 1.0
MAX_HOLD_MS = 6000
STOP_SECONDS = 0.2
MAX_LISTED_ENDS = 500
# How long a call to a machine without power stays open, in seconds.
SILENT_SECONDS = 10.0
# Costs of the policy service, and how long its tickets are valid.
DECIDE_MS = 5
EACH_MS = 1
VALID_MS = 3000
CONFIG_PATH = "/galenarill/config"


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        """Create an empty record."""
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")
        self._file.flush()


@dataclasses.dataclass
class Start:
    """A task that a worker has begun on an order.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        worker: Id of the worker.
        begun_at: Time of the start, on the monotonic clock.
        ended_at: Time of the end, or None while it runs.
        how: How it ended, or "".
        taken_at: When `seen_upto` reached its end, or None.
    """

    task: str
    run: int
    worker: str
    begun_at: float
    ended_at: float | None = None
    how: str = ""
    taken_at: float | None = None


class Worker:
    """A worker that may start again under its id, at the same address.

    Its tasks read how long they work and how they end from `outcome_of`.
    """

    def __init__(
        self,
        worker: str,
        service: str,
        controls: list[str],
        record: Record,
        starts: list[Start],
        outcome_of,
        *,
        kind: str = "a",
        cpu: int = 16000,
    ):
        """Create a worker that is down; `listen`, then `begin` start it.

        Args:
            worker: Id.
            service: Service that it belongs to.
            controls: Addresses that take heartbeats.
            record: Where events are written.
            starts: List to which each start is added.
            outcome_of: Function of a task and its run that returns how long
                it works in seconds, and how it ends.
            kind: Kind of the worker, its first label.
            cpu: Capacity in thousandths of a core.
        """
        self.id = worker
        self.is_up = False
        self.born = 0
        self._is_dark = False
        # What starts must carry, or None if any start is accepted.
        self.ticket_of = None
        self.state = "ready"
        self.control = controls[0]
        self._service = service
        self._controls = list(controls)
        self._record = record
        self._starts = starts
        self._outcome_of = outcome_of
        self._kind = kind
        self._cpu = cpu
        self._runner: web.ServerRunner | None = None
        self._session: aiohttp.ClientSession | None = None
        self._beat: asyncio.Task | None = None
        self._expiry: asyncio.Task | None = None
        self.address = ""

    async def listen(self, session: aiohttp.ClientSession) -> None:
        """Bind the address that all its lives have."""
        self._session = session
        self._runner = web.ServerRunner(web.Server(self._serve))
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0, shutdown_timeout=0.2)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """End the current life and close the address."""
        self.crash()
        if self._runner is not None:
            await self._runner.cleanup()

    def begin(self) -> None:
        """Begin a life, which holds and knows nothing of before."""
        self.born = int(time.time() * 1000)
        self._clock_zero = time.monotonic()
        self.is_up, self.state = True, "ready"
        self._seq = 0
        self._fence = 0
        self._until_ms = 0.0
        self._running: dict[str, tuple[Start, dict, asyncio.Task]] = {}
        self._barred: dict[str, int] = {}
        self._ended: list[tuple[int, Start]] = []
        self._end_count = 0
        self._has_ended = asyncio.Event()
        self._record.note(f"{self.id} begins, born {self.born}")
        self._beat = asyncio.create_task(self._beat_forever())
        self._expiry = asyncio.create_task(self._expire_forever())

    def crash(self, *, is_dark: bool = False) -> None:
        """End the current life without a word.

        Args:
            is_dark: Whether calls get no answer from then on, as from a machine
                without power. Otherwise their connections are reset.
        """
        self._is_dark = is_dark
        if not self.is_up:
            return
        self._record.note(f"{self.id} ends")
        self.is_up = False
        self._beat.cancel()
        self._expiry.cancel()
        for start, _, task in self._running.values():
            task.cancel()
            start.ended_at, start.how = time.monotonic(), "crashed"
            self._record.note(f"{start.task} run {start.run} is lost")
        self._running.clear()

    async def drain(self) -> None:
        """Report `draining` until it is acknowledged."""
        self.state = "draining"
        for _ in range(100):
            if await self.beat():
                break
            await asyncio.sleep(0.1)
        self._record.note(f"{self.id} draining is acknowledged")

    async def leave(self) -> None:
        """Send DELETE, to the next control if one does not answer, and end."""
        self._beat.cancel()
        for control in self._in_order():
            status = await self._call("DELETE", control, None)
            self._record.note(f"{self.id} DELETE to {control}: {status}")
            if 200 <= status < 300:
                break
        self.crash()

    def reroute(self, control: str, path: str) -> None:
        """Reach a control by another path, and send heartbeats there."""
        self._controls = [
            path if known == control else known for known in self._controls
        ]
        self.control = path

    @property
    def clock_ms(self) -> int:
        """Its steady clock."""
        return int((time.monotonic() - self._clock_zero) * 1000)

    def _in_order(self) -> list[str]:
        at = self._controls.index(self.control)
        return self._controls[at:] + self._controls[:at]

    async def _call(self, method: str, control: str, body) -> int:
        url = f"http://{control}/galenarill/instances/{self.id}"
        try:
            async with (
                asyncio.timeout(ANSWER_SECONDS),
                self._session.request(method, url, json=body) as answer,
            ):
                await answer.read()
                return answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def beat(self) -> bool:
        """Send one heartbeat; return whether any control acknowledged it."""
        for control in self._in_order():
            self._seq += 1
            body = {
                "service": self._service,
                "address": self.address,
                "zone": "a",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_left_ms": 0,
                "capacity": {"cpu": self._cpu, "mem_mb": 65536, "gpu": 0},
                "labels": [self._kind, f"r-{self.id}"],
                "machine": f"m-{self.id}",
                "clock_ms": self.clock_ms,
                "born": self.born,
                "seq": self._seq,
            }
            if self.state == "draining":
                body["remaining_ms"] = 2000
            status = await self._call("PUT", control, body)
            if 200 <= status < 300:
                self.control = control
                return True
        return False

    async def _beat_forever(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_SECONDS)

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self._running and self.clock_ms > self._until_ms:
                for name in list(self._running):
                    self._end(name, "lapsed")

    def _extend(self, until_ms) -> None:
        if until_ms is not None:
            until_ms = min(until_ms, self.clock_ms + MAX_HOLD_MS)
            self._until_ms = max(self._until_ms, until_ms)

    def _end(self, name: str, how: str) -> None:
        start, _, task = self._running.pop(name)
        if task is not asyncio.current_task():
            task.cancel()
        start.ended_at, start.how = time.monotonic(), how
        self._barred[name] = max(self._barred.get(name, 0), start.run)
        self._end_count += 1
        self._ended.append((self._end_count, start))
        self._has_ended.set()
        self._record.note(f"{self.id} {name} run {start.run} ends: {how}")

    async def _work(self, name: str, run: int) -> None:
        seconds, how = self._outcome_of(name, run)
        await asyncio.sleep(seconds)
        self._end(name, how)

    async def _stop(self, name: str) -> None:
        await asyncio.sleep(STOP_SECONDS)
        self._end(name, "stopped")

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self.is_up:
            return await self._no_answer(request)
        expected = request.headers.get("X-Galenarill-Expect-Instance")
        if expected not in (None, self.id):
            return web.Response(status=421)
        if request.path == "/health":
            return web.Response()
        body = json.loads(await request.read())
        if body.get("fence", 0) < self._fence:
            return self._answer(409, reason="fence")
        self._fence = body.get("fence", 0)
        born = self.born
        match request.path:
            case "/galenarill/run-start":
                return self._start(body)
            case "/galenarill/run-stop":
                return self._order_stop(body)
            case "/galenarill/hold":
                await self._wait_for_end(body)
                if not self.is_up or self.born != born:
                    return await self._no_answer(request)
                return self._lists()
            case "/galenarill/pace":
                return self._answer(200)
        return web.Response(status=404)

    def _answer(self, status: int, **fields) -> web.Response:
        return web.json_response(
            {"clock_ms": self.clock_ms, **fields}, status=status
        )

    def _start(self, body: dict) -> web.Response:
        name, run = body["task"], body["run"]
        current = self._running.get(name)
        if current is not None and current[0].run == run:
            self._extend(body["until_ms"])
            return self._answer(200)
        if run <= self._barred.get(name, 0) or current is not None:
            self._extend(body["until_ms"])
            return self._answer(409, reason="old")
        if body["until_ms"] <= self.clock_ms:
            return self._answer(409, reason="late")
        self._extend(body["until_ms"])
        if self.ticket_of is not None:
            step = name.rpartition(".")[0]
            if body.get("ticket") != self.ticket_of(step, self.id):
                return self._answer(409, reason="ticket")
        start = Start(name, run, self.id, time.monotonic())
        self._starts.append(start)
        self._record.note(f"{self.id} {name} run {run} starts")
        work = asyncio.create_task(self._work(name, run))
        self._running[name] = (start, body, work)
        return self._answer(200)

    def _order_stop(self, body: dict) -> web.Response:
        name, run = body["task"], body["run"]
        self._barred[name] = max(self._barred.get(name, 0), run)
        current = self._running.get(name)
        if current is not None and current[0].run <= run:
            current[2].cancel()
            work = asyncio.create_task(self._stop(name))
            self._running[name] = (current[0], current[1], work)
        return self._answer(200)

    async def _no_answer(self, request: web.BaseRequest) -> web.Response:
        """Leave a call to a life that has ended without an answer."""
        if self._is_dark or self.is_up:
            await asyncio.sleep(SILENT_SECONDS)
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    async def _wait_for_end(self, body: dict) -> None:
        """Carry out the orders of a hold, and wait for an end."""
        self._extend(body.get("until_ms"))
        seen = body["seen_upto"]
        for number, start in self._ended:
            if number <= seen and start.taken_at is None:
                start.taken_at = time.monotonic()
                self._record.note(
                    f"{self.id} {start.task} run {start.run} {start.how}:"
                    " taken note of"
                )
        self._ended = [row for row in self._ended if row[0] > seen]
        if not self._ended and body.get("wait_ms"):
            self._has_ended.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await self._has_ended.wait()

    def _lists(self) -> web.Response:
        """Answer with what runs and what has ended."""
        running = [
            [name, start.run, "", self._percent(start), 1000]
            for name, (start, *_) in self._running.items()
        ]
        ended = [
            [number, start.task, start.run, start.how, ""]
            for number, start in self._ended[:MAX_LISTED_ENDS]
        ]
        return self._answer(200, born=self.born, running=running, ended=ended)

    def _percent(self, start: Start) -> int:
        seconds, _ = self._outcome_of(start.task, start.run)
        done = (time.monotonic() - start.begun_at) / seconds
        return 100 if seconds > 1000 else min(99, int(100 * done))


class Machines:
    """The machine interface: lists the workers' machines, takes no orders."""

    def __init__(self, workers: list[Worker], service: str):
        """Create an interface that is not listening yet."""
        self._workers = workers
        self._service = service
        self._runner: web.ServerRunner | None = None
        self.address = ""

    async def listen(self) -> None:
        """Start to listen on a free port."""
        self._runner = web.ServerRunner(web.Server(self._serve))
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        if request.path != "/galenarill/machines":
            return web.json_response({"reason": "busy"}, status=409)
        return web.json_response(
            {
                "machines": [
                    {
                        "machine": f"m-{worker.id}",
                        "pool": self._service,
                        "state": "up" if worker.is_up else "down",
                        "zone": "a",
                        "labels": ["a", f"r-{worker.id}"],
                        "capacity": {
                            "cpu": 16000,
                            "mem_mb": 65536,
                            "gpu": 0,
                        },
                        "id": worker.id,
                    }
                    for worker in self._workers
                ],
                "next_token": "",
            }
        )


class Policy:
    """The policy service: knows which workers may run a step."""

    def __init__(self, allowed: set[str], record: Record):
        """Create a service that allows some workers, for every step."""
        self._allowed = allowed
        self._record = record
        self._turn = asyncio.Lock()
        self._runner: web.ServerRunner | None = None
        self.address = ""

    @staticmethod
    def ticket(step: str, worker: str) -> str:
        """Return the ticket for a step on a worker."""
        return f"t-{step}-{worker}"

    async def listen(self) -> None:
        """Start to listen on a free port."""
        self._runner = web.ServerRunner(web.Server(self._serve))
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        body = json.loads(await request.read())
        step, workers = body["step"], body["workers"]
        async with self._turn:
            await asyncio.sleep((DECIDE_MS + EACH_MS * len(workers)) / 1000)
        good = [
            [w, self.ticket(step, w)] for w in workers if w in self._allowed
        ]
        allowed = [worker for worker, _ in good]
        self._record.note(
            f"advise {step}: asked on {len(workers)}, good {allowed}"
        )
        return web.json_response({"good": good, "valid_ms": VALID_MS})


class Callers:
    """Calls of clients and of the operator."""

    def __init__(self, session: aiohttp.ClientSession, system, record: Record):
        """Create callers of a system."""
        self._session = session
        self._system = system
        self._record = record

    async def call(
        self, method: str, url: str, body=None, headers=None
    ) -> tuple[int, dict]:
        """Send one call; status 0 is no response."""
        try:
            async with (
                asyncio.timeout(3.0),
                self._session.request(
                    method,
                    url,
                    data=None if body is None else json.dumps(body),
                    headers={"Content-Type": "application/json"}
                    | (headers or {}),
                ) as answer,
            ):
                text = await answer.text()
                status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}
        with contextlib.suppress(ValueError):
            return status, json.loads(text)
        return status, {}

    async def configure(self, document: dict) -> None:
        """Send a configuration to any node until it is acknowledged."""
        for attempt in range(150):
            ip = self._system.cores[attempt % 3]
            url = f"http://{ip}:8345{CONFIG_PATH}"
            status, _ = await self.call("PUT", url, document)
            if status == 200:
                self._record.note(
                    f"configuration {document['version']} is acknowledged"
                )
                return
            await asyncio.sleep(0.2)
        raise TimeoutError("no configuration was acknowledged")

    async def front(
        self, method: str, path: str, body=None, *, host: str, key: str
    ) -> tuple[int, dict]:
        """Call a gateway, and others while there is no clear response."""
        answer = (0, {})
        for attempt in range(20):
            ip = self._system.fronts[attempt % len(self._system.fronts)]
            answer = await self.call(
                method,
                f"http://{ip}:8340{path}",
                body,
                {
                    "Host": host,
                    "Authorization": f"Bearer {key}",
                    "X-Galenarill-Deadline-Ms": "3000",
                },
            )
            if answer[0] not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.2)
        self._record.note(f"{method} {path}: {answer[0]} {answer[1]}")
        return answer
