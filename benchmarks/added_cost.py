"""Cost of galenarill compared with a plain proxy to the same server."""

import asyncio
import json
import pathlib
import sys
import tempfile
import time

import aiohttp

from benchmarks.figures import median, print_result, process_usage, quantile
from standins.fleet import LocalFleet, free_port

BASE = pathlib.Path("examples/base.toml")
SITE = pathlib.Path("examples/printworks/site.toml")
MEASURE_SECONDS = 3.0
ROUNDS = 3
CALLERS = 32


async def _measure_latencies(
    url: str, headers: dict, callers: int
) -> list[float]:
    """Send requests from concurrent callers and return the latencies."""
    latencies = []
    end = time.perf_counter() + MEASURE_SECONDS
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:

        async def call() -> None:
            while time.perf_counter() < end:
                began_at = time.perf_counter()
                async with session.post(
                    url, data=b"x" * 200, headers=headers
                ) as response:
                    await response.read()
                    if response.status != 200:
                        raise RuntimeError(
                            f"{url}: HTTP status {response.status}"
                        )
                latencies.append(time.perf_counter() - began_at)

        await asyncio.gather(*(call() for _ in range(callers)))
    return latencies


async def _measure(url, headers, pid, callers):
    before = process_usage(pid).cpu_seconds
    latencies = await _measure_latencies(url, headers, callers)
    cpu = process_usage(pid).cpu_seconds - before
    return (
        len(latencies) / cpu,
        len(latencies) / MEASURE_SECONDS,
        median(latencies) * 1000,
        quantile(latencies, 0.99) * 1000,
    )


async def run() -> None:
    """Print throughput and latency of galenarill, and ratios to the proxy."""
    with tempfile.TemporaryDirectory(prefix="galenarill-") as folder:
        fleet = LocalFleet(
            pathlib.Path(folder),
            BASE,
            SITE,
            zones=("az-a",),
            with_servers=False,
        )
        entry = next(iter(fleet.entry_vms.values()))
        port = free_port()
        config = {
            "entry_vms": [entry.callers],
            "slots": 64,
            "vms": [{"id": "render-a1", "pool": "render", "port": port}],
        }
        async with fleet:
            echo = await spawn("standins.echo", json.dumps(config))
            proxy_port = free_port()
            proxy = await spawn(
                "standins.passthrough", str(proxy_port), f"127.0.0.1:{port}"
            )
            try:
                await _raise_upper_limit(fleet)
                await asyncio.sleep(4)
                await _compare(fleet, entry, proxy, proxy_port)
            finally:
                for process in (echo, proxy):
                    process.kill()
                    await process.wait()


async def _raise_upper_limit(fleet) -> None:
    """Raise the team's upper limit so that it doesn't limit throughput."""
    path = ["teams", "municipal", "upper_limit"]
    edits = [{"path": path, "value": 600}]
    status, response = await fleet.admin(
        "POST", "settings", json={"edits": edits}
    )
    if status != 200:
        raise RuntimeError(f"upper limit not raised: {response}")


async def _compare(fleet, entry, proxy, proxy_port) -> None:
    key = {"Authorization": f"Bearer {fleet.keys['municipal']}"}
    galenarill_url = f"http://{entry.callers}/v1/queues/render/work"
    proxy_url = f"http://127.0.0.1:{proxy_port}/work"
    for callers in (CALLERS, 1):
        pairs = []
        for _ in range(ROUNDS):
            galenarill_result = await _measure(
                galenarill_url, key, entry.process.pid, callers
            )
            proxy_result = await _measure(proxy_url, {}, proxy.pid, callers)
            pairs.append((galenarill_result, proxy_result))
        name = f"added_cost_{callers}_callers"
        for index, metric, unit in (
            (0, "requests_per_core_second", "1/s"),
            (1, "requests_per_second", "1/s"),
            (2, "p50", "ms"),
            (3, "p99", "ms"),
        ):
            print_result(
                f"{name}_{metric}", median([a[index] for a, _ in pairs]), unit
            )
            print_result(
                f"{name}_{metric}_ratio",
                median([a[index] / b[index] for a, b in pairs]),
                "x",
            )


async def spawn(module: str, *args: str) -> asyncio.subprocess.Process:
    """Start a module of `standins` as a process with piped input and output."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *args,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=64 * 1024 * 1024,
    )
