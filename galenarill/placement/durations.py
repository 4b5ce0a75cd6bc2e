"""Durations of tasks, learned from runs that have ended."""

import collections
import dataclasses
import statistics

from galenarill.jobs import Job, Step
from galenarill.placement.order import estimated_seconds

__all__ = ["DurationKey", "DurationModel", "duration_key"]

# Host and prefix of a queue, and image of a step.
DurationKey = tuple[str, str, str]

# Number of latest ratios kept for each key.
MAX_RATIOS = 64
MAX_KEYS = 1024
# Age at which a ratio is dropped, in seconds.
MAX_AGE_SECONDS = 600.0
# With fewer ratios the estimate is used: of five, two outliers don't move the
# median out of the range of the others.
MIN_RATIOS = 5
# Quantiles offered as bounds.
LOW_QUANTILE, HIGH_QUANTILE = 0.05, 0.95


@dataclasses.dataclass(slots=True)
class _Ratios:
    """Ratios of one key, oldest first, with the times of their records."""

    entries: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_RATIOS)
    )
    # Lower bound, median and upper bound, or None if they aren't up to date.
    quantiles: tuple[float, float, float] | None = None

    def drop_before(self, limit: float) -> None:
        while self.entries and self.entries[0][0] < limit:
            self.entries.popleft()
            self.quantiles = None

    def compute_quantiles(self) -> tuple[float, float, float]:
        if self.quantiles is None:
            ratios = sorted(ratio for _, ratio in self.entries)
            last = len(ratios) - 1
            self.quantiles = (
                ratios[round(LOW_QUANTILE * last)],
                statistics.median(ratios),
                ratios[round(HIGH_QUANTILE * last)],
            )
        return self.quantiles


class DurationModel:
    """Ratio of actual to estimated duration, by queue and image.

    This answers the load in which the estimates of a kind of tasks are off by
    about the same factor, and a few tasks take several times as long as others
    of their kind. Keys without enough ratios fall back to the estimate.

    Example:
        >>> from galenarill.routing import Resources
        >>> model, step = DurationModel(), Step(1, Resources(1), 2000)
        >>> for seconds in (3.0, 3.0, 3.0, 2.0, 21.0):
        ...     model.record(("host", "/q/", ""), step, seconds, 0.0)
        >>> model.expected_seconds(("host", "/q/", ""), step)
        3.0
        >>> model.bounds_seconds(("host", "/q/", ""), step)
        (2.0, 21.0)
    """

    def __init__(self):
        """Create a model that knows no key."""
        # The key with the oldest latest ratio is first.
        self._ratios: collections.OrderedDict[DurationKey, _Ratios] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._ratios)

    def record(
        self, key: DurationKey, step: Step, seconds: float, now: float
    ) -> None:
        """Record the duration of a run that covered its whole task.

        Args:
            key: Key of the task.
            step: Step of the task.
            seconds: Duration.
            now: Time on the monotonic clock.
        """
        ratios = self._ratios.setdefault(key, _Ratios())
        ratios.entries.append((now, seconds / estimated_seconds(step)))
        ratios.quantiles = None
        self._ratios.move_to_end(key)
        if len(self._ratios) > MAX_KEYS:
            self._ratios.popitem(last=False)

    def forget_old(self, now: float) -> None:
        """Drop the ratios that are too old; called about once a second."""
        limit = now - MAX_AGE_SECONDS
        for key, ratios in list(self._ratios.items()):
            ratios.drop_before(limit)
            if not ratios.entries:
                del self._ratios[key]

    def expected_seconds(self, key: DurationKey, step: Step) -> float:
        """Return the median duration of a task of `step`."""
        return self._quantiles(key)[1] * estimated_seconds(step)

    def bounds_seconds(
        self, key: DurationKey, step: Step
    ) -> tuple[float, float]:
        """Return the 5% and 95% quantile of the duration of a task."""
        low, _, high = self._quantiles(key)
        seconds = estimated_seconds(step)
        return low * seconds, high * seconds

    def _quantiles(self, key: DurationKey) -> tuple[float, float, float]:
        ratios = self._ratios.get(key)
        if ratios is None or len(ratios.entries) < MIN_RATIOS:
            return 1.0, 1.0, 1.0
        return ratios.compute_quantiles()


def duration_key(job: Job, step: Step) -> DurationKey:
    """Return the key of the tasks of a step."""
    queue = job.queue_settings
    if queue is None:
        return "", "", step.image
    return queue.host, queue.prefix, step.image
