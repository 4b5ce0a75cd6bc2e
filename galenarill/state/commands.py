"""Commands that change the replicated state."""

import decimal
import enum
from typing import Any

import cbor2
import msgspec

from galenarill.errors import ProtocolError
from galenarill.world import (
    AvailabilityZoneId,
    ChangeId,
    KeyId,
    OperatorId,
    PoolId,
    TeamId,
    VmId,
)

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
    "Command",
    "Change",
    "OutcomeCode",
    "Outcome",
    "encode_change",
    "decode_change",
]


# Types that CBOR carries without a conversion.
_CBOR_TYPES = (decimal.Decimal, bytes)


class Edit(msgspec.Struct, frozen=True, array_like=True):
    """New value of one setting.

    Attributes:
        path: Path of the setting.
        value: Its value.
        is_removed: Whether it is removed instead.
    """

    path: tuple[str, ...]
    value: Any = None
    is_removed: bool = False


class EditSettings(msgspec.Struct, frozen=True, array_like=True, tag="es"):
    """Changes settings, all or none.

    Attributes:
        edits: The changes.
    """

    edits: tuple[Edit, ...]


class GiveKey(msgspec.Struct, frozen=True, array_like=True, tag="kg"):
    """Gives a team a key.

    Attributes:
        key_id: Id that no key has had.
        team: Team.
        digest: Digest of the key's secret.
    """

    key_id: KeyId
    team: TeamId
    digest: str


class WithdrawKey(msgspec.Struct, frozen=True, array_like=True, tag="kw"):
    """Withdraws a key for good.

    Attributes:
        key_id: The key, whether it is known or not.
    """

    key_id: KeyId


class MoveVm(msgspec.Struct, frozen=True, array_like=True, tag="vm"):
    """Begins to move a VM to another pool.

    Attributes:
        vm: VM.
        from_pool: Pool that it is expected to belong to.
        to_pool: Pool that it is to belong to.
    """

    vm: VmId
    from_pool: PoolId
    to_pool: PoolId


class StartDrain(msgspec.Struct, frozen=True, array_like=True, tag="ds"):
    """Takes a VM out of service, if the availability budget allows.

    Attributes:
        vm: VM.
        reason: Why, for the audit.
    """

    vm: VmId
    reason: str


class AdvanceDrain(msgspec.Struct, frozen=True, array_like=True, tag="da"):
    """Notes that a draining VM runs nothing and is handed to the platform.

    Attributes:
        vm: VM.
        grant: Id of the drain's grant.
    """

    vm: VmId
    grant: str


class FinishDrain(msgspec.Struct, frozen=True, array_like=True, tag="df"):
    """Puts a VM back into service that the platform has proved back.

    Attributes:
        vm: VM.
        grant: Id of the drain's grant.
    """

    vm: VmId
    grant: str


class ReportLoss(msgspec.Struct, frozen=True, array_like=True, tag="vl"):
    """Notes that a serving VM has fallen silent.

    Attributes:
        vm: VM.
        incarnation: Last incarnation heard of.
    """

    vm: VmId
    incarnation: str


class ReportReturn(msgspec.Struct, frozen=True, array_like=True, tag="vr"):
    """Notes that a lost VM announces itself again.

    Attributes:
        vm: VM.
    """

    vm: VmId


class GiveAllotment(msgspec.Struct, frozen=True, array_like=True, tag="ag"):
    """Gives up part of a zone's allotment.

    Attributes:
        availability_zone: Zone.
        team: Team.
        count: Slots.
    """

    availability_zone: AvailabilityZoneId
    team: TeamId
    count: int


class TakeAllotment(msgspec.Struct, frozen=True, array_like=True, tag="at"):
    """Adds free slots of a team's limit to a zone's allotment.

    Attributes:
        availability_zone: Zone.
        team: Team.
        count: Slots.
    """

    availability_zone: AvailabilityZoneId
    team: TeamId
    count: int


class AcknowledgeAllotment(
    msgspec.Struct, frozen=True, array_like=True, tag="aa"
):
    """Notes that a zone's scheduler keeps to a lower allotment.

    Attributes:
        availability_zone: Zone.
        team: Team.
        target: Allotment that the zone keeps to.
    """

    availability_zone: AvailabilityZoneId
    team: TeamId
    target: int


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
)


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A command with what makes it safe to send twice.

    Attributes:
        change_id: Id that a resend repeats.
        operator: Who asks, or the name of an entry VM.
        at: Unix time at which the leader accepted it, in seconds.
        based_on: Version that the asker had seen, or -1 for any.
        command: What to change.
    """

    change_id: ChangeId
    operator: OperatorId
    at: float
    based_on: int
    command: Command


class OutcomeCode(enum.Enum):
    """How a change ended."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_FOUND = "not-found"
    BUDGET_SPENT = "budget-spent"
    STALE = "stale"


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Result of a change.

    Attributes:
        code: How it ended.
        version: Version of the state after the change.
        detail: What happened, for people.
        faults: Path and text of each fault of refused settings.
    """

    code: OutcomeCode
    version: int
    detail: str = ""
    faults: tuple[tuple[str, str], ...] = ()

    @property
    def is_accepted(self) -> bool:
        """Whether the change is in force."""
        return self.code is OutcomeCode.ACCEPTED


def encode_change(change: Change) -> bytes:
    """Encode `change` for the log."""
    return cbor2.dumps(
        msgspec.to_builtins(change, builtin_types=_CBOR_TYPES),
    )


def decode_change(data: bytes) -> Change:
    """Decode an entry of the log.

    Raises:
        ProtocolError: If `data` is not an encoded change.
    """
    try:
        return msgspec.convert(
            cbor2.loads(data), Change, builtin_types=_CBOR_TYPES
        )
    except (msgspec.ValidationError, cbor2.CBORDecodeError) as error:
        raise ProtocolError(f"not a change: {error}") from error
