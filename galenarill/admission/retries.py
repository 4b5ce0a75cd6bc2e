"""Times at which rejected callers submit again."""

import bisect
import collections
import dataclasses
import math
from collections.abc import Hashable

from galenarill.common import JobId

__all__ = ["RetrySchedule"]

MAX_REMEMBERED = 10_000
REMEMBERED_SECONDS = 30.0
# Shortest time given, in seconds.
MIN_RETRY_SECONDS = 1.0
# Longest time given, in seconds. A caller that returns then, or up to 10 s
# later, is still remembered.
MAX_RETRY_SECONDS = 20
# Times for callers that would all have to come later than that: the first half
# of a line is spread from the first to the second time, the others after it.
FRONT_SECONDS = 6
BACK_SECONDS = 13


@dataclasses.dataclass(slots=True)
class _Rejected:
    """A rejected job.

    Attributes:
        line: Line of jobs that wait for the same capacity.
        key: Position in the line; the smallest key comes first.
        first_at: When it was first rejected.
        last_at: When it was last rejected.
        second: Second in which it is to return.
    """

    line: Hashable
    key: tuple
    first_at: float
    last_at: float
    second: int


class _Line:
    """Rejected jobs that wait for the same capacity."""

    def __init__(self):
        self.keys: list[tuple] = []
        # Number of jobs that return in each second.
        self.returns: collections.Counter[int] = collections.Counter()


class RetrySchedule:
    """Spreads the times at which rejected callers submit again.

    Answers the load of many callers that are rejected together: without a
    spread they would all return together, and be rejected together again. The
    jobs that wait for the same capacity form a line, in which those come first
    that were rejected in an earlier second, and of these the ones whose tenant
    uses the smallest share. Each returns later than those before it by the
    time that the capacity needs for them.

    Example:
        >>> schedule = RetrySchedule()
        >>> [schedule.assign(f"j{n}", "pool", 0.5, 1.0, 0.5, now=0.0)
        ...  for n in range(4)]
        [1, 2, 2, 3]
    """

    def __init__(self):
        """Create a schedule without rejected jobs."""
        # In the order of their latest rejection.
        self._rejected: collections.OrderedDict[JobId, _Rejected] = (
            collections.OrderedDict()
        )
        self._lines: dict[Hashable, _Line] = {}
        # Number of the latest rejection, which orders equal ones by age.
        self._last_number = 0

    def __len__(self) -> int:
        """Return the number of remembered jobs."""
        return len(self._rejected)

    def copy(self) -> "RetrySchedule":
        """Return a schedule whose updates leave this one unchanged."""
        schedule = RetrySchedule()
        schedule._rejected = self._rejected.copy()
        for line_id, line in self._lines.items():
            copied = schedule._lines[line_id] = _Line()
            copied.keys = line.keys.copy()
            copied.returns = line.returns.copy()
        schedule._last_number = self._last_number
        return schedule

    def assign(
        self,
        job: JobId,
        line_id: Hashable,
        share: float,
        earliest_seconds: float,
        spacing_seconds: float,
        now: float,
    ) -> int:
        """Return after how many seconds a rejected job is submitted again.

        Args:
            job: Id of the job.
            line_id: Capacity that it waits for.
            share: Weighted share of the capacity that its tenant uses.
            earliest_seconds: Time before which it would probably be rejected
                again.
            spacing_seconds: Time that the capacity needs for this job.
            now: Monotonic time in seconds.

        Returns:
            Whole seconds, from `MIN_RETRY_SECONDS` to `MAX_RETRY_SECONDS`.
        """
        self._expire(now)
        known = self._rejected.get(job)
        first_at = now if known is None else known.first_at
        self.forget(job)
        line = self._lines.get(line_id, _Line())
        self._last_number += 1
        key = int(first_at), share, first_at, self._last_number, job
        position = bisect.bisect_left(line.keys, key)
        seconds = math.ceil(
            max(earliest_seconds, MIN_RETRY_SECONDS)
            + position * spacing_seconds
        )
        if seconds > MAX_RETRY_SECONDS:
            seconds = min(
                range(FRONT_SECONDS, BACK_SECONDS)
                if 2 * position < len(line.keys)
                else range(BACK_SECONDS, MAX_RETRY_SECONDS + 1),
                key=lambda s: (line.returns[int(now) + s], s),
            )
        second = int(now) + seconds
        if self._has_room_before(line, key):
            self._lines[line_id] = line
            line.keys.insert(position, key)
            self._rejected[job] = _Rejected(line_id, key, first_at, now, second)
        line.returns[second] += 1
        for past in [s for s in line.returns if s < int(now)]:
            del line.returns[past]
        return seconds

    def _has_room_before(self, line: _Line, key: tuple) -> bool:
        """Make room for an entry, and return whether there is.

        The last one of the longest line is dropped, so that a flood in one
        line doesn't displace those of others, or those rejected longest.
        """
        if len(self._rejected) < MAX_REMEMBERED:
            return True
        longest = max(self._lines.values(), key=lambda line: len(line.keys))
        last = longest.keys[-1]
        if longest is line and key > last:
            return False
        self.forget(last[-1])
        return True

    def was_just_rejected(self, job: JobId, now: float) -> bool:
        """Return whether a job can't be back at the time that it was told.

        Such a submission was delayed on its way, and its caller has been told
        that the job will not run.
        """
        rejected = self._rejected.get(job)
        return (
            rejected is not None and now < rejected.last_at + MIN_RETRY_SECONDS
        )

    def forget(self, job: JobId) -> None:
        """Forget a job, because it is accepted."""
        rejected = self._rejected.pop(job, None)
        if rejected is None:
            return
        line = self._lines[rejected.line]
        del line.keys[bisect.bisect_left(line.keys, rejected.key)]
        if not line.keys:
            del self._lines[rejected.line]
        elif line.returns[rejected.second] > 0:
            line.returns[rejected.second] -= 1

    def _expire(self, now: float) -> None:
        while self._rejected:
            job, rejected = next(iter(self._rejected.items()))
            if rejected.last_at > now - REMEMBERED_SECONDS:
                return
            self.forget(job)
