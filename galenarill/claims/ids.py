"""Request ids, and the placement of the replicas of their claims."""

import itertools
import secrets
from collections.abc import Mapping

from galenarill.common import (
    AvailabilityZoneId,
    RequestId,
    VmId,
    rendezvous_order,
)

__all__ = [
    "RequestIdGenerator",
    "issued_at",
    "claim_replicas",
    "is_valid_request_id",
]

ISSUED_PREFIX = "glr"
MAX_ID_LENGTH = 128
# Maximum number of replicas of each claim.
REPLICATION_FACTOR = 3


class RequestIdGenerator:
    """Generates unique request ids whose claims are replicated in one zone.

    Example:
        >>> request = RequestIdGenerator("az-a").issue(1000.5)
        >>> issued_at(request)
        1000.5
    """

    def __init__(self, availability_zone: AvailabilityZoneId):
        """Initialize a generator of ids unique to this process.

        Args:
            availability_zone: Zone in which the claims are kept.
        """
        self._prefix = f"{ISSUED_PREFIX}.{availability_zone}"
        self._process = secrets.token_hex(6)
        self._numbers = itertools.count(1)

    def issue(self, unix_time: float) -> RequestId:
        """Return a new id.

        Args:
            unix_time: Current Unix time in seconds, encoded in the id.
        """
        milliseconds = int(unix_time * 1000)
        number = next(self._numbers)
        return RequestId(
            f"{self._prefix}.{milliseconds:x}.{self._process}{number:x}"
        )


def issued_at(request: RequestId) -> float | None:
    """Return the time at which an entry VM issued `request`.

    Returns:
        Unix time in seconds, or None if the caller chose the id.
    """
    parts = request.split(".")
    if len(parts) != 4 or parts[0] != ISSUED_PREFIX:
        return None
    try:
        return int(parts[2], 16) / 1000
    except ValueError:
        return None


def is_valid_request_id(text: str) -> bool:
    """Return whether a caller may use `text` as a request id."""
    return (
        0 < len(text) <= MAX_ID_LENGTH
        and text.isascii()
        and all(c.isalnum() or c in "-_.:" for c in text)
    )


def claim_replicas(
    request: RequestId, zones: Mapping[VmId, AvailabilityZoneId]
) -> tuple[VmId, ...]:
    """Return the entry VMs that replicate the claim on `request`.

    Claims on ids issued by an entry VM are kept in the issuing zone, so that
    the zone can serve these requests during a network partition. Claims on ids
    chosen by callers are spread over as many zones as possible.

    Args:
        request: Request id.
        zones: Zone of each entry VM in the settings.

    Returns:
        At most `REPLICATION_FACTOR` entry VMs; a majority of them is a quorum.

    Example:
        >>> zones = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
        >>> sorted({zones[vm] for vm in claim_replicas("order-1", zones)})
        ['a', 'b', 'c']
        >>> group = claim_replicas("glr.a.0.12", zones)
        >>> sorted(group)
        ['a1', 'a2']
    """
    if issued_at(request) is not None:
        zone = request.split(".")[1]
        own = [vm for vm, az in zones.items() if az == zone]
        if own:
            return tuple(rendezvous_order(request, own)[:REPLICATION_FACTOR])
    order = rendezvous_order(request, zones)
    first_of_zone: dict[AvailabilityZoneId, VmId] = {}
    for vm in order:
        first_of_zone.setdefault(zones[vm], vm)
    one_per_zone = list(first_of_zone.values())
    others = [vm for vm in order if vm not in one_per_zone]
    return tuple((one_per_zone + others)[:REPLICATION_FACTOR])
