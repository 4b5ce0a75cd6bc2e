"""Outlier detection: quarantines backend servers that fail unlike peers."""

import dataclasses
import statistics
from collections.abc import Collection

from galenarill.common import VmId

__all__ = ["OutlierDetector"]

# Half-life of the weight of an outcome.
HALF_LIFE_SECONDS = 10.0
# Weighted number of outcomes needed to evaluate a backend server.
MIN_OUTCOMES = 5.0
# Failure ratio from which a backend server may be quarantined.
MIN_FAILURE_RATIO = 0.5
# A backend server is not quarantined if the median failure ratio of its peers
# is at least this fraction of its own.
MAX_PEER_FRACTION = 0.5
# Time after which a quarantined backend server gets work again.
QUARANTINE_SECONDS = 15.0


@dataclasses.dataclass(slots=True)
class _Outcomes:
    requests: float = 0.0
    failures: float = 0.0
    updated_at: float = 0.0
    quarantine_deadline: float = 0.0

    def decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE_SECONDS)
        self.requests *= factor
        self.failures *= factor
        self.updated_at = now

    @property
    def total(self) -> float:
        return self.requests + self.failures

    @property
    def ratio(self) -> float:
        return self.failures / self.total if self.total else 0.0


class OutlierDetector:
    """Compares the failure ratios of the backend servers of one pool.

    A backend server is quarantined if it fails at least half of its requests
    while the median failure ratio of its peers is less than half of its own.
    If all of them fail alike, the requests are the likely cause and no backend
    server is quarantined.

    Example:
        >>> detector = OutlierDetector()
        >>> for vm in ("vm-1", "vm-2"):
        ...     detector.record(vm, requests=20, failures=0, now=0.0)
        False
        False
        >>> detector.record("vm-3", requests=0, failures=8, now=0.0)
        True
        >>> detector.is_quarantined("vm-3", now=1.0)
        True
    """

    def __init__(self):
        """Initialize a detector without backend servers."""
        self._outcomes: dict[VmId, _Outcomes] = {}

    def record(
        self,
        server: VmId,
        requests: int,
        failures: int,
        now: float,
        active: Collection[VmId] = (),
    ) -> bool:
        """Record outcomes of `server`.

        Args:
            server: Backend server.
            requests: Number of requests completed with a response.
            failures: Number of failed requests.
            now: Monotonic time in seconds.
            active: Backend servers that are running requests. Failures are
                recorded at once, but responses only when the permit is
                returned, so active servers without a record count as free of
                failures.

        Returns:
            Whether `server` is newly quarantined.
        """
        outcomes = self._outcomes.setdefault(server, _Outcomes(updated_at=now))
        outcomes.decay(now)
        outcomes.requests += requests
        outcomes.failures += failures
        if not failures or outcomes.quarantine_deadline > now:
            return False
        if not self._is_outlier(server, now, active):
            return False
        outcomes.quarantine_deadline = now + QUARANTINE_SECONDS
        outcomes.requests = outcomes.failures = 0.0
        return True

    def is_quarantined(self, server: VmId, now: float) -> bool:
        """Return whether `server` is quarantined and gets no work."""
        outcomes = self._outcomes.get(server)
        return outcomes is not None and now < outcomes.quarantine_deadline

    def remove(self, server: VmId) -> None:
        """Discard the record of `server` when it restarts or leaves."""
        self._outcomes.pop(server, None)

    def _is_outlier(
        self, server: VmId, now: float, active: Collection[VmId]
    ) -> bool:
        own = self._outcomes[server]
        if own.total < MIN_OUTCOMES or own.ratio < MIN_FAILURE_RATIO:
            return False
        peers = []
        for vm, outcomes in self._outcomes.items():
            outcomes.decay(now)
            if vm != server and (outcomes.total >= 1.0 or vm in active):
                peers.append(outcomes.ratio)
        peers += [0.0 for vm in active if vm not in self._outcomes]
        if not peers:
            return False
        return statistics.median(peers) < MAX_PEER_FRACTION * own.ratio
