"""Table of the claims kept by one replica."""

import dataclasses
import heapq
from collections.abc import Mapping

from galenarill.claims import messages
from galenarill.claims.ids import claim_replicas, issued_at
from galenarill.common import AvailabilityZoneId, RequestId, VmId

__all__ = ["ClaimTable", "CLAIM_RETENTION_SECONDS", "MAX_CLAIMS"]

# Time for which a claim is kept after its request's deadline.
CLAIM_RETENTION_SECONDS = 600.0
# Maximum difference between the wall clocks of two entry VMs.
CLOCK_SKEW_SECONDS = 5.0
# Capacity of the table, to bound memory. Claims beyond it get the verdict
# `UNAVAILABLE`.
MAX_CLAIMS = 20_000


@dataclasses.dataclass(slots=True)
class _Entry:
    owner: VmId
    token: str
    expires_at: float


class ClaimTable:
    """In-memory table of the claims replicated on one entry VM.

    The first owner whose claim is granted by a majority of the replicas may run
    the request. A restarted replica has lost its claims. It grants no claim on
    a request id until it has recovered the claims of every other replica of
    that id, unless the id was issued after the restart or all lost claims have
    expired.
    """

    def __init__(
        self,
        vm: VmId,
        zones: Mapping[VmId, AvailabilityZoneId],
        now: float,
        unix_time: float,
    ):
        """Initialize the table of a process that starts at `now`.

        Args:
            vm: Entry VM of this replica.
            zones: Zone of each entry VM in the settings.
            now: Monotonic time in seconds.
            unix_time: Unix time in seconds.
        """
        self._vm = vm
        self._zones = zones
        self._entries: dict[RequestId, _Entry] = {}
        self._expiration_heap: list[tuple[float, RequestId]] = []
        self._unsynced_replicas = set(zones) - {vm}
        self._started_at = unix_time
        self._recovery_deadline = now + 2 * CLAIM_RETENTION_SECONDS

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._entries)

    @property
    def unsynced_replicas(self) -> frozenset[VmId]:
        """Replicas from which claims still have to be recovered."""
        return frozenset(self._unsynced_replicas)

    def claim(self, message: messages.Claim, now: float) -> messages.ClaimReply:
        """Vote on a claim, and store it if it is granted.

        Args:
            message: Claim to vote on.
            now: Monotonic time in seconds.

        Returns:
            The vote.
        """
        record = message.record
        entry = self._entries.get(record.request)
        if entry is not None and entry.token != record.token:
            return messages.ClaimReply(
                record.request,
                record.token,
                messages.ClaimVerdict.TAKEN,
                entry.owner,
            )
        if entry is None:
            if (
                not self._is_authoritative(record.request, now)
                or len(self._entries) >= MAX_CLAIMS
            ):
                return messages.ClaimReply(
                    record.request,
                    record.token,
                    messages.ClaimVerdict.UNAVAILABLE,
                )
            self._add(record, now)
        return messages.ClaimReply(
            record.request, record.token, messages.ClaimVerdict.GRANTED
        )

    def abandon(self, message: messages.AbandonClaim) -> None:
        """Remove a claim that its owner has released without using it."""
        entry = self._entries.get(message.request)
        if entry is not None and entry.token == message.token:
            del self._entries[message.request]

    def make_table_reply(
        self, requester: VmId, now: float
    ) -> messages.ClaimTableReply:
        """Return the claims that `requester` replicates as well."""
        records = tuple(
            messages.ClaimRecord(
                request, entry.owner, entry.token, entry.expires_at - now
            )
            for request, entry in self._entries.items()
            if requester in claim_replicas(request, self._zones)
        )
        missing = (
            self._unsynced_replicas if now < self._recovery_deadline else ()
        )
        return messages.ClaimTableReply(records, tuple(sorted(missing)))

    def merge(
        self, sender: VmId, message: messages.ClaimTableReply, now: float
    ) -> None:
        """Add the claims recovered from `sender`."""
        for record in message.records:
            if record.request not in self._entries:
                self._add(record, now)
        if not message.unsynced_replicas:
            self._unsynced_replicas.discard(sender)

    def expire(self, now: float) -> None:
        """Remove the expired claims."""
        while self._expiration_heap and self._expiration_heap[0][0] <= now:
            _, request = heapq.heappop(self._expiration_heap)
            entry = self._entries.get(request)
            if entry is not None and entry.expires_at <= now:
                del self._entries[request]

    def _add(self, record: messages.ClaimRecord, now: float) -> None:
        deadline = now + record.ttl_seconds
        self._entries[record.request] = _Entry(
            record.owner, record.token, deadline
        )
        heapq.heappush(self._expiration_heap, (deadline, record.request))

    def _is_authoritative(self, request: RequestId, now: float) -> bool:
        if not self._unsynced_replicas or now >= self._recovery_deadline:
            return True
        issued = issued_at(request)
        if issued is not None and (
            issued > self._started_at + CLOCK_SKEW_SECONDS
        ):
            return True
        replicas = set(claim_replicas(request, self._zones))
        return not (replicas - {self._vm}) & self._unsynced_replicas
