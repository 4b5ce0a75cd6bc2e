"""Messages between gateways and coordinators."""

import enum

import msgspec

from galenarill.common import (
    AvailabilityZoneId,
    JobId,
    MachineId,
    VmId,
    WorkerId,
)
from galenarill.jobs.model import JobSpec
from galenarill.routing import Configuration
from galenarill.workers.report import WorkerReport

__all__ = [
    "Presence",
    "SubmitJob",
    "AskJob",
    "WithdrawJob",
    "AskQueue",
    "ExplainJob",
    "ChangeConfiguration",
    "ReadConfiguration",
    "ReportWorker",
    "WorkerLeft",
    "BeginWave",
    "AskWave",
    "ChangeEvacuation",
    "Code",
    "REFUSALS",
    "CHANGES",
    "Call",
    "Reply",
]


class Presence(msgspec.Struct, frozen=True, array_like=True, tag="xp"):
    """Periodic announcement of a coordinator to its peers and gateways.

    Attributes:
        term: Latest known term.
        leads: Whether the coordinator is the leader and can serve
            linearizable reads.
        coordinators: Link addresses of all known coordinators; empty from a
            gateway, which sends this only to keep its link alive.
    """

    term: int
    leads: bool
    coordinators: tuple[VmId, ...]


class SubmitJob(msgspec.Struct, frozen=True, array_like=True, tag="js"):
    """Request to accept a job."""

    host: str
    path: str
    key: str | None
    job: JobId
    spec: JobSpec


class AskJob(msgspec.Struct, frozen=True, array_like=True, tag="ja"):
    """Request for the status of a job."""

    host: str
    path: str
    key: str | None
    job: JobId


class WithdrawJob(msgspec.Struct, frozen=True, array_like=True, tag="jw"):
    """Request to cancel a job."""

    host: str
    path: str
    key: str | None
    job: JobId


class AskQueue(msgspec.Struct, frozen=True, array_like=True, tag="jq"):
    """Request for the number of accepted jobs in a queue that wait to start."""

    host: str
    path: str
    key: str | None


class ExplainJob(msgspec.Struct, frozen=True, array_like=True, tag="je"):
    """Request to explain where a job would go now, without accepting it."""

    host: str
    path: str
    key: str | None
    spec: JobSpec


class ChangeConfiguration(
    msgspec.Struct, frozen=True, array_like=True, tag="oc"
):
    """Request to apply a configuration."""

    configuration: Configuration


class ReadConfiguration(msgspec.Struct, frozen=True, array_like=True, tag="or"):
    """Request for the current configuration."""


class ReportWorker(msgspec.Struct, frozen=True, array_like=True, tag="wr"):
    """Forwards the status report of a worker.

    Attributes:
        report: The report.
    """

    report: WorkerReport


class WorkerLeft(msgspec.Struct, frozen=True, array_like=True, tag="wl"):
    """Forwards the notice that a worker has left.

    Attributes:
        worker: Id of the worker.
        born: Start of the latest incarnation that the coordinator knew when it
            received the notice, in Unix milliseconds, or None.
    """

    worker: WorkerId
    born: int | None = None


class BeginWave(msgspec.Struct, frozen=True, array_like=True, tag="ob"):
    """Request to begin a maintenance wave."""

    wave: int
    machines: tuple[MachineId, ...]
    duration_s: float
    max_machines_down: int


class AskWave(msgspec.Struct, frozen=True, array_like=True, tag="oa"):
    """Request for the progress of a maintenance wave."""

    wave: int


class ChangeEvacuation(msgspec.Struct, frozen=True, array_like=True, tag="ez"):
    """Request to evacuate a zone, or to revoke its evacuation."""

    zone: AvailabilityZoneId
    is_evacuated: bool


class Code(enum.Enum):
    """Outcome of a call."""

    DONE = "done"
    # Not carried out by this coordinator.
    NOT_LEADING = "not leading"
    # The lead was lost before the commit, which may still take place.
    UNSETTLED = "unsettled"
    NO_CONFIGURATION = "no configuration"
    UNKNOWN_QUEUE = "unknown queue"
    UNKNOWN_KEY = "unknown key"
    UNKNOWN = "unknown"
    INVALID = "invalid"
    # Another queue or tenant has a job with this id.
    ID_IN_USE = "id in use"
    UNKNOWN_ZONE = "unknown zone"
    # The job certainly comes too late to be useful.
    TOO_LATE = "too late"
    # A gang of the job needs more than its tenant may ever use.
    ABOVE_LIMIT = "gang above the tenant's upper limit"
    # The tenant has cancelled too many jobs that are not known.
    TOO_MANY_WITHDRAWN = "too many withdrawn jobs"


# Codes that say that a request was not carried out.
REFUSALS = frozenset(
    {
        Code.NO_CONFIGURATION,
        Code.UNKNOWN_QUEUE,
        Code.UNKNOWN_KEY,
        Code.INVALID,
        Code.ID_IN_USE,
        Code.UNKNOWN_ZONE,
        Code.TOO_LATE,
        Code.ABOVE_LIMIT,
        Code.TOO_MANY_WITHDRAWN,
    }
)

# Requests that change the replicated state.
CHANGES = (
    SubmitJob,
    WithdrawJob,
    ChangeConfiguration,
    ReportWorker,
    BeginWave,
    ChangeEvacuation,
)

_Request = (
    SubmitJob
    | AskJob
    | WithdrawJob
    | AskQueue
    | ExplainJob
    | ChangeConfiguration
    | ReadConfiguration
    | ReportWorker
    | WorkerLeft
    | BeginWave
    | AskWave
    | ChangeEvacuation
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
        text: Status of a job or wave, or the reason for a refusal.
        number: Count or version, or the seconds after which a request that is
            rejected for now is to be sent again.
        document: Requested document.
    """

    call: int
    code: Code
    text: str = ""
    number: int = 0
    document: bytes = b""
