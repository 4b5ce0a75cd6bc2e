"""Tests of the confirmation of evacuations by the entry VMs."""

import asyncio
import types
import unittest.mock

import pytest

from galenarill.entry.evacuation import SETTLE_SECONDS, EvacuationMonitor
from galenarill.entry.reconciler import ZoneReconciler
from galenarill.scheduling.messages import AllotmentRequest
from galenarill.state import FleetState, ZoneEvacuation
from standins.virtual_time import run_in_virtual_time


def _evacuate(state, version):
    order = ZoneEvacuation(version, 0.0, "ana", "fire")
    state.evacuated_zones["az-a"] = order


def test_answer_names_the_vms_that_have_not_applied_the_order():
    """An answer that hides a lagging VM promises more than is true."""

    async def scenario():
        state = FleetState()
        monitor = EvacuationMonitor(
            {"e2", "e3"}, lambda: state, unittest.mock.Mock(), lambda: None
        )
        _evacuate(state, 7)
        monitor.record_version("e2", 7)
        monitor.record_version("e3", 6)
        assert await monitor.wait_confirmed("az-a") == ["e3"]
        waiting = asyncio.create_task(monitor.wait_confirmed("az-a"))
        await asyncio.sleep(0.01)
        monitor.record_version("e3", 8)
        assert await waiting == []
        # A VM that has applied only the first order has also applied its end.
        _evacuate(state, 9)
        monitor.record_version("e3", 9)
        assert await monitor.wait_confirmed("az-a") == ["e2"]
        # The version of a VM that was lost may be that of an earlier process.
        monitor.record_version("e2", 9)
        monitor.forget_version("e3")
        assert await monitor.wait_confirmed("az-a") == ["e3"]

    run_in_virtual_time(scenario)


def test_an_order_is_announced_at_once_and_its_last_attempts_are_awaited():
    """Guards against an answer that precedes attempts assigned before.

    The others wait for the version that this VM announces.
    """

    async def scenario():
        state, slots = FleetState(), unittest.mock.Mock()
        announce = unittest.mock.Mock()
        monitor = EvacuationMonitor({"e2"}, lambda: state, slots, announce)
        monitor.state_changed()
        assert not announce.called
        _evacuate(state, 7)
        monitor.state_changed()
        slots.set_evacuated_zones.assert_called_once_with(frozenset({"az-a"}))
        announce.assert_called_once_with()
        monitor.record_version("e2", 7)
        begin = asyncio.get_running_loop().time()
        assert await monitor.wait_confirmed("az-a") == []
        waited = asyncio.get_running_loop().time() - begin
        assert waited == pytest.approx(SETTLE_SECONDS)

    run_in_virtual_time(scenario)


@pytest.mark.parametrize("is_evacuated, given", [(False, 3), (True, 5)])
def test_evacuated_zone_gives_up_all_that_it_does_not_use(is_evacuated, given):
    """Allotment that stays in the zone rejects requests in the others."""

    async def scenario():
        state = FleetState()
        if is_evacuated:
            _evacuate(state, 7)
        commands = []

        async def propose(command, operator, change_id):
            commands.append(command)

        control = types.SimpleNamespace(
            state=state, is_caught_up=True, propose=propose
        )
        scheduler = types.SimpleNamespace(spare_allotment=lambda team: 5)
        slots = types.SimpleNamespace(scheduler=scheduler)
        reconciler = ZoneReconciler("e1", "az-a", control, slots, None)
        reconciler.receive("e2", AllotmentRequest("az-b", "red", 8))
        await asyncio.sleep(0.01)
        assert [command.count for command in commands] == [given]

    run_in_virtual_time(scenario)
