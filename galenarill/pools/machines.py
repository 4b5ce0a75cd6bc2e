"""The platform's view of machines, and the client for orders on them."""

import abc
import enum

import msgspec

from galenarill.common import (
    AvailabilityZoneId,
    MachineId,
    PoolId,
    RackId,
    WorkerId,
)
from galenarill.errors import GalenarillError
from galenarill.routing import Resources

__all__ = [
    "MachineState",
    "Machine",
    "MachineList",
    "MachineVerdict",
    "MachineClient",
    "MachineListError",
]


class MachineListError(GalenarillError):
    """The platform's list of machines could not be read in full."""


class MachineState(enum.Enum):
    """State of a machine as the platform reports it."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"


class Machine(msgspec.Struct, frozen=True):
    """A machine as the platform reports it.

    Attributes:
        id: Permanent id.
        pool: Pool that it belongs to.
        state: Current state.
        rack: Rack, or "".
        kind: Kind of machine, or "".
        capacity: Capacity of its worker.
        worker: Current worker, or "" while there is none.
        zone: Availability zone, or "" if not listed.
    """

    id: MachineId
    pool: PoolId
    state: MachineState
    rack: RackId
    kind: str
    capacity: Resources
    worker: WorkerId
    zone: AvailabilityZoneId = AvailabilityZoneId("")


class MachineList(msgspec.Struct, frozen=True):
    """The platform's list of machines.

    Attributes:
        machines: Machines whose entries could be read.
        unreadable: Machines whose entries could not be read.
        is_complete: Whether every entry names its machine, so that a machine
            that isn't listed is gone.
    """

    machines: list[Machine]
    unreadable: frozenset[MachineId] = frozenset()
    is_complete: bool = True


class MachineVerdict(enum.Enum):
    """Result of an order on a machine."""

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    # The machine is not part of the maintenance wave.
    NOT_OF_WAVE = "not of that wave"
    # Unknown machine, or the pool does not accept this kind of machine.
    INVALID = "invalid"
    # Rejected by the platform's rate limiter; may be retried.
    RATE_LIMITED = "throttled"
    # No answer: the order may already have taken effect, or may do so later.
    NO_ANSWER = "no answer"
    # Not sent, because it would have ended runs that may not end now.
    DEFERRED = "deferred"


class MachineClient(abc.ABC):
    """Client of the platform's API for machines.

    Each order carries the holder of the lease on the machine and a fencing
    token.
    """

    @abc.abstractmethod
    async def list(self) -> MachineList:
        """Return all machines.

        Raises:
            MachineListError: If the list could not be read.
        """

    @abc.abstractmethod
    async def move(
        self, machine: MachineId, pool: PoolId, holder: str, token: int
    ) -> MachineVerdict:
        """Move a machine to a pool; its runs end immediately."""

    @abc.abstractmethod
    async def maintain(
        self, machine: MachineId, wave: int, holder: str, token: int
    ) -> MachineVerdict:
        """Start the maintenance of a machine; its runs end immediately."""
