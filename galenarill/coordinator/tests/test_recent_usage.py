"""Tests of the leader's order between tenants with past usage."""

import types

import pytest

from galenarill.coordinator import leader
from galenarill.coordinator.tests.simulation import Simulation

# Three workers of the simulation with four slots each.
SLOTS = 12


@pytest.fixture
def make():
    made = []

    def build(half_life):
        simulation = Simulation(
            seconds_of=lambda task, run: (1.0, "done"),
            leader_options={"share_half_life_seconds": half_life},
        )
        made.append(simulation)
        simulation.advance(1)
        return simulation

    yield build
    for simulation in made:
        simulation.close()


@pytest.mark.parametrize("half_life", [0.0, 4.0])
def test_past_usage_counts_if_a_half_life_is_set(make, half_life):
    """Guards against a setting without effect, or an effect without it."""
    simulation = make(half_life)
    # With such long estimates both jobs can meet their objective. Otherwise
    # the one that is late would come last, whatever its tenant has used.
    tasks = {"count": 16 * SLOTS, "estimate_ms": 60_000}
    simulation.submit("g", tenant="greedy", **tasks)
    simulation.advance(8)
    simulation.submit("s", tenant="small", **tasks)
    begun = len(simulation.network.history)
    simulation.advance(3.1)
    starts = [run.task[0] for run in simulation.network.history[begun:]]
    if half_life:
        assert starts.count("s") > 2 * starts.count("g")
    else:
        assert starts.count("s") == starts.count("g")


def test_a_new_leader_begins_with_the_runs_that_it_adopts(make):
    """Guards against a takeover that makes a busy tenant look idle."""
    simulation = make(4.0)
    simulation.submit("x", 2 * SLOTS, tenant="earlier")
    simulation.advance(6)
    simulation.submit("g", 16 * SLOTS, tenant="greedy")
    simulation.advance(2)
    assert simulation.leader._placer.recent_shares()["earlier"] > 0.1
    simulation.take_over()
    used = simulation.leader.runs.used_by_tenant["greedy"].cpu
    simulation.advance(0.05)
    shares = simulation.leader._placer.recent_shares()
    assert shares == {"greedy": pytest.approx(used / SLOTS)}


@pytest.mark.parametrize("half_life", [0.0, 0.2])
def test_the_gauge_falls_to_zero_with_an_idle_tenant(
    make, monkeypatch, half_life
):
    """Guards against a gauge that keeps the last share of a tenant."""
    values = []
    gauge = types.SimpleNamespace(set=lambda value, _: values.append(value))
    monkeypatch.setattr(leader, "_TENANT_RECENT_SHARE", gauge)
    simulation = make(half_life)
    simulation.submit("g", 2 * SLOTS, tenant="greedy")
    simulation.advance(8)
    assert bool(values) == bool(half_life)
    if values:
        assert max(values) > 0.5 and values[-1] == 0.0
