"""Heartbeats and withdrawn keys exchanged between entry VMs."""

import msgspec

from galenarill.common import AttemptId, KeyId, RequestId

__all__ = ["Heartbeat", "HeartbeatReply", "WithdrawnKeys"]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="hb"):
    """Heartbeat with the state of the sender.

    Attributes:
        sequence: Number of this message, echoed in the reply.
        epoch: Epoch in which the sender schedules its zone, or "".
        withdrawn: Digest of the withdrawn keys known to the sender.
        version: Version of the replicated state that the sender has applied.
        is_leaving: Whether the sender is shutting down.
        broken: Request and id of the sender's attempts whose connection to the
            backend server broke lately before the end of the response.
    """

    sequence: int
    epoch: str
    withdrawn: int
    version: int
    is_leaving: bool = False
    broken: tuple[tuple[RequestId, AttemptId], ...] = ()


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="hB"):
    """Answer to `Heartbeat`.

    Attributes:
        sequence: Number of the heartbeat.
        has_same_keys: Whether both sides know the same withdrawn keys. If not,
            a `WithdrawnKeys` with those of the sender precedes this reply.
    """

    sequence: int
    has_same_keys: bool


class WithdrawnKeys(msgspec.Struct, frozen=True, array_like=True, tag="hw"):
    """Withdrawn keys known to the sender.

    Attributes:
        keys: The keys.
    """

    keys: tuple[KeyId, ...]
