"""Tests of the timeouts of orders to workers."""

import pytest

from galenarill.workers import OrderTimeouts, order_timeouts


@pytest.mark.parametrize("repeat_ms", [1, 250, 700, 5000])
def test_both_attempts_of_a_renewal_last_as_long_as_one_without_repetition(
    repeat_ms,
):
    """Guards against a worker that is gone and is noticed later."""
    timeouts = order_timeouts(repeat_ms)
    attempts = [timeouts.first_seconds]
    if timeouts.repeats_at_once:
        attempts.append(timeouts.second_renewal_seconds)
    assert sum(attempts) == pytest.approx(OrderTimeouts().first_seconds)


def test_renewals_are_held_shorter_only_for_busy_workers_and_if_enabled():
    """Guards against more renewals in deployments that don't ask for them."""
    holds = [order_timeouts(250).renewal_hold_ms(runs) for runs in (0, 2, 3)]
    assert holds == [600, 600, 200]
    assert order_timeouts(0).renewal_hold_ms(32) == 600
