"""Claims on request ids by one entry VM."""

import asyncio
import secrets
import time
from collections.abc import Callable

from galenarill.claims import (
    CLAIM_RETENTION_SECONDS,
    AbandonClaim,
    Claim,
    ClaimRecord,
    ClaimReply,
    ClaimResult,
    ClaimRound,
    ClaimTable,
    ClaimTableReply,
    ClaimTableRequest,
    claim_replicas,
)
from galenarill.common import RequestId, VmId
from galenarill.settings import ProcessSettings

__all__ = ["ClaimManager"]

CLAIM_TIMEOUT_SECONDS = 1.0
MIN_TABLE_BACKOFF_SECONDS = 1.0
MAX_TABLE_BACKOFF_SECONDS = 60.0


class ClaimManager:
    """Claims request ids for this VM, and votes on the claims of other VMs.

    A majority of the claim group of a request id has to grant the claim, so
    that a request sent to several entry VMs runs on one of them only.
    """

    def __init__(self, settings: ProcessSettings, send: Callable):
        """Make the claim manager of a process that has just started."""
        self._loop = asyncio.get_running_loop()
        self._vm = VmId(settings.vm)
        self._zones = settings.zones
        self._send_to_peer = send
        now = self._loop.time()
        self._table = ClaimTable(self._vm, self._zones, now, time.time())
        self._rounds: dict[str, tuple[ClaimRound, asyncio.Future]] = {}
        self._next_table_request_at = now
        self._table_backoff = MIN_TABLE_BACKOFF_SECONDS

    @property
    def table(self) -> ClaimTable:
        """Claims that this VM has granted."""
        return self._table

    async def claim(
        self, request: RequestId, deadline: float
    ) -> tuple[ClaimResult, VmId | str, str]:
        """Claim the id of `request`, which is the right to run it.

        Args:
            request: Id of the request.
            deadline: Loop time after which it does not start any more.

        Returns:
            The result, the owner if another entry VM holds the claim, and the
            token that abandons a claim that was won.
        """
        token = f"{self._vm}.{secrets.token_hex(6)}"
        group = claim_replicas(request, self._zones)
        round_ = ClaimRound(request, token, group)
        future = self._loop.create_future()
        self._rounds[token] = (round_, future)
        ttl_seconds = deadline - self._loop.time() + CLAIM_RETENTION_SECONDS
        record = ClaimRecord(request, self._vm, token, ttl_seconds)
        try:
            for vm in group:
                self._send(vm, Claim(record))
            async with asyncio.timeout(CLAIM_TIMEOUT_SECONDS):
                await future
        except TimeoutError:
            pass
        finally:
            del self._rounds[token]
            # This also covers cancellation. Without the claim, the request
            # does not start on this VM.
            if round_.result is not ClaimResult.WON:
                self.abandon(request, token)
        result = round_.result
        if result is ClaimResult.PENDING:
            taken = ClaimResult.TAKEN if round_.owner else None
            result = taken or ClaimResult.UNAVAILABLE
        return result, round_.owner, token

    def abandon(self, request: RequestId, token: str) -> None:
        """Abandon the claim on a request that did not run and will not."""
        for vm in claim_replicas(request, self._zones):
            self._send(vm, AbandonClaim(request, token))

    def receive(self, sender: VmId, message) -> None:
        """Handle a message about claims."""
        now = self._loop.time()
        match message:
            case Claim():
                self._send(sender, self._table.claim(message, now))
            case ClaimReply():
                self._receive_reply(sender, message)
            case AbandonClaim():
                self._table.abandon(message)
            case ClaimTableRequest():
                self._send(sender, self._table.make_table_reply(sender, now))
            case ClaimTableReply():
                self._table.merge(sender, message, now)

    def tick(self) -> None:
        """Expire claims, and request the tables missing since the restart."""
        now = self._loop.time()
        self._table.expire(now)
        if now >= self._next_table_request_at and self._table.unsynced_replicas:
            # After a cold start of the whole fleet no table is complete, and
            # frequent requests would only cause traffic.
            self._next_table_request_at = now + self._table_backoff
            self._table_backoff = min(
                2 * self._table_backoff, MAX_TABLE_BACKOFF_SECONDS
            )
            for vm in sorted(self._table.unsynced_replicas):
                self._send(vm, ClaimTableRequest())

    def _send(self, peer: VmId, message) -> None:
        if peer == self._vm:
            self.receive(peer, message)
        else:
            self._send_to_peer(peer, message)

    def _receive_reply(self, sender: VmId, message: ClaimReply) -> None:
        known = self._rounds.get(message.token)
        if known is None:
            return
        round_, future = known
        round_.receive(sender, message)
        if round_.result is not ClaimResult.PENDING and not future.done():
            future.set_result(None)
