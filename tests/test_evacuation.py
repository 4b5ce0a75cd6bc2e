"""Test of the evacuation of a zone with entry VM processes."""

import asyncio
import signal
import time

from standins.proxy import Fault
from tests.fleets import assert_limits_held, eventually, run_with_fleet
from tests.test_cli import run_command
from tests.test_faults import QUEUES, Load

ZONE = "az-a"


def _starts_in_zone(fleet, since):
    vms = fleet.settings.settings.vms
    return [
        execution
        for vm, server in fleet.servers.items()
        if vms[vm].availability_zone == ZONE
        for execution in server.executions
        if execution.began_at > since
    ]


def _assert_answered_everywhere(load, since, until):
    for vm in load.vms:
        recent = [
            o[2] for o in load.outcomes if o[1] == vm and since < o[0] < until
        ]
        assert recent.count(200) >= 0.99 * len(recent) > 0, (vm, recent)


def test_evacuated_zone_starts_nothing_and_returns():
    """Guards against a request that starts in the zone after the answer.

    A permit that an entry VM still holds, a scheduler that takes over without
    the order, or an answer that hides a VM that is cut off would let one start.
    """
    run_with_fleet(_scenario, entry_vms_per_zone=2, with_proxies=True)


async def _scenario(fleet):
    (fleet.folder / "operator-key").write_text(fleet.operator_key)
    load = Load(fleet, callers=18)
    await asyncio.sleep(2)
    await _evacuate_and_lose_scheduler(fleet, load)
    await run_command(fleet, "zone", "restore", ZONE)
    restored_at = time.time()

    async def is_back():
        return len(_starts_in_zone(fleet, restored_at)) >= 20

    await eventually(is_back, 5, "the zone serves again")
    cut_off = "entry-az-a-2"
    fleet.set_vm_fault(cut_off, Fault.HALF_OPEN)
    output = await run_command(fleet, "zone", "evacuate", ZONE, expect=1)
    assert f"no confirmation by {cut_off}\n" in output
    # Its session with the zone's scheduler, or its own lease, ends meanwhile.
    await asyncio.sleep(4)
    since = time.time()
    await asyncio.sleep(2)
    assert not _starts_in_zone(fleet, since)[:3]
    await load.stop()
    load.assert_no_request_ran_twice()
    assert_limits_held(fleet)


async def _evacuate_and_lose_scheduler(fleet, load):
    long_requests = [
        fleet.submit("entry-az-a-1", queue, "municipal", tail="x?sleep=4")
        for queue in QUEUES
    ]
    long_requests = [asyncio.create_task(r) for r in long_requests]
    await asyncio.sleep(0.5)
    status, answer = await fleet.admin(
        "POST", f"zones/{ZONE}/evacuation", "entry-az-b-1", json={}
    )
    evacuated_at, since = time.time(), time.monotonic()
    assert status == 200 and answer["unconfirmed"] == [], answer
    await asyncio.sleep(4)
    _assert_answered_everywhere(load, since, time.monotonic() - 1)
    assert [(await task)[0] for task in long_requests] == [200] * 3

    async def scheduler():
        _, status = await fleet.admin("GET", "status", "entry-az-b-1")
        return status["schedulers"].get(ZONE)

    lost = await scheduler()
    load.vms.remove(lost)
    await fleet.stop_entry_vm(lost, signal.SIGKILL)

    async def has_taken_over():
        return await scheduler() not in (lost, None)

    await eventually(has_taken_over, 15, "another VM schedules the zone")
    await fleet.start_entry_vm(lost)
    await fleet.wait_ready()
    # The servers report to the new scheduler, which could use them.
    await asyncio.sleep(3)
    output = await run_command(fleet, "zone", "evacuate", ZONE)
    assert "evacuated already" in output and "every entry VM" in output
    output = await run_command(fleet, "zone", "status")
    assert "local: operator" in output and output.count("in service") == 2
    metrics = f"http://{fleet.entry_vms['entry-az-c-1'].callers}/metrics"
    async with fleet.session.get(metrics) as response:
        lines = (await response.text()).splitlines()
    gauge = [e for e in lines if e.startswith("galenarill_evacuated_zones")]
    assert gauge[0].endswith(" 1.0")
    assert not _starts_in_zone(fleet, evacuated_at)[:3]
