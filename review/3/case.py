"""A version gives a queue's host and prefix to a route of another name."""

import asyncio
import pathlib
import time

from review.support.case import configuration, main, route

JOB = "5c0e7a21d94b36f8"
LATER_JOB = "1d94b36f85c0e7a2"
STEP_SECONDS = 5.0
WAIT_SECONDS = 20.0
# LOST: "for 3 s, a job has nothing running while a task's turn has come".
IDLE_SECONDS = 3.0
# `config_apply_ms` and `contact_ms` of the small deployments.
GRACE_SECONDS = 2.0 + 3.0
TASK = {"count": 1, "cpu": 1000, "mem_mb": 256}


async def scenario(case):
    """Change the name of the route while the job's first step runs."""
    await case.set_up({"i-1": {}, "i-2": {}}, lambda *_: (STEP_SECONDS, "done"))
    status = await case.submit(JOB, [TASK, TASK | {"depends_on": [0]}])
    if status != 200:
        return [f"the job was not accepted: {status}"]
    await case.until(lambda: case.starts, 10, "a start")
    if case.trouble:
        renamed = configuration(8, [route(name="r-bkf83fg")])
        await case.callers.configure(renamed)
    await case.until(
        lambda: case.starts[0].taken_at is not None, 15, "the first end"
    )
    turn_at = time.monotonic()
    # The queue works: a job of the same caller at the same path runs.
    later = await case.submit(LATER_JOB, [TASK])
    await asyncio.sleep(WAIT_SECONDS)
    status, state = await case.state(JOB)
    _, later_state = await case.state(LATER_JOB)
    case.record.note(f"later job: accepted {later}, {later_state}")
    second = [s for s in case.starts if s.task.startswith(f"{JOB}.0.1.")]
    waited = (second[0].begun_at if second else time.monotonic()) - turn_at
    breaks = []
    if status == 410 or state in ("failed", "canceled"):
        breaks.append(f"LOST: {JOB} is answered {status} {state}")
    if waited > GRACE_SECONDS + IDLE_SECONDS:
        breaks.append(
            f"LOST: {JOB} is answered {status} {state}, and had nothing running"
            f" for {waited:.1f} s while its second step was ready and all"
            " workers were idle"
        )
    return breaks


main(scenario, pathlib.Path(__file__).parent)
