"""Tests of fair sharing after periods of very unequal demand."""

import collections
import heapq

from galenarill.scheduling import ShareAccount

WEIGHTS = {
    "municipal": 5.0,
    "hospital": 4.0,
    "shopping": 3.0,
    "proofing": 2.0,
    "batch": 1.0,
    "walk-in": 1.0,
}
SLOTS = 16
WORK_SECONDS = 1.0


def _make_account():
    account = ShareAccount()
    for team, weight in WEIGHTS.items():
        account.set_weight(team, weight)
    return account


def _serve_one_per_second(account, teams, now, end):
    """Serve one request of each listed team per second until `end`."""
    while now < end:
        for team in teams:
            assert account.next_team([team], now, SLOTS) == team
            account.start(team, now)
            account.finish(team, now, now + WORK_SECONDS)
        now += 1.0


def _serve_all_waiting(account, now, ramp, seconds):
    """Return each team's slot time while all teams have waiting requests."""
    ends = []
    used = collections.Counter()
    since, until = now + ramp, now + seconds
    for _ in range(SLOTS):
        heapq.heappush(ends, (now, ""))
    while ends[0][0] < until:
        at, team = heapq.heappop(ends)
        if team:
            account.finish(team, at - WORK_SECONDS, at)
        team = account.next_team(WEIGHTS, at, SLOTS)
        account.start(team, at)
        end = at + WORK_SECONDS
        used[team] += max(0.0, min(end, until) - max(at, since))
        heapq.heappush(ends, (end, team))
    return used


def _largest_error(used):
    total = sum(used.values())
    weight = sum(WEIGHTS.values())
    return max(
        abs(100 * used[team] / total - 100 * WEIGHTS[team] / weight)
        for team in WEIGHTS
    )


def test_shares_hold_from_the_start():
    assert (
        _largest_error(_serve_all_waiting(_make_account(), 0.0, 2.0, 9.0))
        <= 2.0
    )


def test_shares_hold_after_a_low_weight_team_was_active_alone():
    account = _make_account()
    _serve_one_per_second(account, ["walk-in"], 0.0, 60.0)
    assert _largest_error(_serve_all_waiting(account, 60.0, 2.0, 9.0)) <= 2.0


def test_shares_hold_after_a_high_weight_team_was_active_alone():
    account = _make_account()
    _serve_one_per_second(account, ["municipal"] * 10, 0.0, 60.0)
    assert _largest_error(_serve_all_waiting(account, 60.0, 2.0, 9.0)) <= 2.0
