"""Tests of fair shares that count past usage."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenarill.placement import (
    Candidate,
    Packer,
    RecentUsage,
    TenantUsage,
    place_groups,
)
from galenarill.placement.recent_usage import FORGET_HALF_LIVES, MAX_TENANTS
from galenarill.placement.tests.test_backlog import group_of, worker
from galenarill.routing import Resources

HALF_LIFE = 2.0
SLOTS = 12
STEP_SECONDS = 0.1


class Pool:
    """A pool of slots whose tasks take 1 s, and tenants with endless tasks."""

    def __init__(self, half_life=HALF_LIFE):
        self.recent = RecentUsage(half_life) if half_life else None
        self.now = 0.0
        self.running = collections.deque()

    def used(self):
        counts = collections.Counter(tenant for _, tenant in self.running)
        return {tenant: Resources(count) for tenant, count in counts.items()}

    def play(self, seconds, *tenants):
        """Place tasks of some tenants; return the slots of each at the end."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            while self.running and self.running[0][0] <= self.now:
                self.running.popleft()
            total = Resources(SLOTS)
            history = {}
            if self.recent is not None:
                self.recent.record(self.used(), self.now)
                history = self.recent.shares(total)
            # One task at a time, as runs of a busy pool end one by one.
            placements = place_groups(
                [group_of(tenant, tenant, SLOTS) for tenant in tenants],
                Packer({"p": [worker(cpu=SLOTS - len(self.running))]}, {}),
                TenantUsage(self.used(), {}, total, history),
                0.0,
                lambda group, key: Candidate(
                    group.job, key, group.step, group.pool, group.tenant
                ),
            )
            self.running += [
                (self.now + 1.0, placement.candidate.tenant)
                for placement in placements
            ]
        return {tenant: use.cpu for tenant, use in self.used().items()}


def test_a_tenant_with_a_burst_falls_behind_and_recovers():
    """Guards against a burst that has no effect, or one for good."""
    pool = Pool()
    pool.play(10, "burst")
    pool.play(1, "burst", "a", "b")
    behind = pool.play(1, "burst", "a", "b")
    assert behind.get("burst", 0) <= 1
    pool.play(5 * HALF_LIFE, "burst", "a", "b")
    assert pool.play(1, "burst", "a", "b")["burst"] >= SLOTS / 3 - 1
    without_history = Pool(half_life=0)
    without_history.play(10, "burst")
    after = without_history.play(2, "burst", "a", "b")
    assert after == {"burst": 4, "a": 4, "b": 4}


def test_a_late_tenant_gets_its_share_within_one_task():
    """Guards against a history that holds a new tenant back."""
    pool = Pool()
    pool.play(20, "a", "b")
    assert pool.play(1.1, "a", "b", "late")["late"] >= SLOTS / 3


def test_long_run_shares_are_equal():
    """Guards against a tenant that starves behind its own history."""
    pool = Pool()
    pool.play(10, "burst")
    slots = collections.Counter()
    for _ in range(100):
        slots.update(pool.play(1, "burst", "a", "b"))
    assert min(slots.values()) > 0.28 * sum(slots.values())


def test_the_first_sample_is_the_whole_history():
    """Guards against a new leader that ranks all tenants as idle."""
    recent = RecentUsage(HALF_LIFE)
    recent.record({"a": Resources(6)}, 50.0)
    assert recent.shares(Resources(12)) == {"a": 0.5}


@pytest.mark.parametrize("interval", [0.1, 0.5, HALF_LIFE])
def test_the_decay_does_not_depend_on_the_interval_of_samples(interval):
    """Guards against a history that fades faster when rounds are frequent."""
    recent = RecentUsage(HALF_LIFE)
    recent.record({"a": Resources(8, 4, 1)}, 0.0)
    for number in range(1, round(2 * HALF_LIFE / interval) + 1):
        recent.record({}, number * interval)
    total = Resources(8, 8, 1)
    assert recent.shares(total)["a"] == pytest.approx(0.25)


def test_a_sample_right_after_another_has_no_effect():
    """Guards against the cost of a sample in each of 100 rounds a second."""
    recent = RecentUsage(HALF_LIFE)
    recent.record({}, 0.0)
    recent.record({"a": Resources(8)}, 0.05)
    assert recent.shares(Resources(8)) == {}


def test_state_is_bounded_when_tenants_come_and_go():
    """Guards against memory that grows with all tenants ever seen."""
    recent = RecentUsage(HALF_LIFE)
    used = {}
    for number in range(3 * MAX_TENANTS):
        used = {**dict.fromkeys(list(used)[-9:], Resources())}
        used[f"t{number}"] = Resources(1)
        recent.record({**used, "steady": Resources(1)}, number * STEP_SECONDS)
    kept = recent.shares(Resources(8))
    assert len(kept) <= FORGET_HALF_LIVES * HALF_LIFE / STEP_SECONDS + 2
    assert "steady" in kept
    crowd = {f"c{number}": Resources(1) for number in range(2 * MAX_TENANTS)}
    recent.record(crowd, 1e6)
    assert len(recent.shares(Resources(8))) == MAX_TENANTS
    recent.record(dict.fromkeys(crowd, Resources()), 2e6)
    assert recent.shares(Resources(8)) == {}


@given(st.integers(0, 10**6), st.integers(1, 10**6), st.floats(0.1, 100))
def test_without_history_the_share_is_that_of_current_usage(
    used, total, weight
):
    """Guards against another order between tenants with the setting off."""
    usage = TenantUsage({"a": Resources(used)}, {"a": weight}, Resources(total))
    assert usage.weighted_share("a") == used / total / weight
    assert usage.weighted_share("b") == 0.0
