"""Comparison of reservation policies by replay.

Run it with `python -m benchmarks.reservations [WORKERS]`. Rates are for 8
workers, and scaled to their number.
"""

import math
import random
import sys

from galenarill.placement import Reservation
from galenarill.routing import Resources
from standins.placement_replay import Replay, Task

LARGE_CPU = 12
PLAY_SECONDS = 30.0
SEEDS = 6
# Arrivals per second, and whether expected durations are rough.
LOADS = (
    (14, False),
    (17, False),
    (20, False),
    (30, False),
    (13, True),
    (16, True),
)


class HoldingReplay(Replay):
    """Holds a whole worker for each task, the one with the most free CPU."""

    def choose(self, waiting, available, running):
        """Return reservations that admit no other task."""
        previous = {r.owner: r.worker for r in self.reserved}
        held: list[Reservation] = []
        free = list(available)
        for candidate in waiting[: len(available)]:
            kept = previous.get(candidate.step_id)
            best = max(
                free, key=lambda w: (w.report.worker == kept, w.free.cpu)
            )
            free.remove(best)
            held.append(
                Reservation(
                    candidate.step_id,
                    best.report.worker,
                    candidate.step.need,
                    -math.inf,
                    Resources(),
                )
            )
        return held


POLICIES = (
    ("none", Replay, 0),
    ("one (EASY)", Replay, 1),
    ("first 8", Replay, 8),
    ("all (conservative)", Replay, 10**6),
    ("held by age", HoldingReplay, 8),
)


def mixed_load(seed, rate, until, is_rough=False):
    """Return small tasks, and a tenth that need most of a worker.

    With `is_rough`, expected durations are off by up to 40%, and a twentieth of
    the tasks run seven times as long.
    """
    rng = random.Random(seed)
    tasks, now = [], 0.0
    while now < until:
        now += rng.expovariate(rate)
        is_large = rng.random() < 0.1
        cpu = rng.choice((LARGE_CPU, 13, 14, 15) if is_large else (2, 3, 4))
        seconds = expected = (
            rng.uniform(1, 4) if is_large else rng.choice((0.6, 1.0, 1.5, 2.5))
        )
        if is_rough:
            expected *= rng.uniform(0.7, 1.4)
            seconds *= 7 if rng.random() < 0.05 else 1
        tasks.append(Task(now, cpu, seconds, expected))
    return tasks


def share_in_time(tasks):
    """Return the share of tasks that started in time, in percent."""
    in_time = sum(t.started_at <= t.latest_start_at for t in tasks)
    return 100 * in_time / len(tasks)


def main() -> None:
    """Print for each load and policy the shares in time and the use."""
    workers = int(sys.argv[1]) if len(sys.argv) > 1 else 8
    for rate, is_rough in LOADS:
        for name, make, limit in POLICIES:
            tasks, use = [], 0.0
            for seed in range(SEEDS):
                load = mixed_load(
                    seed, rate * workers / 8, PLAY_SECONDS, is_rough
                )
                replay = make(load, workers, limit=limit).play(PLAY_SECONDS)
                tasks += replay.tasks
                use += 100 * replay.use / SEEDS
            large = [task for task in tasks if task.cpu >= LARGE_CPU]
            rest = [task for task in tasks if task.cpu < LARGE_CPU]
            print(
                f"{rate:3} {'rough' if is_rough else 'exact'} {name:18}"
                f" large {share_in_time(large):5.1f}"
                f" rest {share_in_time(rest):5.1f}"
                f" all {share_in_time(tasks):5.1f} use {use:5.1f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
