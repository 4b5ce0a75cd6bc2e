"""Orders to workers, whatever protocol carries them."""

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
    """A run that a worker lists as running.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        checkpoint: Latest checkpoint, or "".
        percent: Progress, or share of full work for a task that lasts.
        load: Tail of response times in ms for a task that serves, else
            the processor use in thousandths of a core.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float


class EndedRow(msgspec.Struct, frozen=True):
    """An end that a worker lists.

    Attributes:
        number: Number of the end in this life of the worker.
        task: Name of the task.
        run: Number of the run.
        how: How it ended.
        checkpoint: Checkpoint that it left, or "".
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


class WorkerLists(msgspec.Struct, frozen=True):
    """What a worker answers to a renewal of its lease.

    Attributes:
        clock_ms: The worker's steady clock.
        born: Start of its life, or None where it does not tell.
        running: Runs in progress.
        ended: Ends that were not yet taken note of.
    """

    clock_ms: float
    born: int | None
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


class StartOrder(msgspec.Struct, frozen=True):
    """Order to start a run.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        payload: The job's payload.
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
    """What became of an order."""

    DONE = "done"
    # A higher fencing token has been seen.
    FENCED = "fenced"
    # The run, or a later one, has ended or was stopped there.
    OLD = "old"
    # Refused, so that it has had no effect.
    NO_ROOM = "no room"
    LATE = "late"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    # Another life of a worker answers at that address.
    OTHER_LIFE = "other life"
    # No answer: the order may be carried out, now or later.
    NO_ANSWER = "no answer"


class OrderAnswer(msgspec.Struct, frozen=True):
    """Answer to an order.

    Attributes:
        verdict: What became of it.
        clock_ms: The worker's steady clock, or None.
        lists: Its lists, for a renewal that was carried out.
    """

    verdict: Verdict
    clock_ms: float | None = None
    lists: WorkerLists | None = None


class WorkerClient(abc.ABC):
    """Sends orders to workers."""

    @abc.abstractmethod
    async def renew(
        self,
        worker: WorkerReport,
        token: int,
        noted_end: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> OrderAnswer:
        """Renew a worker's lease and read its lists.

        Args:
            worker: Worker.
            token: Fencing token.
            noted_end: Number of the last end taken note of.
            until_ms: End of the lease on the worker's clock, or None.
            wait_ms: How long the worker may wait for an end.
        """

    @abc.abstractmethod
    async def start(
        self, worker: WorkerReport, order: StartOrder
    ) -> OrderAnswer:
        """Start a run."""

    @abc.abstractmethod
    async def stop(
        self, worker: WorkerReport, task: str, run: int, token: int
    ) -> OrderAnswer:
        """Stop a run, and bar it if it has not begun."""

    @abc.abstractmethod
    async def pace(
        self,
        worker: WorkerReport,
        task: str,
        run: int,
        percent: int,
        token: int,
    ) -> OrderAnswer:
        """Let a run work at a share of its full speed."""
