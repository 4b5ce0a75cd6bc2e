"""Orders to workers, independent of the protocol that carries them."""

import abc
import enum

import msgspec

from galenarill.workers.report import WorkerReport

__all__ = [
    "RunningRow",
    "EndedRow",
    "WorkerLists",
    "StartOrder",
    "Verdict",
    "OrderAnswer",
    "WorkerClient",
]


class RunningRow(msgspec.Struct, frozen=True):
    """A run that a worker reports as running.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        checkpoint: Latest checkpoint, or "".
        percent: Progress, or for a long-running task its share of full
            capacity.
        load: Tail latency in milliseconds for a latency-sensitive task;
            otherwise CPU usage in millicores.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float


class EndedRow(msgspec.Struct, frozen=True):
    """A run that a worker reports as ended.

    Attributes:
        number: Sequence number of the end in this incarnation of the worker.
        task: Name of the task.
        run: Number of the run.
        how: How it ended.
        checkpoint: Last checkpoint, or "".
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


class WorkerLists(msgspec.Struct, frozen=True):
    """A worker's answer to a renewal of its lease.

    Attributes:
        clock_ms: Reading of the worker's monotonic clock in milliseconds.
        born: Start of its incarnation, or None if not reported.
        running: Runs in progress.
        ended: Ended runs that the leader has not acknowledged yet, the earliest
            first.
        is_cut_off: Whether further runs may have ended that are listed only
            once these are acknowledged.
    """

    clock_ms: float
    born: int | None
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    is_cut_off: bool = False


class StartOrder(msgspec.Struct, frozen=True):
    """Order to start a run.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        payload: Payload of the job.
        until_ms: End of the lease on the worker's clock.
        token: Fencing token.
        checkpoint: Checkpoint to resume from, or "".
        ticket: Ticket of the policy service, or "".
    """

    task: str
    run: int
    payload: str
    until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class Verdict(enum.Enum):
    """Result of an order to a worker."""

    DONE = "done"
    # The worker has seen a higher fencing token.
    FENCED = "fenced"
    # The run, or a later run of the task, has already ended or was stopped.
    OLD = "old"
    # Refused without any effect, for the named reason.
    NO_ROOM = "no room"
    LATE = "late"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    # Another incarnation of a worker answers at this address.
    OTHER_INCARNATION = "other life"
    # Nothing listens at its address, so the order had no effect, and the
    # incarnation that was reported there is over.
    NO_LISTENER = "no listener"
    # No answer: the order may already have taken effect, or may do so later.
    NO_ANSWER = "no answer"


class OrderAnswer(msgspec.Struct, frozen=True):
    """Answer to an order.

    Attributes:
        verdict: Result of the order.
        clock_ms: Reading of the worker's monotonic clock, or None.
        lists: Runs of the worker, after a successful renewal.
    """

    verdict: Verdict
    clock_ms: float | None = None
    lists: WorkerLists | None = None


class WorkerClient(abc.ABC):
    """Interface of clients that send orders to workers."""

    @abc.abstractmethod
    async def renew(
        self,
        worker: WorkerReport,
        token: int,
        acknowledged_end: int,
        until_ms: int | None,
        wait_ms: int,
        timeout_seconds: float,
    ) -> OrderAnswer:
        """Renew a worker's lease and read its runs.

        Args:
            worker: Worker.
            token: Fencing token.
            acknowledged_end: Number of the last ended run that was
                acknowledged.
            until_ms: End of the lease on the worker's clock, or None to leave
                the lease as it is.
            wait_ms: How long the worker may hold the call open until a run
                ends (long polling).
            timeout_seconds: Time after that until the call is given up.
        """

    @abc.abstractmethod
    async def start(
        self, worker: WorkerReport, order: StartOrder, timeout_seconds: float
    ) -> OrderAnswer:
        """Start a run.

        Args:
            worker: Worker.
            order: Order.
            timeout_seconds: Time until the call is given up.
        """

    @abc.abstractmethod
    async def stop(
        self, worker: WorkerReport, task: str, run: int, token: int
    ) -> OrderAnswer:
        """Stop a run, and prevent its start if it has not started yet."""

    @abc.abstractmethod
    async def throttle(
        self,
        worker: WorkerReport,
        task: str,
        run: int,
        percent: int,
        token: int,
    ) -> OrderAnswer:
        """Throttle a run to a percentage of its full speed."""
