"""Latency, commit rate, recovery time and size of the replicated log."""

import asyncio
import pathlib
import random
import tempfile
import time

from benchmarks.figures import median, print_result, quantile
from benchmarks.fleets import reference_fleet
from galenarill.consensus import Entry, EntryKind, open_journal
from galenarill.state import (
    Change,
    Edit,
    EditSettings,
    encode_change,
)

CHANGE_COUNT = 60
BATCH_SIZE = 100


async def run() -> None:
    """Print the results for one journal and for a whole fleet."""
    _measure_commits()
    await _measure_fleet()


def _make_entries(count: int) -> list[Entry]:
    edit = Edit(("queues", "orders", "max_waiting"), 7)
    command = EditSettings((edit,))
    return [
        Entry(
            index,
            1,
            EntryKind.COMMAND,
            encode_change(Change(f"c{index}", "ana", 0.0, -1, command)),
        )
        for index in range(1, count + 1)
    ]


def _measure_commits() -> None:
    """Compare the commit rates with one sync per entry and per batch."""
    entries = _make_entries(1000)
    with tempfile.TemporaryDirectory(prefix="galenarill-") as folder:
        journal, _ = open_journal(pathlib.Path(folder) / "single")
        began_at = time.perf_counter()
        for entry in entries:
            journal.append(None, [entry])
        single_rate = len(entries) / (time.perf_counter() - began_at)
        size = journal.size
        journal.close()
        journal, _ = open_journal(pathlib.Path(folder) / "batch")
        began_at = time.perf_counter()
        for start in range(0, len(entries), BATCH_SIZE):
            journal.append(None, entries[start : start + BATCH_SIZE])
        batch_rate = len(entries) / (time.perf_counter() - began_at)
        journal.close()
        began_at = time.perf_counter()
        open_journal(pathlib.Path(folder) / "single")[0].close()
        print_result("log_open_1000", time.perf_counter() - began_at, "s")
    print_result("log_commits_sync_each", single_rate, "1/s")
    print_result("log_commits_sync_each_100", batch_rate, "1/s")
    print_result("log_size_1000_changes", size, "B")


async def _measure_fleet() -> None:
    """Measure how long a change takes to be applied at every entry VM."""
    async with reference_fleet(with_servers=False) as (fleet, _):
        await _measure_changes(fleet)


async def _measure_changes(fleet) -> None:
    rng = random.Random(1)
    delays = []
    for number in range(CHANGE_COUNT):
        path = ["queues", "orders", "max_waiting"]
        body = {"edits": [{"path": path, "value": number}]}
        began_at = time.perf_counter()
        vm = rng.choice(list(fleet.entry_vms))
        _, response = await fleet.admin("POST", "settings", vm, json=body)
        version = response["version"]
        await asyncio.gather(
            *(_wait_version(fleet, vm, version) for vm in fleet.entry_vms)
        )
        delays.append(time.perf_counter() - began_at)
    print_result("change_everywhere_p50", median(delays) * 1000, "ms")
    print_result("change_everywhere_p99", quantile(delays, 0.99) * 1000, "ms")


async def _wait_version(fleet, vm: str, version: int) -> None:
    while True:
        _, status = await fleet.admin("GET", "status", vm)
        if status["version"] >= version:
            return
        await asyncio.sleep(0.005)
