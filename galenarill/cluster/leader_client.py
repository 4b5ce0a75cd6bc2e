"""Client for calls to the leading coordinator."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable

from galenarill.cluster.messages import (
    CHANGES,
    REFUSALS,
    Call,
    Code,
    Presence,
    Reply,
)
from galenarill.common import VmId, monotonic_now
from galenarill.errors import GalenarillError

__all__ = ["LeaderClient", "NoLeaderError", "NoAnswerError"]

# Time after which the latest `Presence` of a leader expires: about three times
# its period.
PRESENCE_TIMEOUT_SECONDS = 1.0
# Time without a reply after which a call is sent again.
REPLY_TIMEOUT_SECONDS = 0.8
# Time that a call waits for a leader before it was first sent.
LEADER_WAIT_SECONDS = 0.1
# Time that a call waits for a new leader after it was first sent: two
# elections. The caller may then repeat the request and gets the result of the
# first one.
NEW_LEADER_WAIT_SECONDS = 1.4
POLL_INTERVAL_SECONDS = 0.02


class NoLeaderError(GalenarillError):
    """No leader could be reached, and the request was not sent."""


class NoAnswerError(GalenarillError):
    """The request was sent, and it is unknown whether it was carried out."""


@dataclasses.dataclass(slots=True)
class _Peer:
    presence: Presence
    received_at: float


class _Attempts:
    """The attempts of one request, and what their replies say about it.

    A refusal says that its own attempt was not carried out. It answers the
    request only if that is known of all other attempts, too.
    """

    def __init__(self, request, is_unsettled: bool):
        self._is_change = isinstance(request, CHANGES)
        # Whether an attempt that will get no reply may have been carried out.
        self._is_unsettled = is_unsettled
        self._open: set[int] = set()
        self._refusal: Reply | None = None
        self._reply: Reply | None = None
        self._has_news = asyncio.Event()

    @property
    def reply(self) -> Reply | None:
        """The reply to the request, or None if there is none yet."""
        if self._reply is None and not (self._open or self._is_unsettled):
            return self._refusal
        return self._reply

    @property
    def is_refused(self) -> bool:
        """Whether an attempt was refused, so that others would be, too."""
        return self._refusal is not None

    @property
    def open_calls(self) -> frozenset[int]:
        """Numbers of the calls whose reply may still come."""
        return frozenset(self._open)

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may have been carried out."""
        return self._is_unsettled or bool(self._open)

    def begin(self, call: int) -> None:
        """Record that an attempt was sent."""
        self._open.add(call)

    def withdraw(self, call: int) -> None:
        """Record that an attempt could not be sent."""
        self._open.discard(call)

    def end(self, call: int, reply: Reply | None) -> None:
        """Record the reply to an attempt, or that none will come."""
        self._open.discard(call)
        if reply is None or reply.code is Code.UNSETTLED:
            self._is_unsettled = True
        elif reply.code in REFUSALS and self._is_change:
            self._refusal = reply
        elif reply.code is not Code.NOT_LEADING:
            self._reply = reply
        self.wake()

    def wake(self) -> None:
        """End the current wait."""
        self._has_news.set()

    async def wait(self, seconds: float) -> bool:
        """Wait for news; return whether there were any in time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(seconds, 0.0)):
                await self._has_news.wait()
        has_news = self._has_news.is_set()
        self._has_news.clear()
        return has_news


class LeaderClient:
    """Sends requests to the current leader, following leader changes."""

    def __init__(self, send: Callable[[VmId, object], bool]):
        """Create a client.

        Args:
            send: Sends a message to a peer and returns whether a link is up.
        """
        self._send = send
        self._peers: dict[VmId, _Peer] = {}
        self._last_call = 0
        # Peer and attempts of each call without a reply.
        self._calls: dict[int, tuple[VmId, _Attempts]] = {}

    def record_presence(self, peer: VmId, presence: Presence) -> None:
        """Record the latest presence of a coordinator."""
        previous = self._peers.get(peer)
        self._peers[peer] = _Peer(presence, monotonic_now())
        has_led = previous is None or previous.presence.leads
        if has_led and not presence.leads:
            # It still replies to its calls, but another may lead by now.
            for asked, attempts in self._calls.values():
                if asked == peer:
                    attempts.wake()

    def record_link(self, peer: VmId, is_up: bool) -> None:
        """Record that the link to a peer went up or down."""
        if is_up:
            return
        self._peers.pop(peer, None)
        for call, (asked, attempts) in list(self._calls.items()):
            if asked == peer:
                del self._calls[call]
                attempts.end(call, None)

    def record_reply(self, reply: Reply) -> None:
        """Record the reply to an attempt, also to an earlier one."""
        if reply.call in self._calls:
            _, attempts = self._calls.pop(reply.call)
            attempts.end(reply.call, reply)

    @property
    def leader(self) -> VmId | None:
        """The leader of the latest term, or None if none is known."""
        limit = monotonic_now() - PRESENCE_TIMEOUT_SECONDS
        leading = [
            (peer.presence.term, vm)
            for vm, peer in self._peers.items()
            if peer.presence.leads and peer.received_at > limit
        ]
        return max(leading)[1] if leading else None

    async def call_leader(
        self, request, deadline: float, *, is_unsettled: bool = False
    ) -> Reply:
        """Send a request to the leader, and resend it until a reply arrives.

        A resent request may go to another leader, so requests must be
        idempotent. The reply to any attempt is returned, also if it arrives
        after a later attempt was sent.

        Args:
            request: Request.
            deadline: Time at which to give up, on the monotonic clock.
            is_unsettled: Whether the caller has made an attempt that may have
                been carried out.

        Returns:
            The reply.

        Raises:
            NoLeaderError: If the request was certainly not carried out.
            NoAnswerError: If the request may have been carried out. Raised
                before the deadline if no new leader replaces a lost one, or
                if a later attempt is refused.
        """
        attempts = _Attempts(request, is_unsettled)
        try:
            await self._attempt(request, attempts, deadline)
        finally:
            for call in attempts.open_calls:
                self._calls.pop(call, None)
        if attempts.reply is not None:
            return attempts.reply
        if attempts.may_have_run:
            raise NoAnswerError(
                "no reply to a request that may have been carried out"
            )
        raise NoLeaderError("no leader is known")

    async def _attempt(
        self, request, attempts: _Attempts, deadline: float
    ) -> None:
        """Make attempts until there is a reply or no use in another one."""
        is_sent = False
        give_up_at = min(deadline, monotonic_now() + LEADER_WAIT_SECONDS)
        while (
            monotonic_now() < (deadline if is_sent else give_up_at)
            and attempts.reply is None
            and not attempts.is_refused
        ):
            leader = self.leader
            if leader is None:
                if monotonic_now() >= give_up_at:
                    break
                await attempts.wait(POLL_INTERVAL_SECONDS)
                continue
            if not self._send_call(leader, request, attempts):
                await attempts.wait(POLL_INTERVAL_SECONDS)
                continue
            if not is_sent:
                is_sent = True
                give_up_at = monotonic_now() + NEW_LEADER_WAIT_SECONDS
            wait = min(deadline - monotonic_now(), REPLY_TIMEOUT_SECONDS)
            if await attempts.wait(wait) and attempts.reply is None:
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
        while attempts.is_refused and attempts.open_calls:
            if monotonic_now() >= deadline:
                break
            await attempts.wait(deadline - monotonic_now())
        if attempts.reply is None and attempts.open_calls:
            # After a freeze, a reply may have arrived that is not read yet.
            await attempts.wait(POLL_INTERVAL_SECONDS)

    def _send_call(self, leader: VmId, request, attempts: _Attempts) -> bool:
        """Send one attempt; return whether a link to the leader is up."""
        self._last_call += 1
        call = self._last_call
        self._calls[call] = leader, attempts
        attempts.begin(call)
        if self._send(leader, Call(call, request)):
            return True
        if self._calls.pop(call, None) is not None:
            attempts.withdraw(call)
        return False
