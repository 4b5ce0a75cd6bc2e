"""Stand-ins of workers, as PROTOCOL.md describes them."""

import asyncio
import dataclasses
import json
import random
import time

from review.support_3.http import HttpServer, call

STEP_SECONDS = 0.02
HEARTBEAT_SECONDS = 0.5
MAX_HOLD_MS = 6000
STOP_SECONDS = 0.2
# Time until a task that lasts is at work.
WARM_UP_MS = 300.0


@dataclasses.dataclass
class Run:
    """A run of a task on a worker."""

    task: str
    number: int
    cpu: int
    # Work in milliseconds; infinity for a task that lasts.
    work_ms: float
    how: str
    done_ms: float = 0.0
    stops_at: float = float("inf")

    @property
    def percent(self):
        """Progress as it is listed."""
        whole_ms = min(self.work_ms, 1e9)
        if whole_ms == 1e9:
            whole_ms = WARM_UP_MS
        return min(100, int(100 * self.done_ms / whole_ms))


class Worker:
    """One worker, with the lives that it has under one id.

    `plan` is called with a task's name and the worker, and returns its cpu,
    its work in milliseconds and how it ends. `note` records an event.
    """

    def __init__(self, name, address, kind, rack, controls, pool, plan, note):
        """Create a worker that is down."""
        self.name = name
        self.address = address
        self.kind = kind
        self.rack = rack
        self.machine = f"m-{name}"
        self.cpu = 16000
        # Factor by which its work takes longer.
        self.slowness = 1.0
        self.is_healthy = True
        self.is_draining = False
        self.is_up = False
        self._controls = controls
        self._pool = pool
        self._plan = plan
        self._note = note
        self._tasks = []
        self._http = None

    @property
    def clock_ms(self):
        """Its own steady clock."""
        return 1000 * (time.monotonic() - self._began_at)

    def tasks_running(self):
        """Return the names of the tasks that run here."""
        return list(self._running)

    def used_cpu(self):
        """Return the cpu in use."""
        return sum(run.cpu for run in self._running.values())

    async def begin(self):
        """Begin a life."""
        self._began_at = time.monotonic() - 1.0
        self.born = int(time.time() * 1000)
        self._fence = 0
        self._until_ms = 0.0
        self._running = {}
        self._barred = {}
        self._ended = []
        self._end_count = 0
        self._sequence = 0
        self._has_ended = asyncio.Event()
        self.is_up = True
        self._http = HttpServer(self._handle)
        host, _, port = self.address.rpartition(":")
        await self._http.open(host, int(port))
        self._tasks = [
            asyncio.create_task(self._report_forever()),
            asyncio.create_task(self._work_forever()),
        ]
        self._note("worker begins", worker=self.name, born=self.born)

    def fail(self, task):
        """End a task by its own fault, if it runs here."""
        if task in self._running:
            self._end(self._running[task], "failed")

    def crash(self):
        """End the life: all that runs ends, and nothing is said of it."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        self._http.close()
        self._note(
            "worker crashes", worker=self.name, lost=self.tasks_running()
        )
        self._running = {}

    async def _report_forever(self):
        while True:
            self._sequence += 1
            body = {
                "service": self._pool,
                "address": self.address,
                "zone": "a",
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.is_draining else "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
                "labels": [self.kind, self.rack],
                "machine": self.machine,
                "born": self.born,
                "seq": self._sequence,
                "clock_ms": int(self.clock_ms),
            }
            for control in random.sample(self._controls, len(self._controls)):
                status, _ = await call(
                    control,
                    "PUT",
                    f"/galenarill/instances/{self.name}",
                    body=body,
                    seconds=1.0,
                )
                if 200 <= status < 300:
                    if self.is_draining:
                        self._note("draining acknowledged", worker=self.name)
                    break
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _work_forever(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(STEP_SECONDS)
            now = time.monotonic()
            spent_ms, last = 1000 * (now - last) / self.slowness, now
            has_lapsed = self.clock_ms > self._until_ms
            for run in list(self._running.values()):
                run.done_ms += spent_ms
                if has_lapsed:
                    self._end(run, "lapsed")
                elif now >= run.stops_at:
                    self._end(run, "stopped")
                elif run.done_ms >= run.work_ms:
                    self._end(run, run.how)

    def _end(self, run, how):
        del self._running[run.task]
        self._bar(run.task, run.number)
        self._end_count += 1
        self._ended.append([self._end_count, run.task, run.number, how, ""])
        self._has_ended.set()
        self._note(
            "run ends", task=run.task, run=run.number, worker=self.name, how=how
        )

    def _bar(self, task, number):
        self._barred[task] = max(self._barred.get(task, 0), number)

    def _extend(self, until_ms):
        limit = self.clock_ms + MAX_HOLD_MS
        self._until_ms = max(self._until_ms, min(until_ms, limit))

    def _refusal(self, reason):
        return 409, {"clock_ms": int(self.clock_ms), "reason": reason}

    async def _handle(self, method, path, headers, body):
        if headers.get("x-galenarill-expect-instance", self.name) != self.name:
            return 421, {}
        name = path.rpartition("/")[2]
        if method != "POST":
            return (200 if name == "health" and self.is_healthy else 404), {}
        order = json.loads(body)
        if order.get("fence", 0) < self._fence:
            return self._refusal("fence")
        if name == "run-start" and not self.is_healthy:
            self._note(
                "start refused (503)",
                task=order["task"],
                run=order["run"],
                worker=self.name,
            )
            return 503, {"clock_ms": int(self.clock_ms)}
        self._fence = order.get("fence", 0)
        if name == "run-start":
            return self._start(order)
        if name == "run-stop":
            self._bar(order["task"], order["run"])
            run = self._running.get(order["task"])
            if run is not None and run.number <= order["run"]:
                run.stops_at = min(
                    run.stops_at, time.monotonic() + STOP_SECONDS
                )
        elif name == "hold":
            return await self._hold(order)
        return 200, {"clock_ms": int(self.clock_ms)}

    def _start(self, order):
        task, number = order["task"], order["run"]
        current = self._running.get(task)
        if current is not None and current.number == number:
            self._extend(order["until_ms"])
            return 200, {"clock_ms": int(self.clock_ms)}
        if number <= self._barred.get(task, 0):
            self._extend(order["until_ms"])
            return self._refusal("old")
        if order["until_ms"] <= self.clock_ms:
            return self._refusal("late")
        self._extend(order["until_ms"])
        cpu, work_ms, how = self._plan(task, self)
        if current is not None or self.used_cpu() + cpu > self.cpu:
            return self._refusal("room")
        self._running[task] = Run(task, number, cpu, work_ms, how)
        self._note("run starts", task=task, run=number, worker=self.name)
        return 200, {"clock_ms": int(self.clock_ms)}

    async def _hold(self, order):
        if "until_ms" in order:
            self._extend(order["until_ms"])
        seen = order.get("seen_upto", 0)
        for row in self._ended:
            if row[0] <= seen:
                self._note(
                    "end taken note of", task=row[1], run=row[2], how=row[3]
                )
        self._ended = [row for row in self._ended if row[0] > seen]
        wait_ms = order.get("wait_ms", 0)
        if wait_ms and not self._ended:
            self._has_ended.clear()
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._has_ended.wait()
            except TimeoutError:
                pass
        return 200, {
            "clock_ms": int(self.clock_ms),
            "born": self.born,
            "running": [
                [run.task, run.number, "", run.percent, run.cpu]
                for run in self._running.values()
            ],
            "ended": self._ended[:500],
        }
