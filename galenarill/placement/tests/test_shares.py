"""Tenants share scarce capacity in proportion to their weights."""

from hypothesis import given, settings
from hypothesis import strategies as st

from galenarill.placement import order_by_fair_share
from galenarill.routing import Resources

ONE = Resources(1)


def test_a_greedy_tenant_does_not_push_out_the_others():
    entries = [("greedy", ONE, "greedy")] * 50 + [("small", ONE, "small")] * 5
    first = order_by_fair_share(
        entries, {}, {"greedy": 1, "small": 1}, Resources(10)
    )
    assert first[:10].count("small") == 5


def test_current_usage_counts_toward_the_share():
    entries = [("a", ONE, "a")] * 4 + [("b", ONE, "b")] * 4
    used = {"a": Resources(3)}
    assert order_by_fair_share(entries, used, {}, Resources(9))[:3] == ["b"] * 3


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.sampled_from("abc"), max_size=30),
    st.tuples(*[st.integers(1, 5)] * 3),
)
def test_all_are_kept_and_shares_follow_the_weights(tenants, weights):
    weights = dict(zip("abc", weights, strict=True))
    entries = [(t, ONE, (t, n)) for n, t in enumerate(tenants)]
    ordered = order_by_fair_share(entries, {}, weights, Resources(30))
    assert sorted(ordered) == sorted((t, n) for t, _, (t, n) in entries)
    left = {tenant: tenants.count(tenant) for tenant in "abc"}
    taken = dict.fromkeys("abc", 0)
    for tenant, _ in ordered:
        # The next tenant has the smallest share among those still waiting.
        shares = {t: taken[t] / weights[t] for t in "abc" if left[t]}
        assert shares[tenant] == min(shares.values())
        taken[tenant] += 1
        left[tenant] -= 1
