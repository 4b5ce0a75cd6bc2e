"""In-memory fake of workers."""

import asyncio
import contextvars
import dataclasses

import msgspec

from galenarill.routing import Resources
from galenarill.workers import (
    EndedRow,
    RunningRow,
    StartOrder,
    Verdict,
    WorkerLists,
    WorkerReport,
)

__all__ = ["FakeWorker", "RunRecord", "IS_LATE", "MAX_LEASE_SECONDS"]

MAX_LEASE_SECONDS = 6.0
MAX_LISTED_ENDS = 500
STOP_SECONDS = 0.3
# Runs of at least this duration represent long-running tasks, whose progress
# is always reported as 100 percent.
LONG_RUNNING_SECONDS = 90.0
STALLED_RUN_SECONDS = 1e6
# Time for which an earlier, larger capacity may still be used, in seconds.
SHRINK_GRACE_SECONDS = 4.5

# Whether the order that is being executed was delayed on its way.
IS_LATE = contextvars.ContextVar("is_late", default=False)


@dataclasses.dataclass(slots=True)
class RunRecord:
    """Record of a run that a worker started, for checks in tests.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        worker: Name of the worker.
        begun_at: Loop time of the start, in seconds.
        ended_at: Loop time of the end, or None while it runs.
        how: Outcome of the run, or "" while it runs.
        is_acknowledged: Whether the leader acknowledged the end and the lease
            of the worker did not expire between the end and that moment.
        crashes_worker: Whether the run crashes its worker.
        exceeds_capacity: Whether the worker was full when it started, also by
            the capacity that it had shortly before.
    """

    task: str
    run: int
    worker: str
    begun_at: float
    ended_at: float | None = None
    how: str = ""
    is_acknowledged: bool = False
    crashes_worker: bool = False
    exceeds_capacity: bool = False


class FakeWorker:
    """One incarnation of a worker.

    Attributes:
        report: Report that it sends to the leader.
        is_alive: Whether it has not crashed.
        is_stalled: Whether runs make no progress and new runs never end.
        slowdown_factor: Factor by which the duration of runs is multiplied.
        tail_latency_ms: Tail latency that every task reports, in milliseconds.
        throttle_orders: Task and speed in percent of each throttling order.
        guards_capacity: Whether it refuses starts beyond its capacity.
        startup_seconds: Time from the start of a long-running task until it
            serves.
        clock_offset_ms: Reading of its monotonic clock when it started, in
            milliseconds. Each incarnation begins at a reading of its own.
        has_crashed: Set when it crashes.
    """

    def __init__(
        self,
        report: WorkerReport,
        seconds_of,
        history: list[RunRecord],
        clock_rate: float,
        crash_delay_of=None,
        on_crash=None,
        on_stop=None,
    ):
        """Create a worker without running tasks.

        Args:
            report: Report that it sends to the leader.
            seconds_of: Function of a task and its run number. It returns
                the duration in seconds and the outcome.
            history: List to which a record of each started run is appended.
            clock_rate: Rate of its clock relative to the event loop's time.
            crash_delay_of: Function of a task that returns after how many
                seconds its run crashes the worker, or None if it doesn't.
            on_crash: Called with the records of the runs lost in a crash.
            on_stop: Called when a stop takes effect with the record of the
                run, and whether the order was delayed.
        """
        self.report = report
        self.is_alive = True
        self.is_stalled = False
        self.slowdown_factor = 1.0
        self.tail_latency_ms = 0.0
        self.throttle_orders: list[tuple[str, int]] = []
        self.guards_capacity = True
        self.startup_seconds = 0.0
        self.clock_offset_ms = 0.0
        # Until when the worker had each earlier capacity.
        self._earlier_capacities: list[tuple[float, int]] = []
        self.has_crashed = asyncio.Event()
        self._on_crash = on_crash or (lambda lost: None)
        self._on_stop = on_stop or (lambda record, is_late: None)
        self._crash_delay_of = crash_delay_of or (lambda task: None)
        self._simulate_run = seconds_of
        self._history = history
        self._clock_rate = clock_rate
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._lease_until_ms = 0.0
        self._fencing_token = 0
        self._running: dict[str, tuple[RunRecord, asyncio.TimerHandle]] = {}
        self._stopping: set[str] = set()
        self._barred_up_to_run: dict[str, int] = {}
        self._ended: list[EndedRow] = []
        self._record_by_end_number: dict[int, RunRecord] = {}
        self._lease_expired_at = float("-inf")
        self._end_count = 0
        self._has_ended = asyncio.Event()
        self._lease_timer: asyncio.TimerHandle | None = None

    @property
    def clock_ms(self) -> float:
        """Its monotonic clock, in milliseconds."""
        seconds = self._loop.time() - self._started_at
        return self.clock_offset_ms + seconds * 1000 * self._clock_rate

    @property
    def used(self) -> Resources:
        """Resources in use; each run takes one thousandth of a core."""
        return Resources(len(self._running))

    @property
    def records(self) -> list[RunRecord]:
        """Records of the runs in progress, without those being stopped."""
        return [
            record
            for task, (record, _) in self._running.items()
            if task not in self._stopping
        ]

    def report_again(self, **changes) -> WorkerReport:
        """Make and return its next report, with the given changes."""
        self.report = msgspec.structs.replace(
            self.report, sequence=self.report.sequence + 1, **changes
        )
        return self.report

    def crash(self) -> None:
        """Crash: all runs end, and no end is reported to the leader."""
        self.is_alive = False
        self.has_crashed.set()
        lost = [record for record, _ in self._running.values()]
        for record, timer in self._running.values():
            timer.cancel()
            record.ended_at, record.how = self._loop.time(), "crashed"
        self._running.clear()
        self._on_crash(lost)

    def resize(self, max_tasks: int) -> WorkerReport:
        """Change the capacity, and return the report that tells it."""
        self._earlier_capacities.append(
            (self._loop.time(), self.report.capacity.cpu)
        )
        return self.report_again(capacity=Resources(max_tasks, 1000, 0))

    def _recent_capacity(self) -> int:
        """Return the largest capacity of the last `SHRINK_GRACE_SECONDS`."""
        limit = self._loop.time() - SHRINK_GRACE_SECONDS
        return max(
            self.report.capacity.cpu,
            *(cpu for until, cpu in self._earlier_capacities if until >= limit),
            0,
        )

    def break_run(self, step: str, run: int) -> None:
        """End the runs of a gang of which a member has been lost.

        Args:
            step: Name of its tasks without the index of the member.
            run: Number of the run.
        """
        for task, (record, timer) in list(self._running.items()):
            if task.startswith(f"{step}.") and record.run == run:
                timer.cancel()
                self._end(task, "broken")

    def _crash_by_task(self, record: RunRecord) -> None:
        current = self._running.get(record.task)
        if current is not None and current[0] is record:
            self.crash()

    def start(self, order: StartOrder) -> Verdict:
        """Execute an order to start a run."""
        if order.token < self._fencing_token:
            return Verdict.FENCED
        self._fencing_token = order.token
        current = self._running.get(order.task)
        if current is not None and current[0].run == order.run:
            self._extend_lease(order.until_ms)
            return Verdict.DONE
        if order.run <= self._barred_up_to_run.get(order.task, 0):
            self._extend_lease(order.until_ms)
            return Verdict.OLD
        if order.until_ms <= self.clock_ms:
            return Verdict.LATE
        self._extend_lease(order.until_ms)
        is_full = len(self._running) >= self.report.capacity.cpu
        exceeds_capacity = len(self._running) >= self._recent_capacity()
        if current is not None or (is_full and self.guards_capacity):
            return Verdict.NO_ROOM
        record = RunRecord(
            order.task, order.run, self.report.worker, self._loop.time()
        )
        record.exceeds_capacity = exceeds_capacity
        delay = self._crash_delay_of(order.task)
        if delay is not None:
            record.crashes_worker = True
            self._loop.call_later(delay, self._crash_by_task, record)
        self._history.append(record)
        seconds, how = self._simulate_run(order.task, order.run)
        seconds *= self.slowdown_factor
        if self.is_stalled:
            seconds = STALLED_RUN_SECONDS
        timer = self._loop.call_later(seconds, self._end, order.task, how)
        self._running[order.task] = (record, timer)
        return Verdict.DONE

    def stop(self, task: str, run: int, token: int) -> Verdict:
        """Execute an order to stop a run.

        The run and earlier runs of the task can no longer be started.
        """
        if token < self._fencing_token:
            return Verdict.FENCED
        self._fencing_token = token
        self._barred_up_to_run[task] = max(
            self._barred_up_to_run.get(task, 0), run
        )
        current = self._running.get(task)
        if (
            current is not None
            and current[0].run <= run
            and task not in self._stopping
        ):
            self._on_stop(current[0], IS_LATE.get())
            self._stopping.add(task)
            current[1].cancel()
            timer = self._loop.call_later(
                STOP_SECONDS, self._end, task, "stopped"
            )
            self._running[task] = (current[0], timer)
        return Verdict.DONE

    async def renew_lease(
        self,
        token: int,
        acknowledged_end: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> tuple[Verdict, WorkerLists | None]:
        """Extend the lease, drop acknowledged ends and list all runs.

        Without unacknowledged ends it waits up to `wait_ms` for one.
        """
        if token < self._fencing_token:
            return Verdict.FENCED, None
        self._fencing_token = token
        if until_ms is not None:
            self._extend_lease(until_ms)
        for row in self._ended:
            if row.number <= acknowledged_end:
                record = self._record_by_end_number.pop(row.number)
                record.is_acknowledged = (
                    self._lease_expired_at < record.ended_at
                )
        self._ended = [
            row for row in self._ended if row.number > acknowledged_end
        ]
        if not self._ended and wait_ms:
            self._has_ended.clear()
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._has_ended.wait()
            except TimeoutError:
                pass
        running = tuple(
            RunningRow(
                task,
                record.run,
                "",
                self._percent_done(record),
                self.tail_latency_ms,
            )
            for task, (record, _) in self._running.items()
        )
        return Verdict.DONE, WorkerLists(
            self.clock_ms,
            self.report.born,
            running,
            tuple(self._ended[:MAX_LISTED_ENDS]),
            len(self._ended) > MAX_LISTED_ENDS,
        )

    def _percent_done(self, record: RunRecord) -> float:
        if self.is_stalled:
            return 0.0
        seconds, _ = self._simulate_run(record.task, record.run)
        if seconds >= LONG_RUNNING_SECONDS:
            serves_at = record.begun_at + self.startup_seconds
            return 100.0 if self._loop.time() >= serves_at else 50.0
        seconds *= self.slowdown_factor
        return 100 * (self._loop.time() - record.begun_at) / seconds

    def _extend_lease(self, until_ms: float) -> None:
        until_ms = min(until_ms, self.clock_ms + MAX_LEASE_SECONDS * 1000)
        if until_ms <= self._lease_until_ms:
            return
        self._lease_until_ms = until_ms
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        seconds_left = (until_ms - self.clock_ms) / 1000 / self._clock_rate
        self._lease_timer = self._loop.call_later(
            max(seconds_left, 0), self._expire_lease
        )

    def _expire_lease(self) -> None:
        self._lease_expired_at = self._loop.time()
        for task in list(self._running):
            self._running[task][1].cancel()
            self._end(task, "lapsed")

    def _end(self, task: str, how: str) -> None:
        if task not in self._running:
            return
        record, _ = self._running.pop(task)
        self._stopping.discard(task)
        record.ended_at, record.how = self._loop.time(), how
        self._barred_up_to_run[task] = max(
            self._barred_up_to_run.get(task, 0), record.run
        )
        self._end_count += 1
        self._record_by_end_number[self._end_count] = record
        self._ended.append(EndedRow(self._end_count, task, record.run, how, ""))
        self._has_ended.set()
