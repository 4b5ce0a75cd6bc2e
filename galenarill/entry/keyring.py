"""Keys on one entry VM: who may do what, and how fresh that is."""

import asyncio
import enum
import logging
from collections.abc import Callable

import xxhash

from galenarill.membership import (
    Heartbeat,
    HeartbeatReply,
    KeyFreshness,
    Withdrawals,
)
from galenarill.settings import ProcessSettings
from galenarill.state import FleetState
from galenarill.world import KeyId, TeamId, VmId, secret_matches, split_key

__all__ = ["KeyRing", "KeyVerdict"]

logger = logging.getLogger(__name__)


class KeyVerdict(enum.Enum):
    """Outcome of checking a presented key."""

    VALID = "valid"
    MISSING = "key-missing"
    INVALID = "key-invalid"
    WITHDRAWN = "key-withdrawn"
    STALE = "keys-not-fresh"


class KeyRing:
    """Checks keys, and spreads withdrawals without waiting for the log."""

    def __init__(
        self,
        settings: ProcessSettings,
        send: Callable,
        get_state: Callable[[], FleetState],
        is_current: Callable[[], bool],
    ):
        """Make a key ring that knows what the replicated state holds."""
        self._loop = asyncio.get_running_loop()
        self._vm = VmId(settings.vm)
        self._peers = sorted(set(settings.zones) - {self._vm})
        self._send = send
        self._get_state = get_state
        self._is_current = is_current
        self._freshness = KeyFreshness(self._vm, settings.zones)
        self._withdrawn: set[KeyId] = set()
        self._digest = 0
        self._sequence = 0

    @property
    def digest(self) -> int:
        """Digest of the withdrawn keys known here."""
        return self._digest

    @property
    def withdrawn(self) -> frozenset[KeyId]:
        """Withdrawn keys known here."""
        return frozenset(self._withdrawn)

    def is_fresh(self) -> bool:
        """Tell whether keyed work may be taken."""
        return self._is_current() and self._freshness.is_fresh(
            self._loop.time()
        )

    def is_withdrawn(self, key_id: KeyId) -> bool:
        """Tell whether `key_id` is known to be withdrawn."""
        return key_id in self._withdrawn

    def authenticate(
        self, authorization: str | None
    ) -> tuple[KeyVerdict, TeamId | None]:
        """Check a presented key.

        Args:
            authorization: Value of the `Authorization` header, or None.

        Returns:
            The verdict, and the team of a valid key.
        """
        scheme, _, presented = (authorization or "").partition(" ")
        if not presented:
            return KeyVerdict.MISSING, None
        parts = split_key(presented.strip())
        if scheme.lower() != "bearer" or parts is None:
            return KeyVerdict.INVALID, None
        key_id, secret = parts
        record = self._get_state().keys.get(key_id)
        # Unknown keys cost the same comparison as known ones.
        digest = record.digest if record else "0" * 64
        if not secret_matches(secret, digest):
            if not self.is_fresh():
                return KeyVerdict.STALE, None
            return KeyVerdict.INVALID, None
        if key_id in self._withdrawn:
            return KeyVerdict.WITHDRAWN, None
        if not self.is_fresh():
            return KeyVerdict.STALE, None
        return KeyVerdict.VALID, record.team

    def withdraw(self, keys: list[KeyId]) -> None:
        """Stop `keys` here, and tell every peer."""
        new = [key for key in keys if key not in self._withdrawn]
        if not new:
            return
        for key in new:
            self._withdrawn.add(key)
            self._digest ^= xxhash.xxh3_64_intdigest(key.encode())
            logger.info("key withdrawn", extra={"key": key})
        for peer in self._peers:
            self._send(peer, Withdrawals(tuple(new)))

    def state_changed(self) -> None:
        """Take in the withdrawals of the replicated state."""
        records = self._get_state().keys.values()
        self.withdraw([r.key_id for r in records if r.is_withdrawn])

    def next_heartbeat(
        self, peer: VmId, epoch: str, is_leaving: bool
    ) -> Heartbeat:
        """Return the next heartbeat for `peer`."""
        self._sequence += 1
        self._freshness.sent(peer, self._sequence, self._loop.time())
        return Heartbeat(
            self._sequence,
            epoch,
            self._digest,
            self._get_state().version,
            is_leaving,
        )

    def receive(self, sender: VmId, message) -> None:
        """Take in a message about keys."""
        match message:
            case Heartbeat():
                agrees = message.withdrawn == self._digest
                if not agrees:
                    self._send(sender, Withdrawals(tuple(self._withdrawn)))
                self._send(sender, HeartbeatReply(message.sequence, agrees))
            case HeartbeatReply():
                # Without agreement, the sender's keys came before this reply.
                self._freshness.confirmed(sender, message.sequence)
            case Withdrawals():
                self.withdraw(list(message.keys))

    def reachable(self) -> list[VmId]:
        """Return the peers that have confirmed the keys of late."""
        return self._freshness.reachable(self._loop.time())
