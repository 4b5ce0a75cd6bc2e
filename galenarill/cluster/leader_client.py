"""Client for calls to the leading coordinator."""

import asyncio
import dataclasses
from collections.abc import Callable

from galenarill.cluster.messages import Call, Code, Presence, Reply
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
        self._calls: dict[int, tuple[VmId, asyncio.Future]] = {}

    def record_presence(self, peer: VmId, presence: Presence) -> None:
        """Record the latest presence of a coordinator."""
        self._peers[peer] = _Peer(presence, monotonic_now())
        if not presence.leads:
            self._interrupt_calls(peer)

    def record_link(self, peer: VmId, is_up: bool) -> None:
        """Record that the link to a peer went up or down."""
        if not is_up:
            self._peers.pop(peer, None)
            self._interrupt_calls(peer)

    def record_reply(self, reply: Reply) -> None:
        """Complete the call that `reply` answers."""
        _, future = self._calls.pop(reply.call, (None, None))
        if future is not None and not future.done():
            future.set_result(reply)

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

    async def call_leader(self, request, deadline: float) -> Reply:
        """Send a request to the leader, and resend it until a reply arrives.

        A resent request may go to another leader, so requests must be
        idempotent.

        Args:
            request: Request.
            deadline: Time at which to give up, on the monotonic clock.

        Returns:
            The reply.

        Raises:
            NoLeaderError: If the request was not sent.
            NoAnswerError: If the request may have been carried out. Raised
                before the deadline if no new leader replaces a lost one.
        """
        is_sent = False
        give_up_at = min(deadline, monotonic_now() + LEADER_WAIT_SECONDS)
        while monotonic_now() < (deadline if is_sent else give_up_at):
            leader = self.leader
            if leader is None:
                if monotonic_now() >= give_up_at:
                    break
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
                continue
            self._last_call += 1
            call = self._last_call
            future = asyncio.get_running_loop().create_future()
            self._calls[call] = (leader, future)
            try:
                if not self._send(leader, Call(call, request)):
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
                    continue
                if not is_sent:
                    is_sent = True
                    give_up_at = monotonic_now() + NEW_LEADER_WAIT_SECONDS
                wait = min(deadline - monotonic_now(), REPLY_TIMEOUT_SECONDS)
                async with asyncio.timeout(max(wait, 0)):
                    reply = await future
            except TimeoutError:
                continue
            finally:
                self._calls.pop(call, None)
            if reply is not None and reply.code is not Code.NOT_LEADING:
                return reply
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        if is_sent:
            raise NoAnswerError(
                "no reply to a request that was sent to the leader"
            )
        raise NoLeaderError("no leader is known")

    def _interrupt_calls(self, peer: VmId) -> None:
        for asked, future in list(self._calls.values()):
            if asked == peer and not future.done():
                future.set_result(None)
