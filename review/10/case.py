"""A job is cancelled whose submission waits in a frozen gateway."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import tempfile
import time

import aiohttp

from review.support_2.clients import HOST, PREFIX, Caller
from review.support_2.system import (
    BOUNDS,
    BROKEN,
    HELD,
    NOT_RUN,
    Record,
    System,
    run_case,
)
from review.support_2.workers import MachineApi, Worker

FOLDER = pathlib.Path(__file__).parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FREEZE_SECONDS = 5.0
# The callers leave before their deadline of 3 s.
GIVE_UP_SECONDS = 1.0
# A gateway that wakes reconnects first, which takes about as long as it lets
# a request wait, so not every freeze shows the fault.
ROUNDS = 5
# As on the site: with the three core machines, one of them is a share of 0.1.
GATEWAYS = 7
JOBS_PER_ROUND = 3


def configuration(version: int) -> dict:
    """Return a configuration with one queue."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-tyiikdr",
                "host": HOST,
                "path_prefix": PREFIX,
                "kind": "unsafe",
                "timeout_ms": 3000,
                "slo_ms": 600,
                "priority": 0,
                "service": "huvo11a",
                "max_attempts": 3,
                "stretch": 1.6,
                "public": False,
            }
        ],
        "services": [
            {"name": "huvo11a", "admission_check": True, "spare": False}
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
        "tenants": [
            {
                "name": "cugo130",
                "api_keys": ["key-1"],
                "weight": 17,
                "upper_limit": {"cpu": 0, "mem_mb": 0, "gpu": 0},
            }
        ],
    }


def job() -> dict:
    """Return a job of two short tasks."""
    return {
        "spec": '{"cpu": 880, "ms": 1000}',
        "steps": [{"count": 2, "cpu": 880, "mem_mb": 256, "estimate_ms": 900}],
    }


async def submit_and_give_up(caller, record, address: str, job_id: str) -> None:
    """Hand a job in at one gateway, and leave without an answer."""
    record(f"POST {job_id} to {address}")
    try:
        async with asyncio.timeout(GIVE_UP_SECONDS):
            status, _ = await caller.call(
                "POST",
                address,
                PREFIX + job_id,
                job(),
                Host=HOST,
                Authorization="Bearer key-1",
                **{"X-Galenarill-Deadline-Ms": "3000"},
            )
        record(f"POST {job_id} answered {status}")
    except TimeoutError:
        record(f"POST {job_id} has no answer, the caller leaves")


async def cancel(caller, record, address: str, job_id: str) -> float | None:
    """Cancel a job; return when that was acknowledged, or None."""
    for _ in range(20):
        status, _ = await caller.call(
            "DELETE",
            address,
            PREFIX + job_id,
            Host=HOST,
            Authorization="Bearer key-1",
        )
        record(f"DELETE {job_id} answered {status}")
        if status == 410 or 200 <= status < 300:
            return time.monotonic()
        await asyncio.sleep(0.2)
    return None


async def play_round(
    system, caller, record, number: int, jobs: list[str]
) -> dict[str, float | None]:
    """Freeze a gateway while jobs are handed in there, and cancel them.

    Returns:
        When the cancelling of each job was acknowledged, or None.
    """
    first = system.front_addresses[number]
    second = system.front_addresses[1 - number]
    frozen = system.processes[system.fronts[number]]
    frozen_at = time.monotonic()
    if TROUBLE:
        frozen.send_signal(signal.SIGSTOP)
        record(f"{first} is frozen")
    await asyncio.gather(
        *(submit_and_give_up(caller, record, first, job_id) for job_id in jobs)
    )
    acknowledged_at = {
        job_id: await cancel(caller, record, second, job_id) for job_id in jobs
    }
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_SECONDS - time.monotonic()))
    if TROUBLE:
        frozen.send_signal(signal.SIGCONT)
        record(f"{first} wakes")
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + 1)
    return acknowledged_at


async def run(system, stack, record) -> int:
    """Play the case and return the exit code."""
    session = await stack.enter_async_context(
        aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.5))
    )
    workers = [
        Worker(
            f"i-{n}",
            "huvo11a",
            system.worker_ip,
            lambda: system.controls,
            record,
        )
        for n in range(3)
    ]
    cloud = MachineApi(system.cloud_ip, workers)
    await cloud.start()
    stack.push_async_callback(cloud.stop)
    system.cloud_address = cloud.address
    stack.push_async_callback(system.stop_all)
    await system.start_all()
    for worker in workers:
        await worker.start(session)
        stack.push_async_callback(worker.stop)
    caller = Caller(session, system, record)
    status, *_ = await caller.operate(
        "PUT", "/galenarill/config", configuration(1)
    )
    record(f"PUT config 1 answered {status}")
    sound = f"{0xB000000000000000:016x}"
    if status != 200 or await caller.submit(sound, job()) != 200:
        return NOT_RUN
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + 1)

    acknowledged_at: dict[str, float | None] = {}
    for number in range(ROUNDS):
        jobs = [
            f"{0xA000000000000000 + number * 0x100 + job_number:016x}"
            for job_number in range(JOBS_PER_ROUND)
        ]
        acknowledged_at |= await play_round(
            system, caller, record, number % 2, jobs
        )

    if None in acknowledged_at.values():
        return NOT_RUN
    late = 0
    for worker in workers:
        for started_at, task, _ in worker.starts:
            job_id = task.partition(".")[0]
            if job_id not in acknowledged_at:
                continue
            seconds = started_at - acknowledged_at[job_id]
            record(f"{task} started {seconds:.3f} s after the cancelling")
            late += seconds > BOUNDS["cancel_ms"] / 1000
    for job_id in acknowledged_at:
        status, answer = await caller.job("GET", job_id)
        record(f"GET {job_id} answered {status} {answer.get('state', '')}")
    record(f"{late} tasks started over cancel_ms after the cancelling")
    return BROKEN if late else HELD


async def main() -> int:
    """Play the case in a temporary folder and return the exit code."""
    record = Record(FOLDER / "record.txt")
    record(f"trouble: {TROUBLE}")
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        system = System(pathlib.Path(folder), record, GATEWAYS)
        try:
            async with asyncio.timeout(115):
                code = await run(system, stack, record)
        except TimeoutError:
            record("out of time")
            code = NOT_RUN
    record(f"exit code {code}")
    return code


if __name__ == "__main__":
    sys.exit(run_case(main))
