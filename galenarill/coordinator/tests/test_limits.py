"""Tests of what the upper limit of a tenant holds back, in virtual time."""

import os
import random

import pytest

from galenarill.cluster import Code
from galenarill.coordinator.tests.limit_plays import LimitPlay, set_limit
from galenarill.coordinator.tests.request_cluster import (
    RequestCluster,
    make_queue,
)
from galenarill.coordinator.tests.simulation import Simulation
from galenarill.jobs import Step
from galenarill.routing import Resources, Tenant

# More seeds are played by hand.
SEEDS = range(int(os.environ.get("LIMIT_PLAYS", "10")))


def seconds_of(task, run):
    """Let tasks of jobs whose name begins with l last."""
    return (999.0 if task.startswith("l") else 2.5), "done"


@pytest.fixture
def make():
    made = []

    def build(**options):
        made.append(Simulation(**{"seconds_of": seconds_of} | options))
        return made[-1]

    yield build
    for simulation in made:
        simulation.close()


def submit(simulation, job, cpu, count=1, mem_mb=0, **options):
    step = Step(count, Resources(cpu, mem_mb), **options)
    simulation.submit_step(job, step, "t")


def running(simulation):
    return sorted(
        record.task.partition(".")[0]
        for worker in simulation.network.workers.values()
        for record in worker.records
    )


def begun(simulation):
    return [r.task.partition(".")[0] for r in simulation.network.history]


def test_a_task_starts_above_a_lowered_limit_of_which_little_is_used(make):
    """A tenant used two fifths of its limit, and its next job never started."""
    simulation = make()
    submit(simulation, "lasting", 2, is_long_running=True)
    simulation.advance(1)
    set_limit(simulation, 5)
    submit(simulation, "f", 4)
    simulation.advance(0.5)
    assert running(simulation) == ["f", "lasting"]


def test_a_long_running_task_starts_above_a_limit_of_which_little_is_used(make):
    """It waited for as long as another one lasted."""
    simulation = make(limit=5)
    submit(simulation, "l1", 2, is_long_running=True)
    simulation.advance(1)
    submit(simulation, "l2", 4, is_long_running=True)
    simulation.advance(1)
    assert running(simulation) == ["l1", "l2"]


def test_a_task_that_fits_beside_no_long_running_one_starts(make):
    """It waited for as long as they lasted, with most of the limit in use."""
    simulation = make(limit=4)
    submit(simulation, "l1", 3, is_long_running=True)
    simulation.advance(1)
    submit(simulation, "f", 2, count=3)
    simulation.advance(1)
    assert running(simulation) == ["f", "l1"], "more than one above the limit"
    simulation.advance(9)
    assert begun(simulation).count("f") == 3


def test_a_task_larger_than_the_limit_starts_alone(make):
    """A limit below one task stopped a tenant for good."""
    simulation = make(limit=2)
    submit(simulation, "f", 4, count=3)
    simulation.advance(1)
    assert running(simulation) == ["f"]
    simulation.advance(9)
    assert begun(simulation).count("f") == 3


@pytest.mark.parametrize("name", ["f2", "l2"])
def test_a_task_waits_for_finite_ones_at_a_limit(make, name):
    """The limit is exceeded only if waiting would not help."""
    simulation = make(limit=4)
    submit(simulation, "f1", 1, count=2)
    simulation.advance(0.5)
    submit(simulation, name, 3, is_long_running=name == "l2")
    simulation.advance(0.5)
    assert running(simulation) == ["f1", "f1"]
    simulation.advance(2)
    assert running(simulation) == [name]


def test_a_gang_exceeds_a_limit_by_less_than_one_member(make):
    """The sum of a gang was held against a limit that each member fits."""
    simulation = make(limit=5)
    simulation.network.gangs |= {"f1.0.0", "f2.0.0"}
    submit(simulation, "l1", 2, is_long_running=True)
    simulation.advance(1)
    submit(simulation, "f1", 2, count=3, is_gang=True)
    submit(simulation, "f2", 2, count=2, is_gang=True)
    simulation.advance(0.5)
    assert running(simulation) == ["f2", "f2", "l1"]


def test_a_limit_of_memory_is_exceeded_like_one_of_cores(make):
    """Only a lowered limit of cores let a task start."""
    simulation = make()
    submit(simulation, "l1", 1, mem_mb=400, is_long_running=True)
    simulation.advance(1)
    set_limit(simulation, 0, 1000)
    submit(simulation, "f", 1, mem_mb=700)
    simulation.advance(0.5)
    assert running(simulation) == ["f", "l1"]


def test_a_resource_that_a_task_does_not_need_holds_nothing_back(make):
    """Memory above its lowered limit stopped tasks that need none."""
    simulation = make()
    submit(simulation, "l1", 1, mem_mb=400, is_long_running=True)
    simulation.advance(1)
    set_limit(simulation, 8, 300)
    submit(simulation, "f", 1)
    simulation.advance(0.5)
    assert running(simulation) == ["f", "l1"]


def test_the_usage_above_a_limit_outlives_a_takeover(make):
    """A new leader counts runs of its predecessor before it starts more."""
    simulation = make(limit=4)
    submit(simulation, "l1", 3, is_long_running=True)
    simulation.advance(1)
    submit(simulation, "f", 2, count=2)
    simulation.advance(0.3)
    for _ in range(4):
        simulation.take_over()
        simulation.advance(0.1)
        assert running(simulation) == ["f", "l1"]


@pytest.mark.parametrize("seed", SEEDS)
def test_limits_hold_back_no_task_for_good_in_a_random_play(make, seed):
    """No start is above a limit that was reached, and no task is passed by."""
    seconds = random.Random(seed)
    simulation = make(
        seed=seed,
        workers=4,
        seconds_of=lambda task, run: (
            999.0 if task.startswith("l") else seconds.choice([0.3, 1.0, 2.5]),
            "done",
        ),
    )
    play = LimitPlay(simulation, seed)
    play.play()
    assert play.starts_above_limit() == [], play.log
    assert play.owed == [], play.log


def test_tasks_that_wait_for_the_limit_are_logged(make, caplog):
    """One line a tenant tells what is in use, however many tasks wait."""
    caplog.set_level("INFO")
    simulation = make(limit=2, seconds_of=lambda task, run: (9.0, "done"))
    simulation.submit("a", 2, "t")
    simulation.advance(1)
    for number in range(5):
        simulation.submit(f"b{number}", 2, "t")
    simulation.advance(3)
    lines = [
        vars(record)
        for record in caplog.records
        if record.msg == "tasks wait for the tenant's limit"
    ]
    assert len(lines) == 1
    assert lines[0]["tasks"] == 10
    assert lines[0]["job"] == "b0"
    assert lines[0]["used"]["cpu"] == lines[0]["limit"]["cpu"] == 2


def test_no_worker_is_held_for_a_task_that_waits_for_the_limit(make):
    """A worker stood idle for a task that its tenant's limit held back."""
    simulation = make(workers=2, limit=4)
    submit(simulation, "l1", 3, is_long_running=True)
    simulation.advance(1)
    submit(simulation, "l2", 3, is_long_running=True)
    simulation.advance(3)
    step = Step(5, Resources(1))
    simulation.submit_step("f", step)
    simulation.advance(1)
    assert running(simulation) == ["f"] * 5 + ["l1"]


def test_a_task_above_the_limit_starts_among_more_urgent_ones(make):
    """Starts before it were pending for as long as they came."""
    simulation = make(
        workers=8,
        seconds_of=lambda task, run: (
            999.0 if task.startswith("l") else 0.05,
            "done",
        ),
    )
    set_limit(simulation, 0, 1000)
    submit(simulation, "l", 1, mem_mb=700, is_long_running=True)
    simulation.advance(1)
    short = Step(1, Resources(1, 1))
    for number in range(300):
        simulation.submit_step(f"x{number}", short, "t", "urgent")
        if number == 20:
            submit(simulation, "f", 1, mem_mb=400)
        simulation.advance(0.01)
    assert "f" in begun(simulation)


def test_finite_tasks_make_room_for_a_long_running_one_at_a_limit(make):
    """Small tasks behind it took the rest of the limit for good."""
    simulation = make(workers=4, limit=8)
    for number in range(80):
        submit(simulation, f"f{number}", 1)
        if number == 20:
            submit(simulation, "l", 3, is_long_running=True)
        simulation.advance(0.2)
    assert running(simulation).count("l") == 1
    counts = set()
    for _ in range(10):
        counts.add(len(running(simulation)))
        simulation.advance(0.05)
    assert max(counts) == 6, "finite tasks use the rest"


def test_a_gang_that_never_fits_holds_nothing_back(make):
    """A limit was lowered below what a gang and a long-running task need."""
    simulation = make(workers=4)
    submit(simulation, "l", 4, is_long_running=True)
    simulation.advance(1)
    set_limit(simulation, 8)
    simulation.network.gangs.add("f1.0.0")
    submit(simulation, "f1", 3, count=4, is_gang=True)
    simulation.advance(3)
    submit(simulation, "f2", 1, count=4)
    simulation.advance(0.5)
    assert running(simulation) == ["f2"] * 4 + ["l"]


def test_a_gang_that_its_limit_rules_out_is_rejected():
    """It was accepted and pending for good."""
    cluster = RequestCluster()
    queue = make_queue("q", "/a/")
    tenant = Tenant("t", ("key",), 1.0, Resources(4))
    cluster.configure(queue, tenants=(tenant,))
    gang = Step(3, Resources(2), is_gang=True)
    assert cluster.submit("a", Step(1, Resources(9)), gang) is Code.ABOVE_LIMIT
    assert not cluster.simulation.state.jobs
    smaller = Step(2, Resources(3), is_gang=True)
    assert cluster.submit("a", smaller) is Code.DONE
    cluster.configure(queue)
    assert cluster.submit("b", gang) is Code.DONE
    cluster.simulation.close()
