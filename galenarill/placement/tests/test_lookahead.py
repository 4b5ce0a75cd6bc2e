"""Placement that uses the expected ends of runs."""

import math
import random

from galenarill.jobs import Step, TaskKey
from galenarill.placement import Candidate, Packer
from galenarill.placement.tests.replay import Replay, Task, worker
from galenarill.routing import Resources


def burst(seed):
    """Return a burst of 5 s, and a twentieth of it for 10 s."""
    rng = random.Random(seed)
    return [
        Task(
            rng.uniform(0, 5) if number % 10 else rng.uniform(5, 15),
            rng.choice((2, 3, 5)),
            rng.choice((0.5, 0.8, 1.2, 4.0, 6.0)),
        )
        for number in range(200)
    ]


def test_workers_fall_idle_sooner_than_with_best_fit_alone():
    """Guards against machines that one long task keeps from moving."""
    idle = {False: 0, True: 0}
    for seed in range(10):
        for looks_ahead in idle:
            played = Replay(burst(seed), 16, looks_ahead).play(15)
            assert not played.waiting()
            idle[looks_ahead] += sum(played.idle[100:])
    assert idle[True] > idle[False]


def place(step, available, ends_at):
    packer = Packer({"p": available}, {})
    candidate = Candidate("j", TaskKey(0, 0, 0), step, "p", "t")
    candidate.ends_at = ends_at
    ((_, incarnation),) = packer.place(candidate).members
    return incarnation.worker


def test_a_task_extends_the_busy_time_of_a_worker_least():
    available = [
        worker("w1", free=9, idle_at=1.0),
        worker("w2", free=12, idle_at=4.0),
        worker("w3", free=10, idle_at=3.9),
        worker("w4", idle_at=math.inf),
    ]
    step = Step(1, Resources(8))
    # A task whose end isn't known goes to the worker with the least free CPU.
    assert place(step, available, -math.inf) == "w1"
    assert place(step, available, math.inf) == "w4"
    assert place(step, available[:3], 4.0) == "w3"


def test_placed_tasks_count_for_the_next_one():
    """Guards against a round that spreads equal tasks over idle workers."""
    packer = Packer({"p": [worker("w1", 4), worker("w2")]}, {})
    placed = []
    for cpu in (5, 3):
        candidate = Candidate(
            "j", TaskKey(0, 0, cpu), Step(9, Resources(cpu)), "p", "t"
        )
        candidate.ends_at = 5.0
        placed.append(packer.place(candidate).members[0][1].worker)
    assert placed == ["w2", "w2"]
