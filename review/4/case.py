"""Two of four workers that a policy allows are lost for good."""

import asyncio
import pathlib

from review.support.case import configuration, main, route
from review.support.platform import (
    DECIDE_MS,
    EACH_MS,
    VALID_MS,
    Policy,
)

EARLIER_JOB = "1d94b36f85c0e7a2"
JOB = "5c0e7a21d94b36f8"
WORKERS = 36
NAMES = [f"i-{number:02}" for number in range(1, WORKERS + 1)]
LOST = NAMES[:2]
LEFT = NAMES[-2:]
TASK = {"count": 1, "cpu": 1000, "mem_mb": 256}
WAIT_SECONDS = 20.0
# `contact_ms` and `max_hold_ms`, and the 3 s of the rule.
LIMIT_SECONDS = 3.0 + 6.0 + 3.0


async def scenario(case):
    """Lose two allowed workers, and hand in a job that two others may run."""
    policy = Policy({*LOST, *LEFT}, case.record)
    first = {name: {} for name in NAMES if name not in LEFT}
    await case.set_up(first, lambda *_: (1.0, "done"), policy)
    await case.add_workers({name: {} for name in LEFT})
    for worker in case.workers.values():
        worker.ticket_of = Policy.ticket
    advice = {"decide_ms": DECIDE_MS, "each_ms": EACH_MS, "valid_ms": VALID_MS}
    await case.callers.configure(configuration(5, [route(advice=advice)]))
    await asyncio.sleep(3.0)
    await case.submit(EARLIER_JOB, [TASK])
    await case.until(lambda: case.starts, 10, "a start of the earlier job")
    await asyncio.sleep(3.0)
    if case.trouble:
        for name in LOST:
            case.workers[name].crash()
        await asyncio.sleep(LIMIT_SECONDS)
    status = await case.submit(JOB, [TASK])
    if status != 200:
        return [f"the job was not accepted: {status}"]
    await asyncio.sleep(WAIT_SECONDS)
    status, state = await case.state(JOB)
    if any(start.task.startswith(JOB) for start in case.starts):
        return []
    return [
        f"LOST: {JOB} is answered {status} {state}, and had nothing running for"
        f" {WAIT_SECONDS} s while {LEFT}, which may run it, were idle"
    ]


main(scenario, pathlib.Path(__file__).parent)
