"""Messages about claims on request ids."""

import enum

import msgspec

from galenarill.common import RequestId, VmId

__all__ = [
    "Claim",
    "ClaimVerdict",
    "ClaimReply",
    "AbandonClaim",
    "ClaimTableRequest",
    "ClaimTableReply",
    "ClaimRecord",
]


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """A claim as stored by a replica.

    Attributes:
        request: Request id.
        owner: Entry VM that runs the request.
        token: Unique token of the attempt to claim.
        ttl_seconds: Remaining time to live in seconds.
    """

    request: RequestId
    owner: VmId
    token: str
    ttl_seconds: float


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="mc"):
    """Asks a replica to grant a claim on a request id.

    Attributes:
        record: Claim to grant.
    """

    record: ClaimRecord


class ClaimVerdict(enum.Enum):
    """A replica's vote on a claim.

    `UNAVAILABLE` means that the replica can't decide: it may have lost an
    earlier claim in a restart, or its table is full.
    """

    GRANTED = "g"
    TAKEN = "t"
    UNAVAILABLE = "u"


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag="mC"):
    """A replica's reply to `Claim`.

    Attributes:
        request: Request id.
        token: Token of the claim.
        verdict: Vote of the replica.
        owner: Owner of the conflicting claim if the verdict is `TAKEN`, or "".
    """

    request: RequestId
    token: str
    verdict: ClaimVerdict
    owner: VmId | str = ""


class AbandonClaim(msgspec.Struct, frozen=True, array_like=True, tag="ma"):
    """Releases a claim whose owner never started the request and won't do so.

    Attributes:
        request: Request id.
        token: Token of the claim.
    """

    request: RequestId
    token: str


class ClaimTableRequest(msgspec.Struct, frozen=True, array_like=True, tag="mt"):
    """Asks another replica for its claims, to recover after a restart."""


class ClaimTableReply(msgspec.Struct, frozen=True, array_like=True, tag="mT"):
    """A replica's reply to `ClaimTableRequest`.

    Attributes:
        records: Claims that the requester replicates as well.
        unsynced_replicas: Replicas from which the sender itself still has to
            recover claims.
    """

    records: tuple[ClaimRecord, ...]
    unsynced_replicas: tuple[VmId, ...]
