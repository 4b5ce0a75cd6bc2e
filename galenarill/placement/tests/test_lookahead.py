"""Placement that uses the expected ends of runs."""

import math
import random

import pytest

from galenarill.jobs import GANG, Step, TaskKey
from galenarill.placement import (
    Candidate,
    Horizon,
    Packer,
    ReservationBook,
    choose_reservations,
)
from galenarill.routing import Resources
from standins.placement_replay import (
    CPU,
    DELAY_SECONDS,
    ROUND_SECONDS,
    Replay,
    Task,
    worker,
)


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


def gaps(seed, factor=1.0):
    """Return small tasks that take each gap, and a large one that waits.

    Expected durations are `factor` times the actual ones.
    """
    rng = random.Random(seed)
    tasks = [
        Task(n * 0.085, rng.choice((2, 3, 4)), rng.choice((1.0, 1.5, 2.0)))
        for n in range(235)
    ]
    tasks.append(Task(4.0, 15, 2.0))
    for task in tasks:
        task.expected = task.seconds * factor
    return tasks


@pytest.mark.parametrize("seed", range(5))
def test_a_large_task_starts_when_the_running_ones_have_ended(seed):
    """Guards against small tasks that take each gap while a large one waits.

    The bound holds while no task in time waits as long as the large one.
    """
    played = {
        limit: Replay(gaps(seed), 4, limit=limit).play(20) for limit in (0, 8)
    }
    waited = {
        limit: next(t.started_at for t in replay.tasks if t.cpu == 15) - 4.0
        for limit, replay in played.items()
    }
    assert waited[8] <= DELAY_SECONDS + 2.0 + 2 * ROUND_SECONDS
    assert waited[8] < waited[0]
    # Small tasks that end before the large one begins still use the gaps.
    assert played[8].use > 0.95 * played[0].use


@pytest.mark.parametrize("factor", [0.3, 3.0])
@pytest.mark.parametrize("seed", range(5))
def test_wrong_expected_ends_delay_a_large_task_by_one_task(seed, factor):
    """A task that was admitted until the reservation begins may outlast it."""
    # Arrivals end at 20 s.
    replay = Replay(gaps(seed, factor), 4, limit=8).play(25)
    (large,) = [task for task in replay.tasks if task.cpu == 15]
    bound = DELAY_SECONDS + 2 * 2.0 + 2 * ROUND_SECONDS
    assert large.started_at <= 4.0 + bound
    assert not replay.waiting()
    assert max(replay.used) <= CPU * 4


def reserve(candidates, available, ends, previous=()):
    horizon = Horizon(0.0, lambda name: ends.get(name, ()))
    return choose_reservations(candidates, {"p": available}, horizon, previous)


def candidate(cpu, job="j", index=0, ends_at=math.inf, **options):
    step = Step(options.pop("count", 1), Resources(cpu), **options)
    return Candidate(job, TaskKey(0, 0, index), step, "p", "t", ends_at=ends_at)


def test_a_reservation_is_on_the_worker_on_which_the_task_fits_earliest():
    available = [worker("w1", free=1), worker("w2", free=8)]
    ends = {
        "w1": [(2.0, Resources(15))],
        "w2": [(1.0, Resources(4)), (2.2, Resources(4))],
    }
    (first,) = reserve([candidate(14)], available, ends)
    assert (first.worker, first.begins_at) == ("w1", 2.0)
    # It doesn't move for a gain that may be an error of a reading.
    (kept,) = reserve([candidate(14)], available, ends, {(("j", 0, 0), "w2")})
    assert kept.worker == "w2"
    assert not reserve([candidate(17)], available, ends)
    # The second task gets what the first one leaves.
    both = reserve([candidate(14), candidate(3, "k")], available, ends)
    assert [r.worker for r in both] == ["w1", "w2"]


def test_a_reserved_worker_admits_tasks_that_end_before_or_leave_room():
    available = [worker("w1", free=8)]
    book = ReservationBook(
        reserve([candidate(12)], available, {"w1": [(5.0, Resources(8))]})
    )
    packer = Packer({"p": available}, {}, (), book)
    assert packer.place(candidate(5, "late", ends_at=6.0)) is None
    assert packer.place(candidate(3, "early", ends_at=5.0))
    assert packer.place(candidate(4, "beside", ends_at=9.0))
    # Guards against counting the room beside the reservation twice.
    assert packer.place(candidate(1, "beside", 1, ends_at=9.0)) is None
    assert packer.place(candidate(1, "early", 1, ends_at=5.0))


def test_a_task_uses_its_own_reservation():
    available = [worker("w1")]
    book = ReservationBook(reserve([candidate(12)], available, {}))
    packer = Packer({"p": available}, {}, (), book)
    assert packer.place(candidate(6, "other")) is None
    assert packer.place(candidate(12))
    assert len(book) == 0


def test_a_gang_gets_all_its_workers_at_one_time():
    """Guards against members that start at different times, or overlap."""
    gang = candidate(10, "g", GANG, count=3, is_gang=True)
    available = [worker(f"w{n}", free=4) for n in range(4)]
    ends = {f"w{n}": [(1.0 + n, Resources(12))] for n in range(4)}
    reservations = reserve([gang, candidate(10)], available, ends)
    assert [(r.worker, r.begins_at) for r in reservations] == [
        ("w0", 3.0),
        ("w1", 3.0),
        ("w2", 3.0),
        ("w3", 4.0),
    ]
    book = ReservationBook(reservations)
    idle = [worker(f"w{n}") for n in range(3)]
    packer = Packer({"p": idle}, {}, (), book)
    assert packer.place(candidate(10, "other")) is None
    assert packer.place(gang)
    assert len(book) == 1
