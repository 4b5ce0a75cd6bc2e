"""Records of the replicated state."""

import enum

import msgspec

from galenarill.state.commands import Outcome
from galenarill.world import (
    AvailabilityZoneId,
    ChangeId,
    KeyId,
    OperatorId,
    PoolId,
    RackId,
    TeamId,
)

__all__ = ["KeyRecord", "VmState", "VmRecord", "AuditEntry", "ChangeRecord"]


class KeyRecord(msgspec.Struct, frozen=True, array_like=True):
    """A team's key.

    Attributes:
        key_id: Key.
        team: Team, or "" for a key that was withdrawn before it was known.
        digest: Digest of its secret.
        is_withdrawn: Whether it no longer works.
    """

    key_id: KeyId
    team: TeamId
    digest: str
    is_withdrawn: bool = False


class VmState(enum.Enum):
    """Whether a VM serves its pool."""

    SERVING = "serving"
    DRAINING = "draining"
    MAINTAINED = "maintained"
    LOST = "lost"


class VmRecord(msgspec.Struct, frozen=True, array_like=True):
    """A VM and the one pool that it belongs to.

    Attributes:
        pool: Pool.
        availability_zone: Zone.
        rack: Rack.
        state: Whether it serves.
        grant: Id of the grant while it is out of service on purpose.
        target_pool: Pool that it joins when it comes back, or "".
    """

    pool: PoolId
    availability_zone: AvailabilityZoneId
    rack: RackId
    state: VmState = VmState.SERVING
    grant: str = ""
    target_pool: PoolId | str = ""

    @property
    def is_available(self) -> bool:
        """Whether the VM counts as available for its pool's budget."""
        return self.state is VmState.SERVING


class AuditEntry(msgspec.Struct, frozen=True, array_like=True):
    """One change that was accepted.

    Attributes:
        version: Version that it made.
        at: Unix time in seconds.
        operator: Who asked.
        text: What was changed.
    """

    version: int
    at: float
    operator: OperatorId
    text: str


class ChangeRecord(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a change, for resends.

    Attributes:
        change_id: The change.
        outcome: Its first outcome.
    """

    change_id: ChangeId
    outcome: Outcome
