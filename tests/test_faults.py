"""Tests with process and link faults, checked by the servers' records."""

import asyncio
import collections
import json
import random
import signal
import time

import aiohttp

from standins.proxy import Fault
from tests.fleets import (
    assert_limits_held,
    eventually,
    executions,
    run_with_fleet,
)

QUEUES = ("orders", "render", "proofs")


class Load:
    """Concurrent callers that send requests and record each outcome."""

    def __init__(self, fleet, vms=None, callers=40, sleep_seconds=0.05):
        self.fleet = fleet
        self.vms = vms or list(fleet.entry_vms)
        self.sleep_seconds = sleep_seconds
        self.rng = random.Random(7)
        self.outcomes = []
        self.is_stopped = False
        self.tasks = [asyncio.create_task(self.call(n)) for n in range(callers)]

    async def call(self, number):
        teams = list(self.fleet.keys)
        while not self.is_stopped:
            vm = self.rng.choice(self.vms)
            began_at = time.monotonic()
            try:
                status, headers, data = await self.fleet.submit(
                    vm,
                    self.rng.choice(QUEUES),
                    teams[number % len(teams)],
                    tail=f"x?sleep={self.sleep_seconds}&tag={number}",
                    headers={"Galenarill-Timeout-Seconds": "3"},
                )
            except aiohttp.ClientError:
                self.outcomes.append((began_at, vm, "broken", "", ""))
                await asyncio.sleep(0.05)
                continue
            answer = json.loads(data)
            if status == 200:
                assert answer["tag"] == str(number), "somebody else's answer"
            self.outcomes.append(
                (
                    began_at,
                    vm,
                    status,
                    answer.get("run", ""),
                    headers.get("Galenarill-Request-Id", ""),
                )
            )
            if status >= 400:
                await asyncio.sleep(0.05)

    async def stop(self):
        self.is_stopped = True
        await asyncio.gather(*self.tasks)

    def assert_no_request_ran_twice(self):
        """Assert at most one execution per request; none is idempotent."""
        counts = collections.Counter(
            execution.request
            for server in self.fleet.servers.values()
            for execution in server.executions
        )
        twice = [request for request, n in counts.items() if n > 1]
        assert not twice, twice


def test_entry_vm_killed_under_load():
    run_with_fleet(_entry_vm_killed, entry_vms_per_zone=2)


async def _entry_vm_killed(fleet):
    load = Load(fleet)
    await asyncio.sleep(2)
    statuses = await fleet.statuses()
    # Kill the zone's scheduler: losing it has the largest effect.
    victim = statuses["entry-az-a-1"]["schedulers"]["az-a"]
    await fleet.stop_entry_vm(victim, signal.SIGKILL)
    load.vms = [vm for vm in fleet.entry_vms if vm != victim]
    await asyncio.sleep(8)
    await fleet.start_entry_vm(victim)
    await asyncio.sleep(8)
    load.vms = list(fleet.entry_vms)
    await asyncio.sleep(2)
    since = time.monotonic()
    await asyncio.sleep(3)
    await load.stop()
    load.assert_no_request_ran_twice()
    assert_limits_held(fleet)
    after_restart = [o for o in load.outcomes if o[0] > since]
    answered = sum(o[2] == 200 for o in after_restart)
    assert answered >= 0.99 * len(after_restart), collections.Counter(
        o[2:4] for o in after_restart
    )


def test_zone_cut_off_serves_on():
    run_with_fleet(_partitioned_zone, entry_vms_per_zone=2, with_proxies=True)


async def _partitioned_zone(fleet):
    load = Load(fleet, callers=24)
    await asyncio.sleep(2)
    fleet.set_zone_fault("az-c", Fault.HALF_OPEN)
    # Wait for the links' idle timeout and for requests in progress to end.
    await asyncio.sleep(6)
    since = time.monotonic()
    await asyncio.sleep(6)
    until = time.monotonic()
    status, _ = await fleet.admin(
        "POST",
        "settings",
        "entry-az-c-1",
        json={
            "edits": [{"path": ["queues", "orders", "max_waiting"], "value": 9}]
        },
    )
    assert status == 503, "a zone that is cut off has no control path"
    fleet.set_zone_fault("az-c", Fault.NONE)
    await asyncio.sleep(4)
    await load.stop()
    load.assert_no_request_ran_twice()
    assert_limits_held(fleet)
    during_partition = [o for o in load.outcomes if since < o[0] < until]
    for zone in fleet.zones:
        in_zone = [
            o for o in during_partition if fleet.entry_vms[o[1]].az == zone
        ]
        answered = sum(o[2] == 200 for o in in_zone)
        assert in_zone and answered >= 0.99 * len(in_zone), (
            zone,
            collections.Counter(o[2:4] for o in in_zone),
        )
    statuses = await fleet.statuses()
    assert len({s["version"] for s in statuses.values()}) == 1


def test_withdrawn_key_at_an_isolated_vm():
    run_with_fleet(_isolated_vm, entry_vms_per_zone=2, with_proxies=True)


async def _isolated_vm(fleet):
    isolated = "entry-az-b-2"
    fleet.set_vm_fault(isolated, Fault.HALF_OPEN)
    key_id = fleet.keys["shopping"].split("_")[1]
    began_at = time.monotonic()
    status, _ = await fleet.admin(
        "POST", f"keys/{key_id}/withdrawal", "entry-az-a-1", json={}
    )
    assert status == 200
    waiting = set(fleet.entry_vms)
    while waiting:
        assert time.monotonic() < began_at + 5, f"still works at {waiting}"
        for vm in list(waiting):
            status, _, data = await fleet.submit(vm, "render", "shopping")
            if status in (401, 503):
                assert json.loads(data)["run"] == "not-run"
                waiting.discard(vm)
    # The isolated VM rejects requests with any key; open queues still serve.
    status, _, _ = await fleet.submit(isolated, "render", "municipal")
    assert status == 503
    assert not await fleet.is_ready(isolated)
    fleet.set_vm_fault(isolated, Fault.NONE)
    await eventually(
        lambda: fleet.is_ready(isolated), 15, "the VM is ready again"
    )
    status, _, _ = await fleet.submit(isolated, "render", "shopping")
    assert status == 401


def test_request_id_runs_at_most_once_despite_faults():
    run_with_fleet(
        _request_id_despite_faults, entry_vms_per_zone=2, with_proxies=True
    )


async def _request_id_despite_faults(fleet):
    rng = random.Random(11)
    vms = list(fleet.entry_vms)
    ids = []
    for round_ in range(6):
        victim = rng.choice(vms)
        fault = rng.choice([Fault.RESET, Fault.DROP_ANSWERS, Fault.HALF_OPEN])
        sender = rng.choice([vm for vm in vms if vm != victim])
        batch = await _issue_request_ids(fleet, sender)
        ids += batch
        sends = [
            asyncio.create_task(
                _resend_until_answered(fleet, rng, vms, request_id)
            )
            for request_id in batch
        ]
        await asyncio.sleep(rng.uniform(0, 0.2))
        if round_ % 2:
            await fleet.stop_entry_vm(victim, signal.SIGKILL)
            await fleet.start_entry_vm(victim)
        else:
            fleet.set_vm_fault(victim, fault)
            await asyncio.sleep(2)
            fleet.set_vm_fault(victim, Fault.NONE)
        await asyncio.gather(*sends)
    counts = {i: len(executions(fleet, i)) for i in ids}
    assert all(n <= 1 for n in counts.values()), counts
    assert sum(counts.values()) >= 0.5 * len(ids)


async def _issue_request_ids(fleet, vm):
    """Return ten new request ids of an entry VM that may just be starting."""
    url = f"http://{fleet.entry_vms[vm].callers}/v1/request-ids?count=10"
    ids = []

    async def issued():
        try:
            async with fleet.session.post(url) as response:
                ids.extend((await response.json())["request_ids"])
        except aiohttp.ClientConnectorError:
            return False
        return True

    await eventually(issued, 15, f"{vm} issues request ids")
    return ids


async def _resend_until_answered(fleet, rng, vms, request_id):
    """Resend to random entry VMs, as callers do after a lost response."""
    for _ in range(6):
        try:
            status, _, data = await fleet.submit(
                rng.choice(vms),
                "orders",
                "municipal",
                tail="x?sleep=0.1",
                headers={
                    "Galenarill-Request-Id": request_id,
                    "Galenarill-Timeout-Seconds": "4",
                },
            )
        except aiohttp.ClientError:
            continue
        if status == 200:
            return
        if json.loads(data)["run"] == "not-run":
            # The request has not run so far; a later resend may still run it.
            assert status in (401, 503), data
        await asyncio.sleep(0.2)


def test_graceful_shutdown_completes_all_requests():
    run_with_fleet(_graceful_shutdown, entry_vms_per_zone=2)


async def _graceful_shutdown(fleet):
    leaving = "entry-az-a-1"
    vms = [vm for vm in fleet.entry_vms if vm != leaving]
    load = Load(fleet, vms=list(fleet.entry_vms), sleep_seconds=0.5)
    await asyncio.sleep(2)
    long_request = asyncio.create_task(
        fleet.submit(leaving, "render", "municipal", tail="x?sleep=6")
    )
    await asyncio.sleep(0.5)
    process = fleet.entry_vms[leaving].process
    process.send_signal(signal.SIGTERM)
    # A load balancer sees the readiness change at once, but stops sending
    # with a delay.
    await eventually(
        lambda: _is_unready(fleet, leaving), 1.0, "readiness is withdrawn"
    )
    load.vms = vms
    status, _, _ = await long_request
    assert status == 200
    assert await asyncio.wait_for(process.wait(), 20) == 0
    await load.stop()
    broken = [o for o in load.outcomes if o[2] == "broken" or o[3] == "unknown"]
    assert not broken, broken[:5]
    load.assert_no_request_ran_twice()


async def _is_unready(fleet, vm):
    return not await fleet.is_ready(vm)


def test_backend_servers_leave_and_return():
    run_with_fleet(_leaving_and_returning_servers)


async def _leaving_and_returning_servers(fleet):
    limited = fleet.servers["render-b1"]
    limited.connections = 12
    await asyncio.sleep(3)
    limited.most_running = limited.most_connections = 0
    load = Load(fleet, callers=30)
    await asyncio.sleep(1)
    leaving = fleet.servers["render-a1"]
    unannounced = fleet.servers["orders-b1"]
    restarting = fleet.servers["proofs-c1"]
    leaving.is_leaving = True
    unannounced.announcements_paused = True
    await restarting.restart()
    await asyncio.sleep(4.5)
    counts = [len(s.executions) for s in (leaving, unannounced)]
    await asyncio.sleep(2)
    assert [len(s.executions) for s in (leaving, unannounced)] == counts
    leaving.is_leaving = unannounced.announcements_paused = False
    before = [len(s.executions) for s in (leaving, unannounced, restarting)]
    await asyncio.sleep(5)
    await load.stop()
    after = [len(s.executions) for s in (leaving, unannounced, restarting)]
    assert all(b < a for b, a in zip(before, after, strict=True)), after
    load.assert_no_request_ran_twice()
    assert_limits_held(fleet)
    for server in fleet.servers.values():
        assert server.most_connections <= server.connections, server.vm
    assert limited.most_running <= 6
