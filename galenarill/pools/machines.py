"""Machines as the platform shows them, and orders to it."""

import abc
import enum

import msgspec

from galenarill.errors import GalenarillError
from galenarill.routing import Resources
from galenarill.world import MachineId, PoolId, RackId, WorkerId

__all__ = [
    "MachineState",
    "Machine",
    "MachineVerdict",
    "MachineClient",
    "MachineListError",
]


class MachineListError(GalenarillError):
    """The platform did not tell which machines there are."""


class MachineState(enum.Enum):
    """What the platform says of a machine."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class Machine(msgspec.Struct, frozen=True):
    """A machine as the platform shows it.

    Attributes:
        id: Id, which stays for good.
        pool: Pool that it belongs to.
        state: What it is doing.
        rack: Rack, or "".
        kind: Kind of machine, or "".
        capacity: What its worker has room for.
        worker: Its present worker, or "" while there is none.
    """

    id: MachineId
    pool: PoolId
    state: MachineState
    rack: RackId
    kind: str
    capacity: Resources
    worker: WorkerId


class MachineVerdict(enum.Enum):
    """What became of an order on a machine."""

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    # The machine does not belong to that wave.
    NOT_OF_WAVE = "not of that wave"
    # There is no such machine, or the pool takes no machines of its kind.
    INVALID = "invalid"
    # Refused for now, since there were too many calls.
    THROTTLED = "throttled"
    # No answer: the order may be carried out, now or later.
    NO_ANSWER = "no answer"


class MachineClient(abc.ABC):
    """Reads the platform's machines and gives orders on them."""

    @abc.abstractmethod
    async def list(self) -> list[Machine]:
        """Return all machines.

        Raises:
            MachineListError: If the list could not be read in full.
        """

    @abc.abstractmethod
    async def move(
        self, machine: MachineId, pool: PoolId, holder: str, token: int
    ) -> MachineVerdict:
        """Move a machine to a pool; what runs on it ends at once."""

    @abc.abstractmethod
    async def maintain(
        self, machine: MachineId, wave: int, holder: str, token: int
    ) -> MachineVerdict:
        """Begin a machine's upkeep; what runs on it ends at once."""
