"""Tests of fair shares that count past usage."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenarill.placement import RecentUsage, TenantUsage
from galenarill.placement.recent_usage import FORGET_HALF_LIVES, MAX_TENANTS
from galenarill.routing import Resources

HALF_LIFE = 2.0
SLOTS = 12
TOTAL = Resources(SLOTS)


class Pool:
    """Slots for tasks of 1 s, and tenants whose tasks never run out."""

    def __init__(self):
        self.recent = RecentUsage(HALF_LIFE)
        self.now = 0.0
        self.running = collections.deque()

    def play(self, seconds, *tenants):
        """Return how many tasks of each tenant run at the end."""
        end_at = self.now + seconds
        while self.now < end_at:
            self.now += 0.1
            while self.running and self.running[0][0] <= self.now:
                self.running.popleft()
            counts = collections.Counter(tenant for _, tenant in self.running)
            used = {tenant: Resources(n) for tenant, n in counts.items()}
            self.recent.record(used, self.now)
            usage = TenantUsage(used, {}, TOTAL, self.recent.shares(TOTAL))
            while len(self.running) < SLOTS:
                tenant = min(tenants, key=usage.weighted_share)
                usage.add(tenant, Resources(1))
                self.running.append((self.now + 1.0, tenant))
        return collections.Counter(tenant for _, tenant in self.running)


def test_a_tenant_with_a_burst_falls_behind_and_recovers():
    """Guards against a burst that has no effect, or one for good."""
    pool = Pool()
    pool.play(10, "burst")
    assert pool.play(2, "burst", "a", "b")["burst"] <= 1
    pool.play(5 * HALF_LIFE, "burst", "a", "b")
    slots = sum(pool.play(1, "burst", "a", "b")["burst"] for _ in range(30))
    assert slots > 0.28 * 30 * SLOTS


def test_a_late_tenant_gets_its_share_within_one_task():
    """Guards against a history that holds a new tenant back."""
    pool = Pool()
    pool.play(20, "a", "b")
    assert pool.play(1.1, "a", "b", "late")["late"] >= SLOTS / 3


@pytest.mark.parametrize("interval", [0.01, 0.1, HALF_LIFE])
def test_decay_from_the_first_sample_at_any_interval(interval):
    """Guards against a history that fades faster in frequent rounds."""
    recent = RecentUsage(HALF_LIFE)
    recent.record({"a": Resources(8, 4, 1)}, 50.0)
    for number in range(1, round(2 * HALF_LIFE / interval) + 1):
        recent.record({}, 50.0 + number * interval)
    share = recent.shares(Resources(8, 8, 1))["a"]
    # Up to one sample of 0.1 s is still to come.
    assert share == pytest.approx(0.25, rel=0.04)


def test_a_sample_right_after_another_has_no_effect():
    """Guards against the cost of a sample in each of 100 rounds a second."""
    recent = RecentUsage(HALF_LIFE)
    recent.record({}, 0.0)
    recent.record({"a": TOTAL}, 0.05)
    assert recent.shares(TOTAL) == {}


@given(st.integers(0, 10**6), st.integers(1, 10**6), st.floats(0.1, 100))
def test_without_history_the_share_is_that_of_current_usage(n, total, weight):
    """Guards against another order between tenants with the setting off."""
    usage = TenantUsage({"a": Resources(n)}, {"a": weight}, Resources(total))
    assert usage.weighted_share("a") == n / total / weight
    assert usage.weighted_share("b") == 0.0


def test_state_is_bounded_when_tenants_come_and_go():
    """Guards against memory that grows with all tenants ever seen."""
    recent = RecentUsage(HALF_LIFE)
    for number in range(MAX_TENANTS):
        used = {f"t{number}": TOTAL, f"t{number - 1}": Resources()}
        recent.record({**used, "steady": TOTAL}, number * 0.1)
    kept = recent.shares(TOTAL)
    assert len(kept) <= FORGET_HALF_LIVES * HALF_LIFE / 0.1 + 2
    assert "steady" in kept
    recent.record({f"c{n}": TOTAL for n in range(2 * MAX_TENANTS)}, 1e6)
    assert len(recent.shares(TOTAL)) == MAX_TENANTS
    recent.record({"c0": Resources()}, 2e6)
    assert recent.shares(TOTAL) == {}
