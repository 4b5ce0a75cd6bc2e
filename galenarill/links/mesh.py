"""Full mesh of links between entry VMs."""

import asyncio
import collections
import contextlib
import logging
import random
from collections.abc import Callable, Mapping

import msgspec
import websockets
from websockets.asyncio import client, server

from galenarill.common import VmId
from galenarill.errors import AuthenticationError, ProtocolError
from galenarill.links import handshake
from galenarill.links.codec import (
    MAX_FRAME_BYTES,
    decode_batch,
    encode_batch,
)
from galenarill.links.tls import Certificates

__all__ = ["Mesh", "LinkCounters"]

HANDSHAKE_SECONDS = 3.0
# Time without received data after which a link is considered half-open and is
# reset.
IDLE_TIMEOUT_SECONDS = 3.0
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
# Time without a link after which the VM with the larger id dials as well, since
# the peer may not know its address yet.
FALLBACK_DIAL_DELAY_SECONDS = 1.0
# Maximum number of queued messages per link. If it is exceeded, the link is
# reset, and the protocols on top recover as from any other message loss.
MAX_QUEUED_MESSAGES = 20_000

logger = logging.getLogger(__name__)


class LinkCounters(msgspec.Struct):
    """Traffic counters over all links.

    Attributes:
        sent_bytes: Payload bytes sent.
        received_bytes: Payload bytes received.
        sent_messages: Messages sent.
        received_messages: Messages received.
    """

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_messages: int = 0
    received_messages: int = 0


class _Link:
    """An open link and its queue of outgoing messages."""

    def __init__(self, socket, idle_deadline: float):
        self.socket = socket
        self.queue: collections.deque = collections.deque()
        self.has_messages = asyncio.Event()
        self.idle_deadline = idle_deadline


class Mesh:
    """Authenticated links to the peers.

    Of two entry VMs, the one with the smaller id dials. Messages to a peer
    arrive in order; those in transit are lost when the link breaks. All
    messages in the queue of a link are sent in one frame.
    """

    def __init__(
        self,
        vm: VmId,
        address: str,
        peers: Mapping[VmId, str],
        secret: bytes,
        on_message: Callable[[VmId, msgspec.Struct], None],
        on_link_change: Callable[[VmId, bool], None],
        certificates: Certificates | None = None,
        *,
        accepts_unknown_peers: bool = False,
        idle_timeout_seconds: float = IDLE_TIMEOUT_SECONDS,
    ):
        """Create a mesh; call `start` to open the links.

        Args:
            vm: This VM.
            address: `host:port` to listen on, or "" to only dial.
            peers: `host:port` of every other entry VM.
            secret: Shared secret of the entry VMs.
            on_message: Called with the sender and each message.
            on_link_change: Called with a peer and whether its link is up.
            certificates: Certificates for TLS, or None for plain websockets.
            accepts_unknown_peers: Whether peers may join later, and VMs
                that are not among the peers may dial.
            idle_timeout_seconds: Time without received data after which a
                link is considered half-open.
        """
        self._accepts_unknown_peers = accepts_unknown_peers
        self._idle_timeout_seconds = idle_timeout_seconds
        self._certificates = certificates
        self._vm = vm
        self._address = address
        self._peers = dict(peers)
        self._secret = secret
        self._on_message = on_message
        self._on_link_change = on_link_change
        self._links: dict[VmId, _Link] = {}
        self._tasks: list[asyncio.Task] = []
        self._server = None
        self._counters = LinkCounters()
        # Last message that was sent alone, and its frame. A broadcast sends
        # the same message to every peer.
        self._last_frame: tuple[msgspec.Struct | None, bytes] = (None, b"")

    @property
    def counters(self) -> LinkCounters:
        """Traffic counters over all links."""
        return self._counters

    @property
    def connected_peers(self) -> list[VmId]:
        """Peers whose link is up."""
        return sorted(self._links)

    async def start(self) -> None:
        """Start listening and dialing."""
        if self._address:
            host, _, port = self._address.rpartition(":")
            self._server = await server.serve(
                self._accept,
                host,
                int(port),
                compression=None,
                max_size=MAX_FRAME_BYTES,
                ping_interval=None,
                open_timeout=HANDSHAKE_SECONDS,
                ssl=self._certificates
                and self._certificates.peer_listener_context,
            )
        for peer in self._peers:
            self._start_dialling(peer)
        self._tasks.append(asyncio.create_task(self._reset_idle_links()))

    def add_peer(self, peer: VmId, address: str) -> None:
        """Add a peer that was not known at the start, and keep a link to it."""
        if peer == self._vm or peer in self._peers:
            return
        self._peers[peer] = address
        self._start_dialling(peer)

    async def stop(self) -> None:
        """Send the queued messages, then close all links and stop listening."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in list(self._links.values()):
            if link.queue:
                with contextlib.suppress(websockets.ConnectionClosed):
                    await self._send_queued(link)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def send(self, peer: VmId, message: msgspec.Struct) -> bool:
        """Queue a message.

        Returns:
            Whether a link is up. Otherwise the message is dropped.
        """
        link = self._links.get(peer)
        if link is None:
            return False
        link.queue.append(message)
        link.has_messages.set()
        if len(link.queue) > MAX_QUEUED_MESSAGES:
            logger.warning("link reset", extra={"peer": peer, "why": "queue"})
            self._reset_link(peer, link)
        return True

    def _start_dialling(self, peer: VmId) -> None:
        if self._vm < peer or self._accepts_unknown_peers:
            task = asyncio.create_task(self._dial_forever(peer))
            self._tasks.append(task)

    async def _accept(self, socket) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                peer = await handshake.authenticate_as_acceptor(
                    socket,
                    self._secret,
                    self._vm,
                    None
                    if self._accepts_unknown_peers
                    else frozenset(self._peers),
                )
        except (
            AuthenticationError,
            TimeoutError,
            websockets.ConnectionClosed,
        ) as error:
            logger.warning("link refused", extra={"why": str(error)})
            return
        await self._run_link(peer, socket)

    async def _dial_forever(self, peer: VmId) -> None:
        backoff = MIN_BACKOFF_SECONDS
        while True:
            if self._address and self._vm > peer:
                await asyncio.sleep(FALLBACK_DIAL_DELAY_SECONDS)
                if peer in self._links:
                    continue
            try:
                if await self._dial(peer):
                    backoff = MIN_BACKOFF_SECONDS
            except (
                OSError,
                TimeoutError,
                AuthenticationError,
                websockets.WebSocketException,
            ) as error:
                logger.debug("link down", extra={"peer": peer, "why": error})
            await asyncio.sleep(random.uniform(0.5, 1.0) * backoff)
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    async def _dial(self, peer: VmId) -> bool:
        certificates = self._certificates
        scheme = "wss" if certificates else "ws"
        async with client.connect(
            f"{scheme}://{self._peers[peer]}",
            ssl=certificates and certificates.peer_client_context,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=None,
            open_timeout=HANDSHAKE_SECONDS,
            close_timeout=1.0,
            proxy=None,
        ) as socket:
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                await handshake.authenticate_as_dialer(
                    socket, self._secret, self._vm, peer
                )
            await self._run_link(peer, socket)
        return True

    async def _run_link(self, peer: VmId, socket) -> None:
        """Send and receive on an authenticated link until it breaks."""
        now = asyncio.get_running_loop().time()
        link = _Link(socket, now + self._idle_timeout_seconds)
        previous_link = self._links.get(peer)
        if previous_link is not None:
            self._reset_link(peer, previous_link)
        self._links[peer] = link
        self._on_link_change(peer, True)
        sender = asyncio.create_task(self._send_forever(link))
        try:
            await self._receive_forever(peer, link)
        except ProtocolError as error:
            logger.error("link reset", extra={"peer": peer, "why": str(error)})
        except websockets.ConnectionClosed as error:
            logger.debug("link closed", extra={"peer": peer, "why": str(error)})
        except Exception as error:
            # A message that a handler fails on ends its link only.
            logger.exception(
                "link reset", extra={"peer": peer, "why": repr(error)}
            )
        finally:
            sender.cancel()
            self._reset_link(peer, link)

    async def _receive_forever(self, peer: VmId, link: _Link) -> None:
        loop = asyncio.get_running_loop()
        async for data in link.socket:
            link.idle_deadline = loop.time() + self._idle_timeout_seconds
            batch = decode_batch(data)
            self._counters.received_bytes += len(data)
            self._counters.received_messages += len(batch)
            for message in batch:
                self._on_message(peer, message)

    async def _send_forever(self, link: _Link) -> None:
        with contextlib.suppress(websockets.ConnectionClosed):
            while True:
                await link.has_messages.wait()
                await self._send_queued(link)

    async def _send_queued(self, link: _Link) -> None:
        batch = list(link.queue)
        link.queue.clear()
        link.has_messages.clear()
        data = self._encode(batch)
        self._counters.sent_bytes += len(data)
        self._counters.sent_messages += len(batch)
        await link.socket.send(data)

    def _encode(self, batch: list[msgspec.Struct]) -> bytes:
        if len(batch) > 1:
            return encode_batch(batch)
        message, data = self._last_frame
        if batch[0] is not message:
            data = encode_batch(batch)
            self._last_frame = (batch[0], data)
        return data

    def _reset_link(self, peer: VmId, link: _Link) -> None:
        if self._links.get(peer) is link:
            del self._links[peer]
            self._on_link_change(peer, False)
        link.socket.transport.abort()

    async def _reset_idle_links(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._idle_timeout_seconds / 4)
            for peer, link in list(self._links.items()):
                if loop.time() > link.idle_deadline:
                    logger.warning(
                        "link reset", extra={"peer": peer, "why": "silence"}
                    )
                    self._reset_link(peer, link)
