"""A worker's DELETE is read late, after it has started again under its id."""

import asyncio
import pathlib
import time

from review.support.case import main, parallel_runs
from review.support.cut import CutPath

JOB = "5c0e7a21d94b36f8"
WORKERS = 6
COORDINATORS = 4
TASK_SECONDS = 9.0
CUT_SECONDS = 4.0
LEAVE_SECONDS = 2.0


async def scenario(case):
    """Cut one path while a worker leaves and starts again."""
    await case.set_up(
        {f"i-{number}": {} for number in range(1, WORKERS + 1)},
        lambda *_: (TASK_SECONDS, "done"),
        coordinators=COORDINATORS,
    )
    leader = await case.system.leader(case.session)
    follower = next(ip for ip in case.system.cores if ip != leader)
    path = CutPath(f"{follower}:8345")
    await path.listen()
    worker = case.workers["i-1"]
    worker.reroute(f"{follower}:8345", path.address)
    await worker.drain()
    await asyncio.sleep(LEAVE_SECONDS)
    if case.trouble:
        case.record.note(f"i-1 is cut off from coordinator {follower}")
        path.cut()
    cut_at = time.monotonic()
    await worker.leave()
    await asyncio.sleep(0.5)
    # Its heartbeats go to the control that acknowledged the DELETE.
    worker.control = f"{leader}:8345"
    worker.begin()
    await asyncio.sleep(0.7)
    status = await case.submit(JOB, [{"count": 4, "cpu": 5000, "mem_mb": 256}])
    if status != 200:
        return [f"the job was not accepted: {status}"]
    await case.until(lambda: len(case.starts) >= 4, 5, "four starts")
    used = {start.worker for start in case.starts}
    case.record.note(f"at work on {sorted(used)}")
    await asyncio.sleep(max(0, cut_at + CUT_SECONDS - time.monotonic()))
    if case.trouble:
        path.heal()
        case.record.note("the cut heals")
    await asyncio.sleep(2 * TASK_SECONDS + 2)
    await case.state(JOB)
    await path.close()
    return parallel_runs(case.starts)


main(scenario, pathlib.Path(__file__).parent)
