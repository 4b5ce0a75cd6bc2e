"""Commands that change the replicated state."""

import decimal
import enum
from typing import Any

import cbor2
import msgspec

from galenarill.common import (
    AvailabilityZoneId,
    ChangeId,
    KeyId,
    OperatorId,
    PoolId,
    TeamId,
    VmId,
)
from galenarill.errors import ProtocolError

__all__ = [
    "Edit",
    "EditSettings",
    "GiveKey",
    "WithdrawKey",
    "MoveVm",
    "StartDrain",
    "AdvanceDrain",
    "FinishDrain",
    "ReportLoss",
    "ReportReturn",
    "GiveAllotment",
    "TakeAllotment",
    "AcknowledgeAllotment",
    "EvacuateZone",
    "RestoreZone",
    "Command",
    "Change",
    "OutcomeCode",
    "Outcome",
    "encode_change",
    "decode_change",
]


# Types that cbor2 encodes natively.
_CBOR_TYPES = (decimal.Decimal, bytes)


class Edit(msgspec.Struct, frozen=True, array_like=True):
    """Change of one setting or table.

    Attributes:
        path: Path of the setting or table.
        value: New value.
        is_removed: Whether to remove the setting instead.
    """

    path: tuple[str, ...]
    value: Any = None
    is_removed: bool = False


class EditSettings(msgspec.Struct, frozen=True, array_like=True, tag="es"):
    """Changes settings atomically.

    Attributes:
        edits: Changes to apply.
    """

    edits: tuple[Edit, ...]


class GiveKey(msgspec.Struct, frozen=True, array_like=True, tag="kg"):
    """Issues a key to a team.

    Attributes:
        key_id: Id that was never used for a key before.
        team: Team that gets the key.
        digest: Digest of the key's secret.
    """

    key_id: KeyId
    team: TeamId
    digest: str


class WithdrawKey(msgspec.Struct, frozen=True, array_like=True, tag="kw"):
    """Withdraws a key permanently.

    Attributes:
        key_id: Key to withdraw. It may be unknown; it can't be issued then.
    """

    key_id: KeyId


class MoveVm(msgspec.Struct, frozen=True, array_like=True, tag="vm"):
    """Starts to move a VM to another pool by draining it.

    Attributes:
        vm: VM to move.
        from_pool: Pool to which the VM must belong, as a precondition.
        to_pool: Pool that the VM joins after the drain.
    """

    vm: VmId
    from_pool: PoolId
    to_pool: PoolId


class StartDrain(msgspec.Struct, frozen=True, array_like=True, tag="ds"):
    """Starts to drain a VM, if the availability budget allows it.

    Attributes:
        vm: VM to drain.
        reason: Reason to record in the audit log.
    """

    vm: VmId
    reason: str


class AdvanceDrain(msgspec.Struct, frozen=True, array_like=True, tag="da"):
    """Records that a VM is drained and is handed over for maintenance.

    Attributes:
        vm: VM that is drained.
        grant: Id of the change that started the drain.
    """

    vm: VmId
    grant: str


class FinishDrain(msgspec.Struct, frozen=True, array_like=True, tag="df"):
    """Returns a VM to service after the platform has confirmed its restart.

    Attributes:
        vm: VM to return to service.
        grant: Id of the change that started the drain.
    """

    vm: VmId
    grant: str


class ReportLoss(msgspec.Struct, frozen=True, array_like=True, tag="vl"):
    """Records that a serving VM no longer reports.

    Attributes:
        vm: VM that is lost.
        incarnation: Latest incarnation known.
    """

    vm: VmId
    incarnation: str


class ReportReturn(msgspec.Struct, frozen=True, array_like=True, tag="vr"):
    """Records that a lost VM reports again.

    Attributes:
        vm: VM that is back.
    """

    vm: VmId


class GiveAllotment(msgspec.Struct, frozen=True, array_like=True, tag="ag"):
    """Lowers a zone's allotment of a team's upper limit.

    Attributes:
        availability_zone: Zone that gives up slots.
        team: Team whose limit it is.
        count: Number of slots to give up.
    """

    availability_zone: AvailabilityZoneId
    team: TeamId
    count: int


class TakeAllotment(msgspec.Struct, frozen=True, array_like=True, tag="at"):
    """Raises a zone's allotment by unallocated slots of a team's limit.

    Attributes:
        availability_zone: Zone that takes slots.
        team: Team whose limit it is.
        count: Number of slots to take.
    """

    availability_zone: AvailabilityZoneId
    team: TeamId
    count: int


class AcknowledgeAllotment(
    msgspec.Struct, frozen=True, array_like=True, tag="aa"
):
    """Acknowledges that a zone's scheduler enforces a lower allotment.

    Attributes:
        availability_zone: Zone of the scheduler.
        team: Team whose limit it is.
        target: Allotment that the scheduler enforces.
    """

    availability_zone: AvailabilityZoneId
    team: TeamId
    target: int


class EvacuateZone(msgspec.Struct, frozen=True, array_like=True, tag="ze"):
    """Orders that no request starts on the backend servers of a zone.

    Attributes:
        availability_zone: Zone to evacuate.
        reason: Reason to record in the audit log.
    """

    availability_zone: AvailabilityZoneId
    reason: str


class RestoreZone(msgspec.Struct, frozen=True, array_like=True, tag="zr"):
    """Revokes the evacuation of a zone.

    Attributes:
        availability_zone: Zone to restore.
    """

    availability_zone: AvailabilityZoneId


Command = (
    EditSettings
    | GiveKey
    | WithdrawKey
    | MoveVm
    | StartDrain
    | AdvanceDrain
    | FinishDrain
    | ReportLoss
    | ReportReturn
    | GiveAllotment
    | TakeAllotment
    | AcknowledgeAllotment
    | EvacuateZone
    | RestoreZone
)


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A command with the metadata for idempotent and conditional execution.

    Attributes:
        change_id: Idempotency key; a retry repeats it.
        operator: Operator who submitted the change, or the name of an entry VM.
        at: Unix time in seconds at which the leader accepted the change.
        based_on: State version on which the change is based, for optimistic
            concurrency control, or -1 to skip the check.
        command: Command to execute.
    """

    change_id: ChangeId
    operator: OperatorId
    at: float
    based_on: int
    command: Command


class OutcomeCode(enum.Enum):
    """Result code of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_FOUND = "not-found"
    BUDGET_SPENT = "budget-spent"
    STALE = "stale"


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Result of a change.

    Attributes:
        code: Result code.
        version: Version of the state after the change.
        detail: Human-readable description.
        faults: Path and message of each fault of invalid settings.
    """

    code: OutcomeCode
    version: int
    detail: str = ""
    faults: tuple[tuple[str, str], ...] = ()

    @property
    def is_accepted(self) -> bool:
        """Whether the change was accepted and applied."""
        return self.code is OutcomeCode.ACCEPTED


def encode_change(change: Change) -> bytes:
    """Encode `change` for the replicated log."""
    return cbor2.dumps(
        msgspec.to_builtins(change, builtin_types=_CBOR_TYPES),
    )


def decode_change(data: bytes) -> Change:
    """Decode an entry of the replicated log.

    Raises:
        ProtocolError: If `data` is not an encoded change.
    """
    try:
        return msgspec.convert(
            cbor2.loads(data), Change, builtin_types=_CBOR_TYPES
        )
    except (msgspec.ValidationError, cbor2.CBORDecodeError) as error:
        raise ProtocolError(f"cannot decode change: {error}") from error
