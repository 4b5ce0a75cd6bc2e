"""One replica's claims on request ids."""

import dataclasses
import heapq
from collections.abc import Mapping

from galenarill.claims import messages
from galenarill.claims.ids import claim_group, issued_at
from galenarill.world import AvailabilityZoneId, RequestId, VmId

__all__ = ["ClaimTable", "CLAIM_RETENTION_SECONDS", "MAX_CLAIMS"]

# Time for which a claim outlives its request's deadline.
CLAIM_RETENTION_SECONDS = 600.0
# Difference between the clocks of two entry VMs that is allowed for.
CLOCK_SKEW_SECONDS = 5.0
# Claims beyond this number are refused as unsure, to bound memory.
MAX_CLAIMS = 20_000


@dataclasses.dataclass(slots=True)
class _Entry:
    owner: VmId
    token: str
    expires_at: float


class ClaimTable:
    """Claims that one entry VM keeps, in memory.

    The first to claim a request id at a majority of its replicas may run it.
    A replica that restarts has forgotten its claims. It is unsure about an id
    until it has the claims of every other replica of that id, unless the id
    was issued after the restart or all forgotten claims have expired.
    """

    def __init__(
        self,
        vm: VmId,
        zones: Mapping[VmId, AvailabilityZoneId],
        now: float,
        unix_time: float,
    ):
        """Make the table of a process that starts at `now`."""
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
    def missing(self) -> frozenset[VmId]:
        """Replicas whose claims this table lacks."""
        return frozenset(self._unsynced_replicas)

    def claim(self, message: messages.Claim, now: float) -> messages.ClaimReply:
        """Answer a claim.

        Args:
            message: The claim.
            now: Time in seconds.

        Returns:
            The answer.
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
        """Drop a claim that its owner will not use."""
        entry = self._entries.get(message.request)
        if entry is not None and entry.token == message.token:
            del self._entries[message.request]

    def reply_to(self, requester: VmId, now: float) -> messages.TableReply:
        """Return the claims that `requester` is a replica of as well."""
        records = tuple(
            messages.ClaimRecord(
                request, entry.owner, entry.token, entry.expires_at - now
            )
            for request, entry in self._entries.items()
            if requester in claim_group(request, self._zones)
        )
        missing = (
            self._unsynced_replicas if now < self._recovery_deadline else ()
        )
        return messages.TableReply(records, tuple(sorted(missing)))

    def merge(
        self, sender: VmId, message: messages.TableReply, now: float
    ) -> None:
        """Take in the claims of `sender`."""
        for record in message.records:
            if record.request not in self._entries:
                self._add(record, now)
        if not message.unsynced_replicas:
            self._unsynced_replicas.discard(sender)

    def expire(self, now: float) -> None:
        """Drop the claims whose time has passed."""
        while self._expiration_heap and self._expiration_heap[0][0] <= now:
            _, request = heapq.heappop(self._expiration_heap)
            entry = self._entries.get(request)
            if entry is not None and entry.expires_at <= now:
                del self._entries[request]

    def _add(self, record: messages.ClaimRecord, now: float) -> None:
        deadline = now + record.lifetime
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
        group = set(claim_group(request, self._zones))
        return not (group - {self._vm}) & self._unsynced_replicas
