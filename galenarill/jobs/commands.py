"""Commands that change the replicated state of jobs and machines."""

import functools
import operator

import cbor2
import msgspec

from galenarill.errors import ProtocolError
from galenarill.jobs.model import JobSpec
from galenarill.routing import Configuration
from galenarill.world import JobId, MachineId, PoolId, QueueId, TeamId, WorkerId

__all__ = [
    "Configure",
    "AcceptJob",
    "CancelJob",
    "StartRun",
    "EndRun",
    "ForgetJobs",
    "DrainWorker",
    "StartWave",
    "OrderUpkeep",
    "FinishUpkeep",
    "PlaceMachine",
    "encode_commands",
    "decode_commands",
]


class Configure(msgspec.Struct, frozen=True, array_like=True, tag="cfg"):
    """Put a configuration in force, if its version is the highest."""

    configuration: Configuration


class AcceptJob(msgspec.Struct, frozen=True, array_like=True, tag="acc"):
    """Accept a job, unless one with that id is known."""

    job: JobId
    queue: QueueId
    tenant: TeamId
    spec: JobSpec
    at: float


class CancelJob(msgspec.Struct, frozen=True, array_like=True, tag="can"):
    """Cancel a job."""

    job: JobId
    at: float


class StartRun(msgspec.Struct, frozen=True, array_like=True, tag="run"):
    """Note that a run may begin, before the worker is told.

    Attributes:
        job: Job.
        occurrence: Occurrence.
        step: Step.
        index: Index of the task, or `GANG`.
        run: Number of the run.
        members: Member, worker and the start of its life.
    """

    job: JobId
    occurrence: int
    step: int
    index: int
    run: int
    members: tuple[tuple[int, WorkerId, int], ...]


class EndRun(msgspec.Struct, frozen=True, array_like=True, tag="end"):
    """Note that one member's part in a run has ended.

    Attributes:
        job: Job.
        occurrence: Occurrence.
        step: Step.
        index: Index of the task, or `GANG`.
        run: Number of the run.
        member: Member.
        how: Value of `End`.
        checkpoint: Checkpoint that it left, or "".
        at: Unix seconds.
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


class ForgetJobs(msgspec.Struct, frozen=True, array_like=True, tag="fgt"):
    """Drop jobs that ended long ago."""

    jobs: tuple[JobId, ...]


class DrainWorker(msgspec.Struct, frozen=True, array_like=True, tag="drn"):
    """Start nothing more on a life of a worker."""

    worker: WorkerId
    born: int


class StartWave(msgspec.Struct, frozen=True, array_like=True, tag="wav"):
    """Begin the upkeep of several machines, unless the wave is known.

    Attributes:
        wave: Number of the wave.
        machines: Machines.
        at_once: Most machines down at a time.
        deadline_at: Unix seconds.
    """

    wave: int
    machines: tuple[MachineId, ...]
    at_once: int
    deadline_at: float


class OrderUpkeep(msgspec.Struct, frozen=True, array_like=True, tag="upk"):
    """Note that a machine's upkeep is about to be ordered.

    Attributes:
        wave: Number of the wave.
        machine: Machine.
        holder: Coordinator that orders it.
        at: Unix seconds.
    """

    wave: int
    machine: MachineId
    holder: str
    at: float


class FinishUpkeep(msgspec.Struct, frozen=True, array_like=True, tag="upd"):
    """Note that a machine has had its upkeep, or is gone for good."""

    wave: int
    machine: MachineId


class PlaceMachine(msgspec.Struct, frozen=True, array_like=True, tag="plm"):
    """Note the pool that a machine is about to be moved to.

    Attributes:
        machine: Machine.
        pool: Pool.
        holder: Coordinator that orders it.
        at: Unix seconds.
    """

    machine: MachineId
    pool: PoolId
    holder: str
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
        OrderUpkeep,
        FinishUpkeep,
        PlaceMachine,
    ),
)


def encode_commands(commands: list[msgspec.Struct]) -> bytes:
    """Encode commands for one entry of the log."""
    return cbor2.dumps(msgspec.to_builtins(commands, builtin_types=(bytes,)))


def decode_commands(data: bytes) -> list[msgspec.Struct]:
    """Decode the commands of one entry.

    Raises:
        ProtocolError: If `data` does not hold known commands.

    Example:
        >>> decode_commands(encode_commands([CancelJob("ab", 1.5)]))
        [CancelJob(job='ab', at=1.5)]
    """
    try:
        return msgspec.convert(
            cbor2.loads(data), list[_Command], builtin_types=(bytes,)
        )
    except (
        msgspec.ValidationError,
        cbor2.CBORDecodeError,
        TypeError,
        ValueError,
    ) as error:
        raise ProtocolError(f"not a batch of commands: {error}") from error
