"""The duration model is robust and bounded."""

import itertools

from galenarill.jobs import Step
from galenarill.placement import DurationModel
from galenarill.routing import Resources

KEY = ("host", "/q/", "image")
STEP = Step(1, Resources(1), 2000)


def test_outliers_do_not_move_the_median():
    """Some tasks run seven times as long as others of their kind."""
    model = DurationModel()
    for number in range(200):
        seconds = 21.0 if number % 5 == 0 else 3.0
        model.record(KEY, STEP, seconds, float(number))
    assert model.expected_seconds(KEY, STEP) == 3.0
    assert model.bounds_seconds(KEY, STEP) == (3.0, 21.0)


def test_a_key_with_few_ratios_falls_back_to_the_estimate():
    model = DurationModel()
    for _ in range(4):
        model.record(KEY, STEP, 21.0, 0.0)
    assert model.expected_seconds(KEY, STEP) == 2.0
    assert model.bounds_seconds(KEY, STEP) == (2.0, 2.0)


def test_the_median_follows_the_latest_64_ratios():
    model = DurationModel()
    for number in range(128):
        model.record(KEY, STEP, 2.0 if number < 64 else 6.0, 0.0)
    assert model.bounds_seconds(KEY, STEP) == (6.0, 6.0)


def test_memory_is_bounded_by_keys_and_age():
    """Guards against growth by callers that name a new image each time."""
    model = DurationModel()
    for number, repeat in itertools.product(range(3000), range(5)):
        model.record(("h", "/q/", str(number)), STEP, 4.0, number + repeat)
    assert len(model) == 1024
    assert model.expected_seconds(("h", "/q/", "0"), STEP) == 2.0
    assert model.expected_seconds(("h", "/q/", "2999"), STEP) == 4.0
    model.forget_old(2999 + 600)
    assert 0 < len(model) < 10
    model.forget_old(2999 + 700)
    assert len(model) == 0
