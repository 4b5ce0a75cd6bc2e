"""In-memory fake of the network between a leader and workers."""

import asyncio
import random

from galenarill.routing import Resources
from galenarill.workers import (
    OrderAnswer,
    StartOrder,
    Verdict,
    WorkerClient,
    WorkerReport,
)
from standins.workers import IS_LATE, FakeWorker, RunRecord

__all__ = ["FakeWorkers"]

# Time after which an order that is not repeated sooner is given up.
ORDER_TIMEOUT_SECONDS = 0.7


class FakeWorkers(WorkerClient):
    """Fake workers behind a network that loses and delays orders.

    Attributes:
        workers: Current incarnation of each worker, by address.
        history: Record of every started run.
        cut: Addresses that are unreachable.
        orders: Every start order that was sent.
        loss: Fraction of responses that are lost.
        lateness: Fraction of orders executed late, unanswered.
        late_renewals_outlive_workers: Whether a late renewal is executed by
            the incarnation that is then at the address, if the one that it was
            sent to has crashed.
        late_starts_outlive_workers: The same of late start orders.
        crash_delays: Seconds from the start of a run to the crash of its
            worker, by the name of its task: a number, or the least and the
            most of a range from which each run draws.
        gangs: Steps whose tasks form a gang, as `job.occurrence.step`.
        resets_connections: Whether the operating system of a crashed worker
            resets its connections, and refuses new ones. Otherwise calls to it
            time out.
        startup_seconds: Time from the start of a long-running task until it
            serves, on workers added from then on.
        zones: Zone of each worker that isn't in zone "a", by its name.
        on_stop: Called when a stop takes effect with the record of the run,
            and whether the order was delayed; or None.
    """

    def __init__(self, seed: int = 0, seconds_of=None):
        """Create a network without workers.

        Args:
            seed: Seed of delays, losses and clock rates.
            seconds_of: Function of a task and its run number. It returns
                the duration in seconds and the outcome. By default runs take
                one second and succeed.
        """
        self.workers: dict[str, FakeWorker] = {}
        self.history: list[RunRecord] = []
        self.cut: set[str] = set()
        self.orders: list[StartOrder] = []
        self.loss = 0.0
        self.lateness = 0.0
        self.late_renewals_outlive_workers = False
        self.late_starts_outlive_workers = False
        self.crash_delays: dict[str, float | tuple[float, float]] = {}
        self.gangs: set[str] = set()
        self.resets_connections = False
        self.startup_seconds = 0.0
        self.zones: dict[str, str] = {}
        self.on_stop = None
        self._rng = random.Random(seed)
        # Apart, so that clocks leave the course of a simulation as it is.
        self._clock_rng = random.Random(seed + 1)
        self._simulate_run = seconds_of or (lambda task, run: (1.0, "done"))
        self._loop = asyncio.get_running_loop()
        self._late_deliveries: set[asyncio.Task] = set()

    def add(
        self,
        name: str,
        pool: str = "pool",
        max_tasks: int = 4,
        machine: str = "",
        address: str = "",
    ) -> WorkerReport:
        """Start a worker; an earlier one at its address crashes.

        Returns:
            The report of the new incarnation.
        """
        address = address or f"{name}:1"
        if address in self.workers:
            self.workers[address].crash()
        report = WorkerReport(
            name,
            int(self._loop.time() * 1000),
            1,
            pool,
            machine,
            address,
            self.zones.get(name, "a"),
            "r1",
            ("a", "r1"),
            Resources(max_tasks, 1000, 0),
        )
        clock_rate = self._rng.choice([1.0, 0.98])
        worker = FakeWorker(
            report,
            self._simulate_run,
            self.history,
            clock_rate,
            self._crash_delay,
            self._break_gangs,
            self._note_stop,
        )
        worker.clock_offset_ms = self._clock_rng.choice(
            (0.0, self._clock_rng.uniform(0.0, 1e7))
        )
        worker.startup_seconds = self.startup_seconds
        self.workers[address] = worker
        return report

    def _note_stop(self, record: RunRecord, is_late: bool) -> None:
        if self.on_stop is not None:
            self.on_stop(record, is_late)

    def _crash_delay(self, task: str) -> float | None:
        """Return after how many seconds a run crashes its worker, or None."""
        delay = self.crash_delays.get(task)
        if isinstance(delay, tuple):
            return self._rng.uniform(*delay)
        return delay

    def _break_gangs(self, lost: list[RunRecord]) -> None:
        for record in lost:
            step, _, _ = record.task.rpartition(".")
            if step in self.gangs:
                for worker in self.workers.values():
                    self._loop.call_soon(worker.break_run, step, record.run)

    async def renew(
        self,
        worker,
        token,
        acknowledged_end,
        until_ms,
        wait_ms,
        timeout_seconds,
    ):
        """Renew a worker's lease and return its lists of runs."""
        return await self._deliver(
            worker,
            lambda incarnation: incarnation.renew_lease(
                token, acknowledged_end, until_ms, wait_ms
            ),
            wait_ms / 1000,
            timeout_seconds,
            outlives_worker=self.late_renewals_outlive_workers,
        )

    async def start(self, worker, order, timeout_seconds):
        """Send an order to start a run."""
        self.orders.append(order)

        async def execute(incarnation):
            return incarnation.start(order), None

        return await self._deliver(
            worker,
            execute,
            timeout_seconds=timeout_seconds,
            outlives_worker=self.late_starts_outlive_workers,
        )

    async def stop(self, worker, task, run, token):
        """Send an order to stop a run or, if not started, to bar its start."""

        async def execute(incarnation):
            return incarnation.stop(task, run, token), None

        return await self._deliver(worker, execute)

    async def throttle(self, worker, task, run, percent, token):
        """Send an order to throttle a run to a percentage of full speed."""

        async def execute(incarnation):
            incarnation.throttle_orders.append((task, percent))
            return Verdict.DONE, None

        return await self._deliver(worker, execute)

    async def _deliver(
        self,
        worker,
        execute,
        wait=0.0,
        timeout_seconds=ORDER_TIMEOUT_SECONDS,
        outlives_worker=False,
    ):
        await asyncio.sleep(self._rng.uniform(0.001, 0.02))
        incarnation = self.workers.get(worker.address)
        if (
            worker.address in self.cut
            or incarnation is None
            or not incarnation.is_alive
        ):
            is_reset = (
                self.resets_connections and worker.address not in self.cut
            )
            if is_reset:
                return OrderAnswer(Verdict.NO_LISTENER)
            await asyncio.sleep(timeout_seconds)
            return OrderAnswer(Verdict.NO_ANSWER)
        if incarnation.report.worker != worker.worker:
            return OrderAnswer(Verdict.OTHER_INCARNATION)
        if self._rng.random() < self.lateness:
            self._execute_late(incarnation, execute, outlives_worker)
            await asyncio.sleep(timeout_seconds)
            return OrderAnswer(Verdict.NO_ANSWER)
        if self.resets_connections:
            result = await _until_crash(execute(incarnation), incarnation)
            if result is None:
                return OrderAnswer(Verdict.NO_ANSWER)
            verdict, lists = result
        else:
            verdict, lists = await execute(incarnation)
        clock_ms = incarnation.clock_ms
        await asyncio.sleep(self._rng.uniform(0.001, 0.02))
        is_lost = self._rng.random() < self.loss
        if is_lost or worker.address in self.cut or not incarnation.is_alive:
            await asyncio.sleep(timeout_seconds)
            return OrderAnswer(Verdict.NO_ANSWER)
        return OrderAnswer(verdict, clock_ms, lists)

    def _execute_late(
        self, receiver: FakeWorker, execute, outlives_worker: bool
    ) -> None:
        async def run():
            IS_LATE.set(True)
            await asyncio.sleep(self._rng.uniform(1, 8))
            incarnation = receiver
            if outlives_worker:
                incarnation = self.workers[receiver.report.address]
            if incarnation.is_alive:
                await execute(incarnation)

        task = asyncio.create_task(run())
        self._late_deliveries.add(task)
        task.add_done_callback(self._late_deliveries.discard)


async def _until_crash(call, incarnation: FakeWorker):
    """Return the result of a call, or None if the worker crashes first."""
    result = asyncio.ensure_future(call)
    crash = asyncio.ensure_future(incarnation.has_crashed.wait())
    try:
        await asyncio.wait({result, crash}, return_when=asyncio.FIRST_COMPLETED)
        return result.result() if result.done() else None
    finally:
        result.cancel()
        crash.cancel()
