"""Tests of upper limits that zones share, with real processes."""

import asyncio
import json

from tests.fleets import (
    assert_limits_held,
    eventually,
    peak_running_by_team,
    run_with_fleet,
)


def test_whole_limit_is_usable_in_one_zone():
    run_with_fleet(_scenario)


async def _scenario(fleet):
    vm = "entry-az-a-1"
    for server in fleet.servers.values():
        if server.vm.startswith("render") and "-a" not in server.vm:
            server.is_leaving = True
    await asyncio.sleep(2)
    # The limit of the walk-in team is 12, 4 per zone; this zone has 16 slots.
    is_done = False

    async def call():
        while not is_done:
            status, _, data = await fleet.submit(
                vm,
                "render",
                "walk-in",
                tail="x?sleep=0.5",
                headers={"Galenarill-Timeout-Seconds": "20"},
            )
            assert status == 200, data

    calls = [asyncio.create_task(call()) for _ in range(20)]

    async def runs_twelve():
        return peak_running_by_team(fleet).get("walk-in") == 12

    await eventually(runs_twelve, 15, "the whole limit is used")
    # A lower limit takes effect once the running requests have ended.
    edits = [{"path": ["teams", "walk-in", "upper_limit"], "value": 3}]
    status, answer = await fleet.admin(
        "POST", "settings", json={"edits": edits}
    )
    assert status == 200, answer
    await asyncio.sleep(1.5)
    for server in fleet.servers.values():
        server.executions.clear()
    await asyncio.sleep(4)
    is_done = True
    await asyncio.gather(*calls)
    most = peak_running_by_team(fleet)["walk-in"]
    assert 1 <= most <= 3, most
    assert_limits_held(fleet)
    _, shown = await fleet.admin("GET", "status")
    held = shown["teams"]["walk-in"]["held"]
    assert sum(held.values()) <= 3, json.dumps(held)
