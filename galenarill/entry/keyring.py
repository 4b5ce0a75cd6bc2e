"""API keys on one entry VM: authentication and withdrawn keys."""

import asyncio
import enum
import logging
from collections.abc import Callable

import xxhash

from galenarill.common import (
    AttemptId,
    KeyId,
    RequestId,
    TeamId,
    VmId,
    secret_matches,
    split_key,
)
from galenarill.membership import (
    Heartbeat,
    HeartbeatReply,
    KeyFreshness,
    WithdrawnKeys,
)
from galenarill.settings import ProcessSettings
from galenarill.state import FleetState

__all__ = ["KeyRing", "KeyVerdict"]

logger = logging.getLogger(__name__)

# Time for which keys stay fresh while newer log entries are being applied, in
# seconds. More than a heartbeat period, in which the state is looked at, and
# less than the time for which confirmations count.
CATCH_UP_GRACE_SECONDS = 1.5


class KeyVerdict(enum.Enum):
    """Result of the authentication of a key."""

    VALID = "valid"
    MISSING = "key-missing"
    INVALID = "key-invalid"
    WITHDRAWN = "key-withdrawn"
    STALE = "keys-not-fresh"


class KeyRing:
    """Authenticates keys, and propagates withdrawn keys between entry VMs.

    A withdrawn key is sent directly to all peers, without waiting for the
    replicated log. Heartbeats carry a digest of the withdrawn keys, by which
    peers detect a difference and exchange the full set.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        send: Callable,
        get_state: Callable[[], FleetState],
        is_caught_up: Callable[[], bool],
    ):
        """Make a key ring without withdrawn keys.

        Args:
            settings: Settings of this process.
            send: Sends a message to a peer.
            get_state: Returns the replicated state.
            is_caught_up: Returns whether the replicated state is up to date.
        """
        self._loop = asyncio.get_running_loop()
        self._vm = VmId(settings.vm)
        self._peers = sorted(set(settings.zones) - {self._vm})
        self._send = send
        self._get_state = get_state
        self._is_caught_up = is_caught_up
        self._freshness = KeyFreshness(self._vm, settings.zones)
        self._withdrawn: set[KeyId] = set()
        # Until when the replicated state counts as up to date.
        self._caught_up_until = float("-inf")
        self._digest = 0
        self._sequence = 0

    @property
    def digest(self) -> int:
        """Digest of the withdrawn keys known to this VM."""
        return self._digest

    @property
    def withdrawn(self) -> frozenset[KeyId]:
        """The withdrawn keys known to this VM."""
        return frozenset(self._withdrawn)

    def is_fresh(self) -> bool:
        """Return whether requests with keys may be accepted."""
        now = self._loop.time()
        self._note_caught_up(now)
        return now < self._caught_up_until and self._freshness.is_fresh(now)

    def is_withdrawn(self, key_id: KeyId) -> bool:
        """Return whether `key_id` is known to be withdrawn."""
        return key_id in self._withdrawn

    def authenticate(
        self, authorization: str | None
    ) -> tuple[KeyVerdict, TeamId | None]:
        """Authenticate a presented key.

        Args:
            authorization: Value of the `Authorization` header, or None.

        Returns:
            The verdict, and the team if the key is valid.
        """
        scheme, _, presented = (authorization or "").partition(" ")
        if not presented:
            return KeyVerdict.MISSING, None
        parts = split_key(presented.strip())
        if scheme.lower() != "bearer" or parts is None:
            return KeyVerdict.INVALID, None
        key_id, secret = parts
        record = self._get_state().keys.get(key_id)
        # An unknown key takes the same time to compare as a known one, so the
        # response time doesn't reveal which key ids exist.
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
        """Withdraw `keys` on this VM, and send them to every peer."""
        new = [key for key in keys if key not in self._withdrawn]
        if not new:
            return
        for key in new:
            self._withdrawn.add(key)
            self._digest ^= xxhash.xxh3_64_intdigest(key.encode())
            logger.info("key withdrawn", extra={"key": key})
        for peer in self._peers:
            self._send(peer, WithdrawnKeys(tuple(new)))

    def state_changed(self) -> None:
        """Withdraw the keys that the replicated state marks as withdrawn."""
        self._note_caught_up(self._loop.time())
        records = self._get_state().keys.values()
        self.withdraw([r.key_id for r in records if r.is_withdrawn])

    def next_heartbeat(
        self,
        peer: VmId,
        epoch: str,
        is_leaving: bool,
        broken: tuple[tuple[RequestId, AttemptId], ...] = (),
    ) -> Heartbeat:
        """Return the next heartbeat for `peer`."""
        self._note_caught_up(self._loop.time())
        self._sequence += 1
        self._freshness.record_heartbeat_sent(
            peer, self._sequence, self._loop.time()
        )
        return Heartbeat(
            self._sequence,
            epoch,
            self._digest,
            self._get_state().version,
            is_leaving,
            broken,
        )

    def receive(self, sender: VmId, message) -> None:
        """Handle a message about withdrawn keys."""
        match message:
            case Heartbeat():
                agrees = message.withdrawn == self._digest
                if not agrees:
                    self._send(sender, WithdrawnKeys(tuple(self._withdrawn)))
                self._send(sender, HeartbeatReply(message.sequence, agrees))
            case HeartbeatReply():
                # If the digests differ, the peer sent its withdrawn keys before
                # this reply, so this VM knows them now.
                self._freshness.record_confirmation(sender, message.sequence)
            case WithdrawnKeys():
                self.withdraw(list(message.keys))

    def reachable(self) -> list[VmId]:
        """Return the peers that have recently confirmed the withdrawn keys."""
        return self._freshness.reachable(self._loop.time())

    def _note_caught_up(self, now: float) -> None:
        if self._is_caught_up():
            self._caught_up_until = now + CATCH_UP_GRACE_SECONDS
