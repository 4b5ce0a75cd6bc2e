"""The capacity for arrivals follows their rate."""

from galenarill.pools import ARRIVAL_SECONDS, ArrivalRate
from galenarill.routing import Resources


def test_many_jobs_are_a_rate():
    rate = ArrivalRate()
    for number in range(40):
        rate.add("p", (8_000.0, 0.0, 0.0), 10.0 + number * 0.02)
    now = 10.8
    assert rate.capacity("p", now).cpu == 40 * 8_000 / ARRIVAL_SECONDS
    assert rate.capacity("other", now) == Resources()


def test_arrivals_are_forgotten():
    rate = ArrivalRate()
    for _ in range(9):
        rate.add("p", (8_000.0, 0.0, 0.0), 10.0)
    assert rate.capacity("p", 10.0 + ARRIVAL_SECONDS / 2).cpu > 0
    assert rate.capacity("p", 10.1 + ARRIVAL_SECONDS) == Resources()
