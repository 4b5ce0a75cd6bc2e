"""Tests of the confirmation of evacuations by the entry VMs."""

import asyncio
import types

import pytest

from galenarill.entry.evacuation import (
    CONFIRMATION_TIMEOUT_SECONDS,
    EvacuationMonitor,
)
from galenarill.entry.reconciler import ZoneReconciler
from galenarill.scheduling.messages import AllotmentRequest
from galenarill.state import FleetState, ZoneEvacuation
from standins.virtual_time import run_in_virtual_time


class _Slots:
    zones = frozenset()

    def set_evacuated_zones(self, zones):
        self.zones = zones


class _Fleet:
    def __init__(self):
        self.state = FleetState()
        self.slots = _Slots()
        self.broadcasts = []
        self.monitor = EvacuationMonitor(
            {"e2", "e3"},
            lambda: self.state,
            self.slots,
            lambda: self.broadcasts.append(self.slots.zones),
        )

    def evacuate(self, version):
        order = ZoneEvacuation(version, 0.0, "ana", "fire")
        self.state.evacuated_zones["az-a"] = order
        self.monitor.state_changed()


def test_answer_names_the_vms_that_have_not_applied_the_order():
    """An answer that hides a lagging VM promises more than is true."""

    async def scenario():
        fleet = _Fleet()
        loop = asyncio.get_running_loop()
        fleet.evacuate(7)
        # The peers learn of it only after this VM enforces it itself.
        assert fleet.broadcasts == [{"az-a"}]
        fleet.monitor.record_version("e2", 7)
        fleet.monitor.record_version("e3", 6)
        began_at = loop.time()
        assert await fleet.monitor.wait_confirmed("az-a") == ["e3"]
        assert loop.time() - began_at >= CONFIRMATION_TIMEOUT_SECONDS
        waiting = asyncio.create_task(fleet.monitor.wait_confirmed("az-a"))
        await asyncio.sleep(0.01)
        fleet.monitor.record_version("e3", 9)
        assert await waiting == []
        # What a VM had applied before it was lost does not count.
        fleet.monitor.forget_version("e2")
        assert await fleet.monitor.wait_confirmed("az-a") == ["e2"]

    run_in_virtual_time(scenario)


def test_second_evacuation_is_not_confirmed_by_the_first():
    """A VM that has applied only the earlier order also applied its end."""

    async def scenario():
        fleet = _Fleet()
        fleet.evacuate(7)
        for vm in ("e2", "e3"):
            fleet.monitor.record_version(vm, 8)
        fleet.state.evacuated_zones.clear()
        fleet.monitor.state_changed()
        assert fleet.slots.zones == frozenset()
        fleet.evacuate(9)
        assert await fleet.monitor.wait_confirmed("az-a") == ["e2", "e3"]

    run_in_virtual_time(scenario)


@pytest.mark.parametrize("is_evacuated, given", [(False, 3), (True, 5)])
def test_evacuated_zone_gives_up_all_that_it_does_not_use(is_evacuated, given):
    """Allotment that stays in the zone rejects requests in the others."""

    async def scenario():
        fleet = _Fleet()
        if is_evacuated:
            fleet.evacuate(7)
        commands = []

        async def propose(command, operator, change_id):
            commands.append(command)

        control = types.SimpleNamespace(
            state=fleet.state, is_caught_up=True, propose=propose
        )
        scheduler = types.SimpleNamespace(spare_allotment=lambda team: 5)
        slots = types.SimpleNamespace(scheduler=scheduler)
        reconciler = ZoneReconciler("e1", "az-a", control, slots, None)
        reconciler.receive("e2", AllotmentRequest("az-b", "red", 8))
        await asyncio.sleep(0.01)
        assert [command.count for command in commands] == [given]

    run_in_virtual_time(scenario)
