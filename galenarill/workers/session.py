"""The leader's view of a worker's lease."""

import math

from galenarill.workers.report import WorkerReport
from galenarill.workers.timeouts import MAX_ORDER_DELAY_SECONDS

__all__ = [
    "WorkerSession",
    "worst_case_seconds",
    "LEASE_SECONDS",
    "MAX_CLOCK_DRIFT",
]

# How long a worker continues its runs without a renewal, in seconds; longer
# than a leader election.
LEASE_SECONDS = 2.8
# Share by which a worker's clock may be slow, according to the platform's
# protocol.
MAX_CLOCK_DRIFT = 0.02
LEASE_MARGIN_SECONDS = 0.25


class WorkerSession:
    """State of one incarnation of a worker at the leader of one term.

    The end of the lease is a time on the worker's own clock. Its latest
    possible time on the leader's clock follows from the last reading of the
    worker's clock and the bound on clock drift.

    An order names a worker's id only, so it may reach the next incarnation
    under that id. The end of a lease on the clock of the earlier one may be far
    in the future of the next one, whose clock starts anew. Its lease then lasts
    as long as it accepts. Once it has answered this session, whose fencing
    token is higher, it carries out no more such orders.

    Attributes:
        report: Latest report of the worker.
        token: Fencing token of the orders of this session.
        acknowledged_end: Number of the last ended run that was acknowledged.
        is_synced: Whether the lists of its runs are known; reset when its lease
            expires.
        has_lapsed: Whether its lease expired since its lists were last known.
        answered_at: Time of the last answer, on the monotonic clock, or
            negative infinity after a renewal without an answer.
        has_unknown_runs: Whether its latest lists show a run that is not in the
            replicated state, which takes room until it has stopped.
        first_listed_at: When its lists first arrived, on the monotonic clock,
            or infinity.
        departure_noted_at: When the notice arrived that it has left, on the
            monotonic clock, or None. The notice names no incarnation, so it
            counts only until an answer proves it wrong.
        is_provisional: Whether this incarnation is known only by its run
            lists, so that the rest of `report` describes an earlier one.
    """

    def __init__(
        self,
        report: WorkerReport,
        elected_at: float,
        max_lease_seconds: float,
        token: int = 0,
        known_since: float = float("inf"),
        is_provisional: bool = False,
    ):
        """Initialize the state of a worker that has not answered yet.

        Args:
            report: Latest report of the worker.
            elected_at: Time of this leader's election on its monotonic
                clock.
            max_lease_seconds: Longest lease that a worker accepts.
            token: Fencing token of its orders.
            known_since: Time from which on the incarnation has surely worked,
                on the monotonic clock; infinity if unknown, and negative
                infinity if no earlier one had its id.
            is_provisional: Whether only `report.born` describes this
                incarnation.
        """
        self.report = report
        self.token = token
        self.acknowledged_end = 0
        self.is_synced = False
        self.has_lapsed = False
        self.has_unknown_runs = False
        self.departure_noted_at: float | None = None
        self.is_provisional = is_provisional
        self.answered_at = float("-inf")
        self.first_listed_at = float("inf")
        self._clock_reading: tuple[float, float] | None = None
        self._granted_until_ms = 0
        self._max_lease_seconds = max_lease_seconds
        # Number of the last ended run that the worker has surely forgotten.
        self._forgotten_end = 0
        # An earlier leader may have renewed the lease until this election.
        self._known_since = known_since
        is_settled = elected_at - known_since >= self._settled_age_seconds
        self._inherited_expiry = elected_at + worst_case_seconds(
            LEASE_SECONDS if is_settled else max_lease_seconds
        )

    @property
    def unsent_acknowledgement(self) -> int:
        """The last acknowledged end, or 0 if the worker has forgotten it.

        Each incarnation numbers its ends anew, so a number that is sent without
        need might make the next one forget an end that nobody has read.
        """
        if self.acknowledged_end == self._forgotten_end:
            return 0
        return self.acknowledged_end

    @property
    def _settled_age_seconds(self) -> float:
        """Age at which no order for an earlier incarnation has effects."""
        return MAX_ORDER_DELAY_SECONDS + worst_case_seconds(
            self._max_lease_seconds
        )

    def record_clock(self, clock_ms: float, now: float) -> None:
        """Record a reading of the worker's clock that arrived at `now`."""
        self._clock_reading = (clock_ms, now)
        self.answered_at = now

    def grant_until_ms(self, now: float) -> int | None:
        """Return the end of a lease renewed now, or None without a reading.

        The end is a time on the worker's clock. It is treated as granted,
        whether or not the renewal reaches the worker.
        """
        if self._clock_reading is None:
            return None
        clock_ms, read_at = self._clock_reading
        until_ms = int(clock_ms + (now - read_at + LEASE_SECONDS) * 1000)
        self._granted_until_ms = max(self._granted_until_ms, until_ms)
        return until_ms

    def record_lists(self, now: float) -> None:
        """Record that lists of this incarnation arrived at `now`."""
        if self.first_listed_at < now:
            return
        self.first_listed_at = now
        if now - self._known_since < self._settled_age_seconds:
            self.assume_lease_until(
                now + worst_case_seconds(self._max_lease_seconds)
            )

    def describe_lease(self, now: float) -> dict:
        """Return what the end of the lease was derived from, for log lines.

        Times are in seconds before (or, if negative, after) `now`.
        """
        clock_ms, read_at = self._clock_reading or (None, None)
        return {
            "token": self.token,
            "known_for": _finite(now - self._known_since),
            "granted_until_ms": self._granted_until_ms,
            "clock_ms": clock_ms,
            "read": None if read_at is None else round(now - read_at, 3),
            "assumed_end": round(now - self._inherited_expiry, 3),
            "ended": round(now - self.expires_at(), 3),
        }

    def record_acknowledged(self, number: int) -> None:
        """Record an answered renewal that acknowledged the ends up to one."""
        self._forgotten_end = max(self._forgotten_end, number)

    def note_silence(self) -> None:
        """Record that a renewal got no answer in time."""
        self.answered_at = float("-inf")

    def assume_lease_until(self, latest: float) -> None:
        """Assume a lease that this leader did not grant knowingly.

        Args:
            latest: Its latest possible end, on our own clock.
        """
        self._inherited_expiry = max(self._inherited_expiry, latest)

    def expires_at(self) -> float:
        """Return when all granted leases have expired, on our own clock."""
        if self._clock_reading is None:
            return self._inherited_expiry
        clock_ms, read_at = self._clock_reading
        remaining = max(0.0, self._granted_until_ms - clock_ms) / 1000
        return max(
            self._inherited_expiry, read_at + worst_case_seconds(remaining)
        )


def _finite(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None


def worst_case_seconds(seconds: float) -> float:
    """Return the longest time that `seconds` on a worker's clock may take."""
    return seconds / (1 - MAX_CLOCK_DRIFT) + LEASE_MARGIN_SECONDS
