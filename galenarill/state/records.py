"""Records of the replicated state."""

import enum

import msgspec

from galenarill.common import (
    AvailabilityZoneId,
    ChangeId,
    KeyId,
    OperatorId,
    PoolId,
    RackId,
    TeamId,
)
from galenarill.state.commands import Outcome

__all__ = [
    "KeyRecord",
    "VmState",
    "VmRecord",
    "ZoneEvacuation",
    "AuditEntry",
    "ChangeRecord",
]


class KeyRecord(msgspec.Struct, frozen=True, array_like=True):
    """A key of a team.

    Attributes:
        key_id: Id of the key.
        team: Team, or "" if the key was withdrawn before it was issued.
        digest: Digest of the key's secret.
        is_withdrawn: Whether the key was withdrawn.
    """

    key_id: KeyId
    team: TeamId
    digest: str
    is_withdrawn: bool = False


class VmState(enum.Enum):
    """Service state of a VM."""

    SERVING = "serving"
    DRAINING = "draining"
    MAINTAINED = "maintained"
    LOST = "lost"


class VmRecord(msgspec.Struct, frozen=True, array_like=True):
    """A VM with its placement and service state.

    Attributes:
        pool: Pool to which the VM belongs.
        availability_zone: Zone of the VM.
        rack: Rack of the VM.
        state: Service state.
        grant: Id of the change that started the drain, while the VM drains or
            is maintained, or "".
        target_pool: Pool that the VM joins on its return to service, or "".
    """

    pool: PoolId
    availability_zone: AvailabilityZoneId
    rack: RackId
    state: VmState = VmState.SERVING
    grant: str = ""
    target_pool: PoolId | str = ""

    @property
    def is_available(self) -> bool:
        """Whether the VM counts as available in its pool's budget."""
        return self.state is VmState.SERVING


class ZoneEvacuation(msgspec.Struct, frozen=True, array_like=True):
    """An order to evacuate a zone that is in force.

    Attributes:
        version: State version in which the order was accepted.
        at: Unix time in seconds of the order.
        operator: Operator who gave the order.
        reason: Reason for the order.
    """

    version: int
    at: float
    operator: OperatorId
    reason: str


class AuditEntry(msgspec.Struct, frozen=True, array_like=True):
    """Audit log entry of an accepted change.

    Attributes:
        version: State version after the change.
        at: Unix time in seconds at which the leader accepted the change.
        operator: Operator who submitted the change, or the name of an entry VM.
        text: Description of the change.
    """

    version: int
    at: float
    operator: OperatorId
    text: str


class ChangeRecord(msgspec.Struct, frozen=True, array_like=True):
    """Recorded outcome of a change, with which retries are answered.

    Attributes:
        change_id: Id of the change.
        outcome: Outcome of its first application.
    """

    change_id: ChangeId
    outcome: Outcome
