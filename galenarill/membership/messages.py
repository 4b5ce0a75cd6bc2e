"""Messages by which entry VMs watch each other."""

import msgspec

from galenarill.world import KeyId

__all__ = ["Heartbeat", "HeartbeatReply", "Withdrawals"]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="hb"):
    """Tells a peer that the sender lives and what it knows of keys.

    Attributes:
        sequence: Number of this message, echoed in the reply.
        epoch: Epoch under which the sender schedules its zone, or "".
        withdrawn: Digest of the withdrawn keys that the sender knows.
        version: Version of the replicated state that the sender has applied.
        is_leaving: Whether the sender is shutting down.
    """

    sequence: int
    epoch: str
    withdrawn: int
    version: int
    is_leaving: bool = False


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="hB"):
    """Answer to `Heartbeat`.

    Attributes:
        sequence: Number of the heartbeat.
        has_same_keys: Whether the sender knows the same withdrawn keys. Otherwise a
            `Withdrawals` with those that it knows precedes this reply.
    """

    sequence: int
    has_same_keys: bool


class Withdrawals(msgspec.Struct, frozen=True, array_like=True, tag="hw"):
    """Withdrawn keys that the sender knows.

    Attributes:
        keys: The keys.
    """

    keys: tuple[KeyId, ...]
