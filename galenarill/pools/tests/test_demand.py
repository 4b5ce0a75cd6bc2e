"""Pools are sized by their backlog and by how long runs occupy workers."""

from galenarill.pools import (
    ARRIVAL_SECONDS,
    ArrivalRate,
    OccupancyRatio,
    PoolLoad,
    catch_up_capacity,
    divide_reserve,
    needed_machines,
)
from galenarill.routing import Resources

CAPACITY = Resources(32_000, 128_000)


def test_a_backlog_at_the_beginning_of_a_burst_adds_machines():
    """Guards against a pool that only keeps up with arrivals of a burst.

    200 tasks of 3 cores and 0.6 s wait, and as much arrives as the present
    machines can do: all later jobs would wait behind the backlog.
    """
    waiting = (200 * 3_000 * 0.6, 0.0, 0.0)
    arriving = Resources(60_000)
    load = PoolLoad("p", arriving=arriving)
    before = needed_machines(load, CAPACITY)
    load.catch_up = catch_up_capacity(waiting, arriving, arriving)
    assert needed_machines(load, CAPACITY) >= before + 11


def test_a_pool_that_falls_behind_grows_before_the_backlog_is_large():
    """Guards against growth that begins only when little can be in time."""
    small = (1.0, 0.0, 0.0)
    catch_up = catch_up_capacity(small, Resources(90_000), Resources(60_000))
    assert catch_up.cpu >= 60_000
    behind = catch_up_capacity(small, Resources(30_000), Resources(60_000))
    assert behind == Resources()


def test_overhead_of_short_tasks_counts():
    """Guards against pools that are too small by the overhead of each run."""
    ratio = OccupancyRatio()
    for _ in range(100):
        ratio.add("p", 3_000, 0.6, 0.8)
    assert 1.3 < ratio.of("p") < 1.4


def test_a_few_odd_runs_do_not_claim_the_fleet():
    """Guards against a ratio that stalled runs drive up without a bound."""
    ratio = OccupancyRatio()
    for _ in range(29):
        ratio.add("p", 3_000, 0.1, 60.0)
    assert ratio.of("p") == 1.0
    ratio.add("p", 3_000, 0.1, 60.0)
    assert ratio.of("p") == 3.0


def test_one_large_job_hardly_changes_the_rate_of_many():
    """Guards against moves that follow the size of single jobs."""
    by_mean, by_latest = ArrivalRate(mean_jobs=64), ArrivalRate()
    for rate in (by_mean, by_latest):
        for number in range(63):
            rate.add("p", (10_000.0, 0.0, 0.0), number * 0.1)
        rate.add("p", (400_000.0, 0.0, 0.0), 6.3)
    usual = 10_000 * 9 / ARRIVAL_SECONDS
    assert by_latest.capacity("p", 6.3).cpu > 4 * usual
    assert by_mean.capacity("p", 6.3).cpu < 2 * usual


def test_the_reserve_goes_to_the_queue_whose_burst_is_longest_ago():
    """Guards against a reserve that waits where the burst was just over."""
    since = {"a": 1.0, "b": 11.0, "c": 21.0, "d": 31.0}
    reserve = divide_reserve(36, 3, since)
    assert sorted(since, key=reserve.get) == ["a", "b", "c", "d"]
    assert reserve["a"] == 3 and reserve["d"] >= 18
    assert sum(reserve.values()) <= 37
