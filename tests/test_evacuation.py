"""Tests of the evacuation of a zone with entry VM processes."""

import asyncio
import collections
import json
import signal
import time

from standins.proxy import Fault
from tests.fleets import assert_limits_held, eventually, run_with_fleet
from tests.test_cli import run_command
from tests.test_faults import QUEUES, Load

ZONE = "az-a"


def _servers_of_zone(fleet):
    vms = fleet.settings.settings.vms.items()
    return [fleet.servers[k] for k, v in vms if v.availability_zone == ZONE]


def _starts_in_zone(fleet, since):
    """Return the executions that began in the zone after `since`."""
    return [
        execution
        for server in _servers_of_zone(fleet)
        for execution in server.executions
        if execution.began_at > since
    ]


def _assert_answered(load, since, until):
    """Assert that callers at each entry VM were served."""
    by_vm = collections.defaultdict(collections.Counter)
    for began_at, vm, status, run, _ in load.outcomes:
        if since < began_at < until:
            by_vm[vm][status, run] += 1
    assert by_vm.keys() == set(load.vms)
    for vm, counts in by_vm.items():
        assert counts[200, ""] >= 0.99 * counts.total(), (vm, counts)


def test_evacuated_zone_starts_nothing_and_returns():
    """Guards against a request that starts in the zone after the answer.

    A permit that some entry VM still holds, or a scheduler that takes over
    without the order, would let one start.
    """
    run_with_fleet(_evacuate_and_restore, entry_vms_per_zone=2)


async def _evacuate_and_restore(fleet):
    (fleet.folder / "operator-key").write_text(fleet.operator_key)
    load = Load(fleet, callers=18)
    await asyncio.sleep(2)
    long_requests = [
        asyncio.create_task(
            fleet.submit("entry-az-a-1", queue, "municipal", tail="x?sleep=4")
        )
        for queue in QUEUES
    ]
    await asyncio.sleep(0.5)
    status, answer = await fleet.admin(
        "POST",
        f"zones/{ZONE}/evacuation",
        "entry-az-b-1",
        json={"reason": "fire"},
    )
    evacuated_at, since = time.time(), time.monotonic()
    assert status == 200 and answer["unconfirmed"] == [], answer
    running = sum(len(server.running) for server in _servers_of_zone(fleet))
    assert running, "no request ran in the zone during the order"
    await asyncio.sleep(4)
    _assert_answered(load, since, time.monotonic() - 1)
    assert [(await task)[0] for task in long_requests] == [200] * 3

    statuses = await fleet.statuses()
    assert all(
        s["evacuated_zones"][ZONE]["reason"] == "fire"
        for s in statuses.values()
    )
    scheduler = statuses["entry-az-a-1"]["schedulers"][ZONE]
    load.vms.remove(scheduler)
    await fleet.stop_entry_vm(scheduler, signal.SIGKILL)

    async def has_taken_over():
        seen = (await fleet.statuses())["entry-az-b-1"]["schedulers"]
        return seen.get(ZONE, scheduler) != scheduler

    await eventually(has_taken_over, 15, "another VM schedules the zone")
    await fleet.start_entry_vm(scheduler)
    await fleet.wait_ready()
    # The servers report to the new scheduler, which could use them.
    await asyncio.sleep(3)

    output = await run_command(fleet, "zone", "evacuate", ZONE)
    assert "evacuated already" in output and "every entry VM" in output
    output = await run_command(fleet, "zone", "status")
    assert "local: fire" in output and output.count("in service") == 2, output
    metrics = f"http://{fleet.entry_vms['entry-az-c-1'].callers}/metrics"
    async with fleet.session.get(metrics) as response:
        lines = (await response.text()).splitlines()
    gauge = [e for e in lines if e.startswith("galenarill_evacuated_zones")]
    assert len(gauge) == 1 and gauge[0].endswith(" 1.0"), gauge
    restored_at = time.time()
    assert not _starts_in_zone(fleet, evacuated_at)[:3]

    await run_command(fleet, "zone", "restore", ZONE)

    async def is_back():
        return len(_starts_in_zone(fleet, restored_at)) >= 20

    await eventually(is_back, 5, "the zone serves again")
    output = await run_command(fleet, "zone", "status", "--json")
    assert json.loads(output)[ZONE]["evacuation"] is None
    await load.stop()
    load.assert_no_request_ran_twice()
    assert_limits_held(fleet)


def test_answer_names_a_vm_that_is_cut_off():
    """Guards against an order that looks complete while a VM is cut off."""
    run_with_fleet(_cut_off, entry_vms_per_zone=2, with_proxies=True)


async def _cut_off(fleet):
    (fleet.folder / "operator-key").write_text(fleet.operator_key)
    load = Load(fleet, callers=18)
    await asyncio.sleep(1)
    cut_off = "entry-az-a-2"
    fleet.set_vm_fault(cut_off, Fault.HALF_OPEN)
    output = await run_command(fleet, "zone", "evacuate", ZONE, expect=1)
    assert f"no confirmation by {cut_off}\n" in output
    # A VM that knows no order has lost its session with the scheduler, or
    # schedules the zone itself until its lease ends.
    await asyncio.sleep(4)
    since = time.time()
    await asyncio.sleep(2)
    assert not _starts_in_zone(fleet, since)[:3]
    fleet.set_vm_fault(cut_off, Fault.NONE)

    async def is_confirmed():
        _, answer = await fleet.admin(
            "POST", f"zones/{ZONE}/evacuation", "entry-az-b-1", json={}
        )
        return answer["unconfirmed"] == []

    await eventually(is_confirmed, 20, "the VM has applied the order")
    status, _ = await fleet.admin("POST", "zones/az-x/evacuation", json={})
    assert status == 404
    await load.stop()
    load.assert_no_request_ran_twice()
