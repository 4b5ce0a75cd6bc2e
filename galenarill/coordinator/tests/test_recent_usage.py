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
        options = {"share_half_life_seconds": half_life}
        made.append(
            Simulation(
                seconds_of=lambda task, run: (1.0, "done"),
                leader_options=options,
            )
        )
        made[-1].advance(1)
        return made[-1]

    yield build
    for simulation in made:
        simulation.close()


def starts_after_burst(simulation):
    """Return the starts of two tenants after a burst of one of them.

    With such long estimates, both jobs can meet their objective. Otherwise the
    one that is late would come last, whatever its tenant has used.
    """
    tasks = {"count": 16 * SLOTS, "estimate_ms": 60_000}
    simulation.submit("g", tenant="greedy", **tasks)
    simulation.advance(8)
    simulation.submit("s", tenant="small", **tasks)
    begun = len(simulation.network.history)
    simulation.advance(3.1)
    starts = [run.task[0] for run in simulation.network.history[begun:]]
    return starts.count("g"), starts.count("s")


def test_a_tenant_ranks_behind_others_after_its_burst(make):
    """Guards against a setting that does not reach the order of tenants."""
    greedy, small = starts_after_burst(make(half_life=4.0))
    assert small > 2 * greedy


def test_current_usage_alone_decides_with_the_setting_off(make):
    """Guards against a history that counts in deployments without it."""
    simulation = make(half_life=0.0)
    greedy, small = starts_after_burst(simulation)
    assert greedy == small
    assert simulation.leader._placer.recent_shares() == {}


def test_a_new_leader_begins_with_the_runs_that_it_adopts(make):
    """Guards against a takeover that makes a busy tenant look idle."""
    simulation = make(half_life=4.0)
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
def test_the_gauge_falls_to_zero_when_a_tenant_is_forgotten(
    make, monkeypatch, half_life
):
    """Guards against a gauge that keeps the last share of a tenant."""
    values = []
    gauge = types.SimpleNamespace(
        set=lambda value, labels: values.append((labels["tenant"], value))
    )
    monkeypatch.setattr(leader, "_TENANT_RECENT_SHARE", gauge)
    simulation = make(half_life)
    simulation.submit("g", 2 * SLOTS, tenant="greedy")
    simulation.advance(8)
    if not half_life:
        assert values == []
        return
    assert {tenant for tenant, _ in values} == {"greedy"}
    assert max(value for _, value in values) > 0.5
    assert values[-1] == ("greedy", 0.0)
