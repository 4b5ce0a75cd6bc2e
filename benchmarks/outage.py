"""Success rates while a zone is partitioned and after a scheduler is killed."""

import asyncio
import json
import pathlib
import random
import signal
import tempfile
import time

import aiohttp

from benchmarks.figures import print_result
from benchmarks.fleets import BASE, SITE, start_servers
from standins.fleet import LocalFleet
from standins.proxy import Fault

REQUESTS_PER_SECOND = 80.0
WORK_SECONDS = 0.2
CUT_SECONDS = 60.0
QUEUES = ("orders", "render", "proofs", "batch", "registers")
# A request that takes longer than its work plus this delay is disturbed.
MAX_DELAY_SECONDS = 0.5


async def run() -> None:
    """Print the share of answered requests and the recovery times."""
    with tempfile.TemporaryDirectory(prefix="galenarill-") as folder:
        fleet = LocalFleet(
            pathlib.Path(folder),
            BASE,
            SITE,
            entry_vms_per_zone=2,
            with_proxies=True,
            with_servers=False,
        )
        servers = await start_servers(fleet)
        try:
            async with fleet:
                await asyncio.sleep(4)
                await _cut_zone(fleet)
                await asyncio.sleep(5)
                await _kill_scheduler(fleet)
        finally:
            for process in servers:
                process.kill()
                await process.wait()


class _LoadGenerator:
    """Sends requests with Poisson arrivals to the entry VMs in `vms`.

    Attributes:
        vms: Entry VMs that receive requests.
        outcomes: Start time, entry VM, status and duration of each request. The
            status is -1 after a connection error, and -2 for a 503 that doesn't
            guarantee that the request was not run.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.vms = list(fleet.entry_vms)
        self.outcomes: list[tuple[float, str, int, float]] = []
        self._rng = random.Random(3)
        self._calls: set[asyncio.Task] = set()
        self._task = asyncio.create_task(self._send_forever())

    async def stop(self) -> None:
        """Stop sending and wait for the requests in flight."""
        self._task.cancel()
        await asyncio.gather(*self._calls)

    async def _send_forever(self) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(REQUESTS_PER_SECOND))
            task = asyncio.create_task(self._send())
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def _send(self) -> None:
        vm = self._rng.choice(self.vms)
        team = self._rng.choice(list(self.fleet.keys))
        began_at = time.monotonic()
        try:
            status, _, data = await self.fleet.submit(
                vm,
                self._rng.choice(QUEUES),
                team,
                tail=f"x?sleep={WORK_SECONDS}",
                headers={"Galenarill-Timeout-Seconds": "5"},
            )
            if status == 503 and json.loads(data)["run"] != "not-run":
                status = -2
        except aiohttp.ClientError:
            status = -1
        seconds = time.monotonic() - began_at
        self.outcomes.append((began_at, vm, status, seconds))

    def print_outcomes(self, name: str, since: float, until: float) -> None:
        """Print the outcomes of requests sent between `since` and `until`."""
        sent = [o for o in self.outcomes if since <= o[0] < until]
        answered = sum(o[2] == 200 for o in sent)
        print_result(f"{name}_requests", len(sent), "1")
        print_result(f"{name}_answered", 100 * answered / len(sent), "%")
        unknown = sum(o[2] not in (200, 503, 429) for o in sent)
        print_result(f"{name}_unknown_or_broken", unknown, "1")

    def print_recovery(self, name: str, since: float) -> None:
        """Print how long after `since` the last disturbed request was sent."""
        disturbed = [
            began_at - since
            for began_at, _, status, seconds in self.outcomes
            if began_at >= since
            and (status != 200 or seconds > WORK_SECONDS + MAX_DELAY_SECONDS)
        ]
        print_result(f"{name}_disturbed_requests", len(disturbed), "1")
        print_result(
            f"{name}_until_undisturbed", max(disturbed, default=0.0), "s"
        )


async def _cut_zone(fleet) -> None:
    load = _LoadGenerator(fleet)
    await asyncio.sleep(3)
    began_at = time.monotonic()
    fleet.set_zone_fault("az-c", Fault.HALF_OPEN)
    await asyncio.sleep(CUT_SECONDS)
    fleet.set_zone_fault("az-c", Fault.NONE)
    healed_at = time.monotonic()
    await asyncio.sleep(10)
    await load.stop()
    load.print_outcomes("zone_cut", began_at, healed_at)
    load.print_outcomes("zone_cut_first_10_s", began_at, began_at + 10)
    load.print_recovery("zone_heal", healed_at)


async def _kill_scheduler(fleet) -> None:
    load = _LoadGenerator(fleet)
    await asyncio.sleep(3)
    statuses = await fleet.statuses()
    scheduler_vm = statuses["entry-az-a-1"]["schedulers"]["az-a"]
    # A load balancer's health checks would do this after a delay.
    load.vms.remove(scheduler_vm)
    began_at = time.monotonic()
    await fleet.stop_entry_vm(scheduler_vm, signal.SIGKILL)
    await asyncio.sleep(15)
    await load.stop()
    load.print_outcomes("entry_vm_killed", began_at, began_at + 15)
    load.print_recovery("entry_vm_killed", began_at)
