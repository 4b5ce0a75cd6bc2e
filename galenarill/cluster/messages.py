"""Messages between gateways and coordinators."""

import enum

import msgspec

from galenarill.jobs.model import JobSpec
from galenarill.routing import Configuration
from galenarill.workers.report import WorkerReport
from galenarill.world import JobId, MachineId, VmId, WorkerId

__all__ = [
    "Presence",
    "SubmitJob",
    "AskJob",
    "WithdrawJob",
    "AskQueue",
    "ChangeConfiguration",
    "ReadConfiguration",
    "ReportWorker",
    "WorkerLeft",
    "BeginWave",
    "AskWave",
    "Code",
    "Call",
    "Reply",
]


class Presence(msgspec.Struct, frozen=True, array_like=True, tag="xp"):
    """What a coordinator tells its peers and the gateways now and then.

    Attributes:
        term: Latest term that it knows.
        leads: Whether it surely leads.
        coordinators: Link addresses of all coordinators that it knows.
    """

    term: int
    leads: bool
    coordinators: tuple[VmId, ...]


class SubmitJob(msgspec.Struct, frozen=True, array_like=True, tag="js"):
    """Asks to accept a job."""

    host: str
    path: str
    key: str | None
    job: JobId
    spec: JobSpec


class AskJob(msgspec.Struct, frozen=True, array_like=True, tag="ja"):
    """Asks for a job's status."""

    host: str
    path: str
    key: str | None
    job: JobId


class WithdrawJob(msgspec.Struct, frozen=True, array_like=True, tag="jw"):
    """Asks to cancel a job."""

    host: str
    path: str
    key: str | None
    job: JobId


class AskQueue(msgspec.Struct, frozen=True, array_like=True, tag="jq"):
    """Asks how many accepted jobs of a queue have not begun."""

    host: str
    path: str
    key: str | None


class ChangeConfiguration(
    msgspec.Struct, frozen=True, array_like=True, tag="oc"
):
    """Asks to put a configuration in force."""

    configuration: Configuration


class ReadConfiguration(msgspec.Struct, frozen=True, array_like=True, tag="or"):
    """Asks for the configuration in force."""


class ReportWorker(msgspec.Struct, frozen=True, array_like=True, tag="wr"):
    """Passes on what a worker reports of itself.

    Attributes:
        report: The report.
    """

    report: WorkerReport


class WorkerLeft(msgspec.Struct, frozen=True, array_like=True, tag="wl"):
    """Passes on that a worker has left."""

    worker: WorkerId


class BeginWave(msgspec.Struct, frozen=True, array_like=True, tag="ob"):
    """Asks to begin a wave of upkeep."""

    wave: int
    machines: tuple[MachineId, ...]
    duration_s: float
    at_once: int


class AskWave(msgspec.Struct, frozen=True, array_like=True, tag="oa"):
    """Asks how far a wave is."""

    wave: int


class Code(enum.Enum):
    """Outcome of a call."""

    DONE = "done"
    NOT_LEADING = "not leading"
    NO_CONFIGURATION = "no configuration"
    UNKNOWN_QUEUE = "unknown queue"
    UNKNOWN_KEY = "unknown key"
    UNKNOWN = "unknown"
    INVALID = "invalid"


_Request = (
    SubmitJob
    | AskJob
    | WithdrawJob
    | AskQueue
    | ChangeConfiguration
    | ReadConfiguration
    | ReportWorker
    | WorkerLeft
    | BeginWave
    | AskWave
)


class Call(msgspec.Struct, frozen=True, array_like=True, tag="xc"):
    """A request to the leader.

    Attributes:
        call: Number that the reply echoes.
        request: The request.
    """

    call: int
    request: _Request


class Reply(msgspec.Struct, frozen=True, array_like=True, tag="xr"):
    """Answer to a `Call`.

    Attributes:
        call: Number of the call.
        code: Outcome.
        text: Status of a job or wave, or the reason of a refusal.
        number: Count or version.
        document: Document that was asked for.
    """

    call: int
    code: Code
    text: str = ""
    number: int = 0
    document: bytes = b""
