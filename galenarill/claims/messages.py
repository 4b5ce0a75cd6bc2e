"""Messages about claims on request ids."""

import enum

import msgspec

from galenarill.world import RequestId, VmId

__all__ = [
    "Claim",
    "ClaimVerdict",
    "ClaimReply",
    "AbandonClaim",
    "TableRequest",
    "TableReply",
    "ClaimRecord",
]


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """A claim as a replica keeps it.

    Attributes:
        request: Request id.
        owner: Entry VM that runs the request.
        token: Distinguishes the owner's attempts to claim.
        lifetime: Seconds for which the claim is still kept.
    """

    request: RequestId
    owner: VmId
    token: str
    lifetime: float


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="mc"):
    """Asks a replica for the claim on a request id.

    Attributes:
        record: The claim.
    """

    record: ClaimRecord


class ClaimVerdict(enum.Enum):
    """A replica's answer to a claim."""

    GRANTED = "g"
    TAKEN = "t"
    UNAVAILABLE = "u"


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag="mC"):
    """A replica's answer to `Claim`.

    Attributes:
        request: Request id.
        token: Token of the claim that is answered.
        verdict: The answer.
        owner: Owner of the earlier claim, if it is taken.
    """

    request: RequestId
    token: str
    verdict: ClaimVerdict
    owner: VmId | str = ""


class AbandonClaim(msgspec.Struct, frozen=True, array_like=True, tag="ma"):
    """Drops a claim whose owner has not started the request, nor will.

    Attributes:
        request: Request id.
        token: Token of the claim.
    """

    request: RequestId
    token: str


class TableRequest(msgspec.Struct, frozen=True, array_like=True, tag="mt"):
    """Asks a replica for its claims, after a restart."""


class TableReply(msgspec.Struct, frozen=True, array_like=True, tag="mT"):
    """A replica's claims.

    Attributes:
        records: Claims that the asker is a replica of as well.
        unsynced_replicas: Replicas whose claims the sender lacks itself.
    """

    records: tuple[ClaimRecord, ...]
    unsynced_replicas: tuple[VmId, ...]
