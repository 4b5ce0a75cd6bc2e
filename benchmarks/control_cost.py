"""CPU time, memory and link traffic that an idle entry VM uses."""

import asyncio
import time

from benchmarks.figures import print_result, process_usage
from benchmarks.fleets import read_sent_bytes, reference_fleet

IDLE_SECONDS = 20.0


async def run() -> None:
    """Print the resource usage of eight entry VMs without requests."""
    async with reference_fleet() as (fleet, _):
        await asyncio.sleep(6)
        await _measure(fleet)


async def _measure(fleet) -> None:
    bytes_before = await read_sent_bytes(fleet)
    pids = {v.id: v.process.pid for v in fleet.entry_vms.values()}
    before = {vm: process_usage(pid) for vm, pid in pids.items()}
    began_at = time.monotonic()
    await asyncio.sleep(IDLE_SECONDS)
    seconds = time.monotonic() - began_at
    after = {vm: process_usage(pid) for vm, pid in pids.items()}
    bytes_after = await read_sent_bytes(fleet)
    cores = [
        100 * (after[vm].cpu_seconds - before[vm].cpu_seconds) / seconds
        for vm in pids
    ]
    sent = [(bytes_after[vm] - bytes_before[vm]) / seconds for vm in pids]
    print_result("idle_core_share_max", max(cores), "%")
    print_result("idle_core_share_mean", sum(cores) / len(cores), "%")
    print_result(
        "idle_memory_max", max(u.memory_mib for u in after.values()), "MiB"
    )
    print_result("idle_link_sent_max", max(sent), "B/s")
    print_result("idle_link_sent_mean", sum(sent) / len(sent), "B/s")
