"""Tests of the control path: conflicts, resends, restarts and lost disks."""

import asyncio
import json
import random
import shutil
import signal

import aiohttp

from tests.fleets import eventually, run_with_fleet


def test_control_path():
    run_with_fleet(_scenario, entry_vms_per_zone=2)


async def _scenario(fleet):
    await _conflicting_edits(fleet)
    await _resent_change(fleet)
    await _invalid_edits(fleet)
    await _missing_operator_key(fleet)
    await _restarts_under_changes(fleet)
    await _voter_without_disk_then_lost_voter(fleet)


async def _edit(fleet, vm, path, value, headers=None):
    body = {"edits": [{"path": path, "value": value}]}
    return await fleet.admin(
        "POST", "settings", vm, json=body, headers=dict(headers or {})
    )


async def _conflicting_edits(fleet):
    """One of two concurrent edits of a value on one version is rejected."""
    _, shown = await fleet.admin("GET", "settings")
    based_on = {"If-Match": str(shown["version"])}
    path = ["teams", "batch", "share"]
    first, second = list(fleet.entry_vms)[:2]
    results = await asyncio.gather(
        _edit(fleet, first, path, 7, based_on),
        _edit(fleet, second, path, 8, based_on),
    )
    assert sorted(status for status, _ in results) == [200, 409]
    conflict = next(body for status, body in results if status == 409)
    assert "7" in conflict["detail"] and "8" in conflict["detail"]
    # An edit of another value on the same version does not conflict.
    status, _ = await _edit(
        fleet, first, ["teams", "walk-in", "share"], 2, based_on
    )
    assert status == 200


async def _resent_change(fleet):
    """A resent change returns its first outcome and is not applied again."""
    path = ["queues", "orders", "max_waiting"]
    headers = {"Galenarill-Change-Id": "change-1"}
    vms = list(fleet.entry_vms)
    _, first = await _edit(fleet, vms[0], path, 500, headers)
    await _edit(fleet, vms[1], path, 600)
    _, again = await _edit(fleet, vms[2], path, 500, headers)
    assert again == first
    _, shown = await fleet.admin("GET", "settings")
    assert shown["settings"]["queues"]["orders"]["max_waiting"] == 600


async def _invalid_edits(fleet):
    body = {
        "edits": [
            {"path": ["teams", "batch", "share"], "value": -1},
            {"path": ["queues", "orders", "pool"], "value": "nowhere"},
        ]
    }
    status, answer = await fleet.admin("POST", "settings", json=body)
    assert status == 422
    assert [fault["path"] for fault in answer["faults"]] == [
        "queues.orders.pool",
        "teams.batch.share",
    ]


async def _missing_operator_key(fleet):
    url = f"http://{next(iter(fleet.entry_vms.values())).callers}/v1/admin"
    for headers in ({}, {"Authorization": f"Bearer {fleet.keys['batch']}"}):
        async with fleet.session.get(
            f"{url}/status", headers=headers
        ) as response:
            assert response.status == 401


async def _restarts_under_changes(fleet):
    """Versions never decrease while entry VMs are killed and restarted."""
    rng = random.Random(3)
    highest = dict.fromkeys(fleet.entry_vms, 0)
    value = 0
    accepted = 0
    for round_ in range(6):
        for _ in range(50):
            value += 1
            vm = rng.choice(list(fleet.entry_vms))
            try:
                status, _ = await _edit(
                    fleet, vm, ["queues", "batch", "max_waiting"], value
                )
            except aiohttp.ClientError:
                continue
            accepted += status == 200
        victims = rng.sample(list(fleet.entry_vms), 2 if round_ % 2 else 1)
        for vm in victims:
            await fleet.stop_entry_vm(vm, signal.SIGKILL)
        for vm in victims:
            await fleet.start_entry_vm(vm)

        async def all_equal():
            statuses = await fleet.statuses()
            for vm, status in statuses.items():
                version = status["version"]
                if status["is_fresh"]:
                    assert version >= highest[vm], f"{vm} went back"
                    highest[vm] = version
            versions = {s["version"] for s in statuses.values()}
            return len(statuses) == len(fleet.entry_vms) and (
                len(versions) == 1
            )

        await eventually(all_equal, 20, "every entry VM has caught up")
    assert accepted >= 290
    status, shown = await fleet.admin("GET", "settings")
    assert status == 200
    assert shown["settings"]["queues"]["batch"]["max_waiting"] == value
    _, history = await fleet.admin("GET", "history")
    assert json.dumps(history).count("EditSettings") >= accepted


async def _voter_without_disk_then_lost_voter(fleet):
    """A voter that lost its disk is repaired and can then form a quorum.

    Another voter is killed afterwards, so changes need the repaired one.
    """
    voters = sorted(vm for vm, v in fleet.entry_vms.items() if v.is_voter)
    wiped, lost = voters[1], voters[2]
    _, before = await fleet.admin("GET", "settings")
    await fleet.stop_entry_vm(wiped, signal.SIGKILL)
    shutil.rmtree(fleet.folder / f"{wiped}.data")
    await fleet.start_entry_vm(wiped)

    async def votes_again():
        statuses = await fleet.statuses()
        status = statuses.get(wiped)
        return (
            status is not None
            and status["log_voters"] == voters
            and not status["log_learners"]
            and status["version"] >= before["version"]
            and status["is_fresh"]
        )

    await eventually(votes_again, 20, "the voter without a disk is repaired")
    await fleet.stop_entry_vm(lost, signal.SIGKILL)

    async def accepts_changes():
        status, _ = await _edit(
            fleet, wiped, ["queues", "batch", "max_waiting"], 77
        )
        return status == 200

    await eventually(accepts_changes, 20, "two voters take changes")
    _, shown = await fleet.admin("GET", "settings", wiped)
    assert shown["settings"]["queues"]["orders"]["max_waiting"] == 600
