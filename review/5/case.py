"""A gateway freezes with calls on their way while their key is taken away."""

import asyncio
import pathlib
import signal
import time

from review.support.case import HOST, KEY, PREFIX, configuration, main
from review.support.system import FRONT_PORT

GATEWAYS = 8
ROUNDS = 4
JOBS = 60
SPREAD_SECONDS = 0.06
FREEZE_AFTER_SECONDS = 0.04
FREEZE_SECONDS = 1.0
KEYS = [KEY, "jbvk9m68k7b2ex5wa5xw"]
TASK = {"count": 1, "cpu": 1, "mem_mb": 1}


async def scenario(case):
    """Freeze a gateway and take a key away before it wakes, four times."""
    await case.set_up(
        {"i-1": {}, "i-2": {}},
        lambda *_: (0.5, "done"),
        gateways=GATEWAYS,
    )
    gateway = case.system.fronts[0]
    attempts = {}

    async def hand_in(key, number):
        await asyncio.sleep(number % JOBS * SPREAD_SECONDS / JOBS)
        job = f"{number:016x}"
        status, _ = await case.callers.call(
            "POST",
            f"http://{gateway}:{FRONT_PORT}{PREFIX}{job}",
            {"spec": "review", "steps": [TASK]},
            {
                "Host": HOST,
                "Authorization": f"Bearer {key}",
                "X-Galenarill-Deadline-Ms": "3000",
            },
        )
        attempts[job] = status
        case.record.note(f"POST {job}: {status}")

    for number in range(ROUNDS):
        calls = [
            asyncio.create_task(hand_in(KEYS[number % 2], number * JOBS + n))
            for n in range(JOBS)
        ]
        await asyncio.sleep(FREEZE_AFTER_SECONDS)
        if case.trouble:
            case.system.signal(gateway, signal.SIGSTOP)
            case.record.note(f"gateway {gateway} freezes")
            frozen_at = time.monotonic()
        # The key is taken away; in the next round clients use the other one.
        replaced = configuration(8 + number)
        replaced["tenants"][0]["api_keys"] = [KEYS[1 - number % 2]]
        if not case.trouble:
            await asyncio.gather(*calls)
        await case.callers.configure(replaced)
        if case.trouble:
            await asyncio.sleep(frozen_at + FREEZE_SECONDS - time.monotonic())
            case.system.signal(gateway, signal.SIGCONT)
            case.record.note(f"gateway {gateway} wakes")
            await asyncio.gather(*calls)
        await asyncio.sleep(4.0)
    begun = {start.task.partition(".")[0] for start in case.starts}
    refused = {
        job
        for job, status in attempts.items()
        if status in (401, 404, 429, 503)
    }
    case.record.note(f"{len(refused)} refused, {len(begun)} begun")
    return [
        f"REFUSED: {job} was handed in once and answered {attempts[job]}, and"
        " its task was started"
        for job in sorted(begun & refused)
    ]


main(scenario, pathlib.Path(__file__).parent)
