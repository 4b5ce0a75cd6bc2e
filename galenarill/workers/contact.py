"""What a leader knows of a worker's lease."""

from galenarill.workers.report import WorkerReport

__all__ = ["Contact", "LEASE_SECONDS", "CLOCK_DRIFT"]

# How long a worker runs on without a renewal, in seconds: outlives an election.
LEASE_SECONDS = 2.8
# A worker's clock may be slow by this share; source: the platform's protocol.
CLOCK_DRIFT = 0.02
LEASE_MARGIN_SECONDS = 0.25


class Contact:
    """One life of a worker as the leader of one term sees it.

    Its lease is stored as a time on the worker's own clock. When it has ended
    on our clock follows from the last reading of the worker's clock and the
    bound on its drift.
    """

    def __init__(self, report: WorkerReport, leader_since: float):
        """Make a contact that was not yet answered.

        Args:
            report: Report of the worker.
            leader_since: When this term's leader was elected, on our clock.
        """
        self.report = report
        self.noted_end = 0
        self.is_read = False
        self.answered_at = float("-inf")
        self._clock: tuple[float, float] | None = None
        self._until_ms = float("-inf")
        # An earlier leader may have renewed the lease until it lost the lead.
        self._lapsed_at = leader_since + _stretched(LEASE_SECONDS)

    def note_clock(self, clock_ms: float, now: float) -> None:
        """Take in a reading of the worker's clock that has just arrived."""
        self._clock = (clock_ms, now)
        self.answered_at = now

    def next_until_ms(self, now: float) -> int | None:
        """Return the end of a lease that is renewed now, or None.

        It is on the worker's clock, and counts as granted from now on.
        """
        if self._clock is None:
            return None
        clock_ms, at = self._clock
        until_ms = int(clock_ms + (now - at + LEASE_SECONDS) * 1000)
        self._until_ms = max(self._until_ms, until_ms)
        return until_ms

    def lapses_at(self) -> float:
        """Return when every lease granted has surely ended, on our clock."""
        if self._clock is None:
            return self._lapsed_at
        clock_ms, at = self._clock
        left = max(0.0, self._until_ms - clock_ms) / 1000
        return max(self._lapsed_at, at + _stretched(left))


def _stretched(seconds: float) -> float:
    return seconds / (1 - CLOCK_DRIFT) + LEASE_MARGIN_SECONDS
