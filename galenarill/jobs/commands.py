"""Log commands that change the replicated state of jobs and machines."""

import functools
import operator

import cbor2
import msgspec

from galenarill.common import (
    AvailabilityZoneId,
    JobId,
    MachineId,
    PoolId,
    QueueId,
    TeamId,
    WorkerId,
)
from galenarill.errors import ProtocolError
from galenarill.jobs.model import Blame, JobSpec
from galenarill.routing import Configuration, Queue

__all__ = [
    "Configure",
    "AcceptJob",
    "CancelJob",
    "StartRun",
    "EndRun",
    "ForgetJobs",
    "DrainWorker",
    "StartWave",
    "OrderMaintenance",
    "FinishMaintenance",
    "MoveMachine",
    "EvacuateZone",
    "RestoreZone",
    "encode_commands",
    "decode_commands",
]


class Configure(msgspec.Struct, frozen=True, array_like=True, tag="cfg"):
    """Apply a configuration, unless its version is not the highest so far."""

    configuration: Configuration


class AcceptJob(msgspec.Struct, frozen=True, array_like=True, tag="acc"):
    """Accept a job, unless a job with this id is known.

    Attributes:
        job: Id of the job.
        queue: Name of its queue.
        tenant: Tenant, or "".
        spec: Specification.
        at: Time of acceptance, Unix seconds.
        queue_settings: Settings of the queue by which it was accepted, or None
            in entries of earlier releases. A configuration without the queue
            may be committed before this command.
    """

    job: JobId
    queue: QueueId
    tenant: TeamId
    spec: JobSpec
    at: float
    queue_settings: Queue | None = None


class CancelJob(msgspec.Struct, frozen=True, array_like=True, tag="can"):
    """Cancel a job, or withdraw its id if it is not known yet.

    Attributes:
        job: Id of the job.
        at: Time of the cancellation, Unix seconds.
        path: Host and prefix of the caller's queue if the job was not known
            when this was proposed, so that the id is withdrawn if it is still
            unknown; otherwise None.
        tenant: Tenant of the caller, or "".
    """

    job: JobId
    at: float
    path: tuple[str, str] | None = None
    tenant: TeamId = TeamId("")


class StartRun(msgspec.Struct, frozen=True, array_like=True, tag="run"):
    """Record a run before its start is ordered from the workers.

    Attributes:
        job: Id of the job.
        occurrence: Number of the occurrence.
        step: Number of the step.
        index: Index of the task, or `GANG`.
        run: Number of the run.
        members: Member index, worker id and start of the worker's incarnation
            for each member.
    """

    job: JobId
    occurrence: int
    step: int
    index: int
    run: int
    members: tuple[tuple[int, WorkerId, int], ...]


class EndRun(msgspec.Struct, frozen=True, array_like=True, tag="end"):
    """Record the end of one member of a run.

    For a run that was recorded as lost with a worker that it may have crashed,
    a second command with the outcome `lost` confirms or withdraws the blame.

    Attributes:
        job: Id of the job.
        occurrence: Number of the occurrence.
        step: Number of the step.
        index: Index of the task, or `GANG`.
        run: Number of the run.
        member: Index of the member.
        how: Value of `RunOutcome`.
        checkpoint: Last checkpoint, or "".
        at: Time of the end, Unix seconds.
        blame: Whether the run may have crashed its worker.
        is_sole: Whether the run was on probation, and none of another job was.
        survived_ms: Time from its start for which its worker is known to have
            worked, in milliseconds.
        lost_within_ms: Time from its start by which the worker was silent, in
            milliseconds.
        machine: Machine of the worker, or "" if unknown.
    """

    job: JobId
    occurrence: int
    step: int
    index: int
    run: int
    member: int
    how: str
    checkpoint: str
    at: float
    blame: Blame = Blame.NONE
    is_sole: bool = False
    survived_ms: float = 0.0
    lost_within_ms: float = 0.0
    machine: MachineId = MachineId("")


class ForgetJobs(msgspec.Struct, frozen=True, array_like=True, tag="fgt"):
    """Remove jobs that ended, and ids that were withdrawn, long ago.

    Attributes:
        jobs: Ids of the jobs.
        withdrawn_before: Ids that were withdrawn before this time, Unix
            seconds, are removed.
    """

    jobs: tuple[JobId, ...]
    withdrawn_before: float = 0.0


class DrainWorker(msgspec.Struct, frozen=True, array_like=True, tag="drn"):
    """Start no more runs on an incarnation of a worker."""

    worker: WorkerId
    born: int


class StartWave(msgspec.Struct, frozen=True, array_like=True, tag="wav"):
    """Start the maintenance of several machines, unless the wave is known.

    Attributes:
        wave: Number of the wave.
        machines: Machines to maintain.
        max_machines_down: Maximum number of machines down at a time.
        deadline_at: Time by which the wave should be completed, Unix seconds.
    """

    wave: int
    machines: tuple[MachineId, ...]
    max_machines_down: int
    deadline_at: float


class OrderMaintenance(msgspec.Struct, frozen=True, array_like=True, tag="upk"):
    """Record the maintenance of a machine before it is ordered.

    Attributes:
        wave: Number of the wave.
        machine: Machine.
        holder: Coordinator that gives the order.
        at: Time of the order, Unix seconds.
    """

    wave: int
    machine: MachineId
    holder: str
    at: float


class FinishMaintenance(
    msgspec.Struct, frozen=True, array_like=True, tag="upd"
):
    """Record that a machine was maintained or has been removed."""

    wave: int
    machine: MachineId


class MoveMachine(msgspec.Struct, frozen=True, array_like=True, tag="plm"):
    """Record the move of a machine before it is ordered.

    Attributes:
        machine: Machine.
        pool: Destination.
        holder: Coordinator that gives the order.
        at: Time of the order, Unix seconds.
    """

    machine: MachineId
    pool: PoolId
    holder: str
    at: float


class EvacuateZone(msgspec.Struct, frozen=True, array_like=True, tag="evz"):
    """Start no more runs in a zone, unless it is evacuated already.

    Attributes:
        zone: Availability zone.
        at: Time of the order, Unix seconds.
    """

    zone: AvailabilityZoneId
    at: float


class RestoreZone(msgspec.Struct, frozen=True, array_like=True, tag="rsz"):
    """Start runs in a zone again.

    Attributes:
        zone: Availability zone.
        at: Time of the order, Unix seconds.
    """

    zone: AvailabilityZoneId
    at: float


_Command = functools.reduce(
    operator.or_,
    (
        Configure,
        AcceptJob,
        CancelJob,
        StartRun,
        EndRun,
        ForgetJobs,
        DrainWorker,
        StartWave,
        OrderMaintenance,
        FinishMaintenance,
        MoveMachine,
        EvacuateZone,
        RestoreZone,
    ),
)


def encode_commands(commands: list[msgspec.Struct]) -> bytes:
    """Encode the commands of one log entry."""
    return cbor2.dumps(msgspec.to_builtins(commands, builtin_types=(bytes,)))


def decode_commands(data: bytes) -> list[msgspec.Struct]:
    """Decode the commands of one log entry.

    Raises:
        ProtocolError: If `data` is not a list of known commands.

    Example:
        >>> decode_commands(encode_commands([CancelJob("ab", 1.5)]))
        [CancelJob(job='ab', at=1.5, path=None, tenant='')]
    """
    try:
        return msgspec.convert(
            cbor2.loads(data), list[_Command], builtin_types=(bytes,)
        )
    except (
        msgspec.ValidationError,
        cbor2.CBORDecodeError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise ProtocolError(
            f"cannot decode the commands of a log entry: {error}"
        ) from error
