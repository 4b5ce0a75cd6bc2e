"""Tests of the times at which rejected callers submit again."""

import collections
import random

import pytest

from galenarill.admission import RetrySchedule


@pytest.mark.parametrize("earliest", [0.3, 60.0])
def test_callers_rejected_together_return_spread(earliest):
    """Guards against the rejection of all of them at the same time again."""
    schedule = RetrySchedule()
    returns = collections.Counter(
        schedule.assign(f"j{n}", "pool", 0.5, earliest, 0.02, now=5.0)
        for n in range(400)
    )
    assert min(returns) >= 1
    assert max(returns.values()) <= 51


def test_those_rejected_longest_come_first_then_the_smallest_share():
    """Guards against a flood that keeps others waiting for ever."""
    schedule = RetrySchedule()

    def assign(job, share, now):
        return schedule.assign(job, "pool", share, 1.0, 0.1, now)

    assign("old", 0.9, 1.0)
    for n in range(100):
        assign(f"j{n}", 0.5, 3.0 + n / 1000)
    assert assign("new", 0.5, 3.5) == 12
    assert assign("small share", 0.1, 3.6) == 2
    assert assign("old", 0.9, 4.0) == 1


def test_a_flood_is_remembered_by_number_and_age_only():
    """Guards against memory that grows with the rejected jobs."""
    schedule = RetrySchedule()
    rng = random.Random(0)
    schedule.assign("other", "line", 0.5, 1.0, 0.1, 0.0)
    for n in range(30_000):
        schedule.assign(f"j{n}", "pool", rng.random(), 1.0, 0.1, n / 3000)
        assert len(schedule) <= 10_000
    assert len(schedule) == 10_000
    # The flood has displaced neither the other line nor its own first ones.
    assert schedule.assign("j0", "pool", 0.5, 1.0, 0.1, 11.0) < 13
    schedule.assign("last", "pool", 0.5, 1.0, 0.1, 41.1)
    assert len(schedule) == 1
