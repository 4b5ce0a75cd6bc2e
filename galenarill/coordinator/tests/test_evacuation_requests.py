"""Orders to evacuate and to restore a zone, as the leader answers them."""

import asyncio

import pytest

from galenarill.cluster import ChangeEvacuation, Code
from galenarill.coordinator.requests import RequestHandler
from galenarill.coordinator.tests.request_cluster import RequestCluster


@pytest.fixture
def cluster():
    cluster = RequestCluster()
    yield cluster
    cluster.simulation.close()


def order(cluster, is_evacuated, zone="a"):
    request = ChangeEvacuation(zone, is_evacuated)
    return cluster.simulation.run(cluster.handler.answer(1, request)).code


def test_a_repeated_order_is_acknowledged_without_an_entry(cluster):
    state = cluster.simulation.state
    assert order(cluster, True) is Code.DONE
    version = state.version
    assert order(cluster, True) is Code.DONE
    assert state.version == version
    assert order(cluster, False) is order(cluster, False) is Code.DONE
    assert not state.evacuated_zones


def test_an_order_is_acknowledged_after_its_zone_has_lost_its_workers(cluster):
    """Guards against a rejected resend, also by the next leader."""
    simulation = cluster.simulation
    assert order(cluster, True) is Code.DONE
    simulation.call(simulation.leader.sessions.clear)
    assert order(cluster, True) is Code.DONE
    assert order(cluster, False) is order(cluster, False) is Code.DONE
    assert order(cluster, True) is Code.DONE


def test_an_unknown_zone_is_refused_without_a_change(cluster):
    version = cluster.simulation.state.version
    for is_evacuated in (True, False):
        assert order(cluster, is_evacuated, "z") is Code.UNKNOWN_ZONE
    assert cluster.simulation.state.version == version


def test_a_zone_is_not_refused_before_all_zones_are_known(cluster):
    """Guards against a 404 for a real zone by a new leader."""
    cluster.handler = RequestHandler(
        cluster.simulation.state, None, lambda: True, lambda zone: None
    )
    assert order(cluster, True, "z") is Code.NOT_LEADING


@pytest.mark.parametrize("first", [True, False])
def test_of_racing_orders_the_later_entry_decides(cluster, first):
    """Guards against an order that is answered from the state before it."""
    simulation, handler = cluster.simulation, cluster.handler
    if not first:
        assert order(cluster, True) is Code.DONE

    async def race():
        tasks = []
        for is_evacuated in (first, not first):
            request = ChangeEvacuation("a", is_evacuated)
            tasks.append(asyncio.ensure_future(handler.answer(1, request)))
            await asyncio.sleep(0.001)
        return await asyncio.gather(*tasks)

    replies = simulation.run(race())
    assert [reply.code for reply in replies] == [Code.DONE, Code.DONE]
    assert ("a" in simulation.state.evacuated_zones) is not first
