"""Request ids, and the entry VMs that keep the claim on each."""

import itertools
import secrets
from collections.abc import Mapping

from galenarill.world import (
    AvailabilityZoneId,
    RequestId,
    VmId,
    rendezvous_order,
)

__all__ = ["RequestIds", "issued_at", "claim_group", "is_valid_id"]

ISSUED_PREFIX = "glr"
MAX_ID_LENGTH = 128
# Replicas of each claim.
REPLICATION_FACTOR = 3


class RequestIds:
    """Issues request ids whose claims are kept in one zone.

    Example:
        >>> request = RequestIds("az-a").issue(1000.5)
        >>> issued_at(request)
        1000.5
    """

    def __init__(self, availability_zone: AvailabilityZoneId):
        """Issue ids for `availability_zone` that no other process issues."""
        self._prefix = f"{ISSUED_PREFIX}.{availability_zone}"
        self._process = secrets.token_hex(6)
        self._numbers = itertools.count(1)

    def issue(self, unix_time: float) -> RequestId:
        """Return a new id.

        Args:
            unix_time: Time of issue in seconds.
        """
        milliseconds = int(unix_time * 1000)
        number = next(self._numbers)
        return RequestId(
            f"{self._prefix}.{milliseconds:x}.{self._process}{number:x}"
        )


def issued_at(request: RequestId) -> float | None:
    """Return when an entry VM issued `request`, or None if a caller chose it.

    Returns:
        Unix time in seconds.
    """
    parts = request.split(".")
    if len(parts) != 4 or parts[0] != ISSUED_PREFIX:
        return None
    try:
        return int(parts[2], 16) / 1000
    except ValueError:
        return None


def is_valid_id(text: str) -> bool:
    """Tell whether a caller may use `text` as a request id."""
    return (
        0 < len(text) <= MAX_ID_LENGTH
        and text.isascii()
        and all(c.isalnum() or c in "-_.:" for c in text)
    )


def claim_group(
    request: RequestId, zones: Mapping[VmId, AvailabilityZoneId]
) -> tuple[VmId, ...]:
    """Return the entry VMs that keep the claim on `request`.

    An id that was issued here is kept in the zone that issued it, so that the
    zone can serve it while it is cut off. An id that the caller chose is kept
    in different zones as far as there are as many.

    Args:
        request: Request id.
        zones: Zone of each entry VM in the settings.

    Returns:
        At most `REPLICATION_FACTOR` entry VMs; a majority of them decides.

    Example:
        >>> zones = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
        >>> sorted({zones[vm] for vm in claim_group("order-1", zones)})
        ['a', 'b', 'c']
        >>> group = claim_group("glr.a.0.12", zones)
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
    spread = list(first_of_zone.values())
    rest = [vm for vm in order if vm not in spread]
    return tuple((spread + rest)[:REPLICATION_FACTOR])
