"""A tenant's limit is lowered, and what becomes of a task that still fits."""

import asyncio

from review.support_3.deployment import CannotRunError, run_case

LASTING_JOB = "5c0e7a21d94b3a00"
JOB = "5c0e7a21d94b3a01"
KINDS = ["a"] * 6
LASTING_CPU = 4000
TASK_CPU = 7000
LIMIT_CPU = 10000
# `config_apply_ms`.
APPLY_SECONDS = 2.0
WATCHED_SECONDS = 30.0
# Time after the last submission from which on the rule is checked, `finish_s`.
FINISH_SECONDS = 14.0
# A job may have nothing running for this long under the conditions of the rule.
IDLE_SECONDS = 3.0


async def _case(deployment, has_trouble):
    def plan(task, worker):
        _, step = deployment.first_step_of(task)
        work_ms = float("inf") if step.get("long_running") else 1000.0
        return step["cpu"], work_ms, "done"

    await deployment.start(plan)
    lasting = {
        "count": 1,
        "cpu": LASTING_CPU,
        "mem_mb": 512,
        "long_running": True,
    }
    step = {"count": 1, "cpu": TASK_CPU, "mem_mb": 512, "estimate_ms": 1000}
    if await deployment.submit(LASTING_JOB, [lasting]) != 200:
        raise CannotRunError("the lasting job was not accepted")
    await asyncio.sleep(1.0)
    if has_trouble and not await deployment.put_configuration(4, LIMIT_CPU):
        raise CannotRunError("the configuration was not acknowledged")
    await asyncio.sleep(APPLY_SECONDS)
    if await deployment.submit(JOB, [step]) != 200:
        raise CannotRunError("the job was not accepted")
    idle_seconds = 0.0
    for second in range(int(WATCHED_SECONDS)):
        await asyncio.sleep(1.0)
        await deployment.state_of(JOB)
        if JOB in deployment.jobs_begun:
            return ""
        used = sum(w.used_cpu() for w in deployment.workers.values())
        room = sum(
            w.cpu - w.used_cpu() >= TASK_CPU
            for w in deployment.workers.values()
        )
        total = sum(w.cpu for w in deployment.workers.values())
        deployment.note(
            "not begun", tenant_uses=used, room_for=room, capacity=total
        )
        is_owed = (
            second >= FINISH_SECONDS
            and used < LIMIT_CPU / 2
            and room >= 2
            and used < total / 2
        )
        idle_seconds = idle_seconds + 1.0 if is_owed else 0.0
    if idle_seconds > IDLE_SECONDS:
        return f"LOST: nothing of an accepted job ran for {idle_seconds:.0f} s"
    return ""


if __name__ == "__main__":
    run_case(_case, KINDS, __file__)
