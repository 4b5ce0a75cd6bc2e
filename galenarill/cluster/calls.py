"""Finds the leading coordinator and asks it."""

import asyncio
import dataclasses
from collections.abc import Callable

from galenarill.cluster.messages import Call, Code, Presence, Reply
from galenarill.errors import GalenarillError
from galenarill.world import VmId, steady_now

__all__ = ["LeaderClient", "NoLeaderError", "NoAnswerError"]

# A leader that was not heard from for this long is not asked, in seconds:
# three times the period of `Presence`.
PRESENCE_TIMEOUT_SECONDS = 1.0
# Silence after which a call is sent again, in seconds.
REPLY_TIMEOUT_SECONDS = 0.8
# How long a call waits for a leader before anything was sent, in seconds.
LEADER_WAIT_SECONDS = 0.1
# How long a call that was sent waits for the next leader, in seconds: two
# elections. The caller asks again, and finds what the call has done.
NEW_LEADER_WAIT_SECONDS = 1.4
POLL_INTERVAL_SECONDS = 0.02


class NoLeaderError(GalenarillError):
    """No leader is known, and nothing was sent to one."""


class NoAnswerError(GalenarillError):
    """A leader was asked, and whether it acted is unknown."""


@dataclasses.dataclass(slots=True)
class _Peer:
    presence: Presence
    received_at: float


class LeaderClient:
    """Calls to whichever coordinator leads."""

    def __init__(self, send: Callable[[VmId, object], bool]):
        """Send with `send`, which tells whether there is a link."""
        self._send = send
        self._peers: dict[VmId, _Peer] = {}
        self._last_call = 0
        self._calls: dict[int, tuple[VmId, asyncio.Future]] = {}

    def note_presence(self, peer: VmId, presence: Presence) -> None:
        """Take in what a coordinator tells of itself."""
        self._peers[peer] = _Peer(presence, steady_now())
        if not presence.leads:
            self._interrupt_calls(peer)

    def note_link(self, peer: VmId, is_up: bool) -> None:
        """Take in that a link went up or down."""
        if not is_up:
            self._peers.pop(peer, None)
            self._interrupt_calls(peer)

    def note_reply(self, reply: Reply) -> None:
        """Hand a reply to whoever waits for it."""
        _, future = self._calls.pop(reply.call, (None, None))
        if future is not None and not future.done():
            future.set_result(reply)

    @property
    def leader(self) -> VmId | None:
        """The coordinator that leads, if one is known and reachable."""
        limit = steady_now() - PRESENCE_TIMEOUT_SECONDS
        leading = [
            (peer.presence.term, vm)
            for vm, peer in self._peers.items()
            if peer.presence.leads and peer.received_at > limit
        ]
        return max(leading)[1] if leading else None

    async def ask(self, request, deadline: float) -> Reply:
        """Ask the leader, and the next one if it falls silent.

        Requests must be safe to repeat.

        Args:
            request: Request.
            deadline: When to give up, on the steady clock.

        Returns:
            The reply.

        Raises:
            NoLeaderError: If nothing was sent.
            NoAnswerError: If the request may have been carried out. Raised
                before the deadline if the leader is lost and none follows.
        """
        is_sent = False
        give_up_at = min(deadline, steady_now() + LEADER_WAIT_SECONDS)
        while steady_now() < (deadline if is_sent else give_up_at):
            leader = self.leader
            if leader is None:
                if steady_now() >= give_up_at:
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
                    give_up_at = steady_now() + NEW_LEADER_WAIT_SECONDS
                wait = min(deadline - steady_now(), REPLY_TIMEOUT_SECONDS)
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
            raise NoAnswerError("the leader that was asked has not answered")
        raise NoLeaderError("no leader is known")

    def _interrupt_calls(self, peer: VmId) -> None:
        for asked, future in list(self._calls.values()):
            if asked == peer and not future.done():
                future.set_result(None)
