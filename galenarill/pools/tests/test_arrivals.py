"""The capacity for arrivals follows a rate, not single jobs."""

from galenarill.pools import ARRIVAL_SECONDS, ArrivalRate
from galenarill.routing import Resources


def test_a_single_large_job_is_no_rate():
    """Load: one job of a heavy-tailed queue arrives at a quiet pool.

    Seen on the grown further site: a pool that ran 81 machines full claimed 183
    of 178 for some large jobs within 0.8 s.
    """
    rate = ArrivalRate()
    rate.add("p", (500_000.0, 1.0, 0.0), 10.0)
    assert rate.capacity("p", 10.1) == Resources()


def test_many_jobs_are_a_rate():
    rate = ArrivalRate()
    for number in range(40):
        rate.add("p", (8_000.0, 0.0, 0.0), 10.0 + number * 0.02)
    now = 10.8
    mean = 40 * 8_000 / ARRIVAL_SECONDS
    assert 0.8 * mean < rate.capacity("p", now).cpu < 0.9 * mean
    assert rate.capacity("other", now) == Resources()


def test_arrivals_are_forgotten():
    rate = ArrivalRate()
    for _ in range(9):
        rate.add("p", (8_000.0, 0.0, 0.0), 10.0)
    assert rate.capacity("p", 10.0 + ARRIVAL_SECONDS / 2).cpu > 0
    assert rate.capacity("p", 10.1 + ARRIVAL_SECONDS) == Resources()
