"""The leader reserves capacity for tasks that have waited."""

import types

import pytest

from galenarill.coordinator import holding
from galenarill.coordinator.cordons import CordonReason
from galenarill.coordinator.tests.simulation import Simulation
from galenarill.jobs import EvacuateZone, JobStatus, RestoreZone, Step
from galenarill.placement import duration_key
from galenarill.routing import Resources

LARGE = Step(1, Resources(4), estimate_ms=1000)
# Time within which a large task starts in seconds: its delay, the longest
# running task, a commit and some rounds.
BOUND_SECONDS = 0.5 + 1.0 + 0.4


@pytest.fixture
def simulation():
    made = Simulation(workers=3, has_machines=True, looks_ahead=True)
    made.numbers = iter(range(10_000))
    yield made
    made.close()


def submit_small(simulation, seconds, interval=0.1):
    """Submit small tasks, by default for ten of twelve cores."""
    end = simulation.loop.time() + seconds
    while simulation.loop.time() < end:
        simulation.submit(f"s{next(simulation.numbers)}", 1, estimate_ms=1000)
        simulation.advance(interval)


def reserved(simulation):
    """Return the worker reserved for the large task, or None."""
    return {
        owner[0]: worker
        for owner, worker in simulation.leader._placer._capacity_keeper._logged
    }.get("large")


def wait_for_reservation(simulation):
    submit_small(simulation, 2)
    simulation.submit_step("large", LARGE)
    submit_small(simulation, 0.7)
    assert reserved(simulation)
    return reserved(simulation)


def started(simulation):
    return [
        b for b in simulation.network.history if b.task.startswith("large.")
    ]


def seconds_of(task, run):
    """Return the end of a run; those of small tasks are spread evenly."""
    if task.startswith("lasting."):
        return 1000.0, "done"
    if task.startswith("large."):
        return 1.0, "done"
    number = int(task[1:].partition(".")[0])
    return 0.6 + number * 37 % 80 / 100, "done"


def test_a_large_task_starts_within_the_bound(simulation, caplog):
    caplog.set_level("INFO")
    wait_for_reservation(simulation)
    submit_small(simulation, BOUND_SECONDS - 0.7)
    assert started(simulation)
    assert "worker reserved" in caplog.text


def test_without_reservations_small_tasks_take_each_gap():
    """Shows that the load of the test above needs a reservation."""
    simulation = Simulation(workers=3)
    simulation.numbers = iter(range(10_000))
    submit_small(simulation, 2)
    simulation.submit_step("large", LARGE)
    submit_small(simulation, BOUND_SECONDS)
    assert not started(simulation)
    simulation.close()


@pytest.mark.parametrize("loss", ["crash", "drain", "cordon"])
def test_the_reservation_moves_from_a_worker_that_gets_no_starts(
    simulation, loss
):
    name = wait_for_reservation(simulation)
    if loss == "crash":
        simulation.call(simulation.network.workers[f"{name}:1"].crash)
        # Time after which a silent worker gets no more starts.
        submit_small(simulation, 2.5, 0.2)
    elif loss == "drain":
        report = simulation.network.workers[f"{name}:1"].report
        simulation.state.draining[name] = report.born
        submit_small(simulation, 0.1)
    else:
        machine = simulation.leader.sessions[name].report.machine
        simulation.call(simulation.leader.cordon, machine, CordonReason.RELEASE)
        submit_small(simulation, 0.1)
    assert reserved(simulation) != name
    submit_small(simulation, BOUND_SECONDS, 0.2)
    assert [begun.worker for begun in started(simulation)] != [name]
    assert started(simulation)


def test_a_cancelled_job_leaves_no_reservation(simulation):
    wait_for_reservation(simulation)
    simulation.cancel("large")
    submit_small(simulation, 0.15)
    assert reserved(simulation) is None
    simulation.advance(8)
    assert all(
        job.status is JobStatus.COMPLETED
        for job_id, job in simulation.state.jobs.items()
        if job_id != "large"
    )


def test_the_next_leader_reserves_anew(simulation):
    wait_for_reservation(simulation)
    simulation.take_over()
    assert reserved(simulation) is None
    submit_small(simulation, BOUND_SECONDS + 0.5)
    assert started(simulation)
    simulation.check()


def test_a_gang_over_its_tenants_limit_gets_no_reservation():
    """Guards against capacity kept for a gang that must not start.

    A single member of it would stay within the limit.
    """
    simulation = Simulation(
        workers=3, limit=5, looks_ahead=True, seconds_of=seconds_of
    )
    simulation.numbers = iter(range(10_000))
    lasting = Step(1, Resources(2), is_long_running=True)
    simulation.submit_step("lasting", lasting, tenant="t")
    submit_small(simulation, 1)
    gang = Step(2, Resources(2), estimate_ms=1000, is_gang=True)
    simulation.submit_step("large", gang, tenant="t")
    submit_small(simulation, 2)
    assert reserved(simulation) is None
    # It starts when the limit allows the whole gang.
    simulation.cancel("lasting")
    submit_small(simulation, BOUND_SECONDS + 1)
    assert started(simulation)
    simulation.close()


def test_reservations_hold_while_a_worker_is_cold():
    """Guards against small tasks that take reserved capacity meanwhile.

    Tasks that fit on no warm worker are offered the cold ones in a second
    pass, which sees the warm workers again.
    """
    simulation = Simulation(
        workers=3,
        looks_ahead=True,
        seconds_of=seconds_of,
    )
    simulation.numbers = iter(range(10_000))
    # Keeps the large task off the cold worker.
    simulation.submit_step(
        "lasting", Step(1, Resources(1), is_long_running=True)
    )
    simulation.advance(0.5)
    for change in (EvacuateZone, RestoreZone):
        command = change("a", simulation.loop.time())
        simulation.call(simulation.apply, [command])
    (lasting,) = simulation.network.history
    cold = simulation.network.workers[f"{lasting.worker}:1"]
    simulation.call(simulation.report, cold.report_again(cold_left_ms=9e3))
    wait_for_reservation(simulation)
    submit_small(simulation, BOUND_SECONDS - 0.7)
    assert started(simulation)
    simulation.close()


def test_a_task_that_fitted_nowhere_gets_a_reservation_once_it_fits():
    """Guards against a task that stays behind all that wait in overload."""
    simulation = Simulation(workers=3, looks_ahead=True, seconds_of=seconds_of)
    simulation.numbers = iter(range(10_000))
    options = {"is_long_running": True}
    lasting = Step(3, Resources(1), max_per_worker=1, **options)
    simulation.submit_step("lasting", lasting)
    simulation.advance(0.5)
    simulation.submit_step("large", Step(1, Resources(4), **options))
    submit_small(simulation, 4, 0.05)
    assert reserved(simulation) is None
    simulation.cancel("lasting")
    # Lifetime of a reservation, longest task duration, and a few rounds.
    submit_small(simulation, 0.1 + 1.4 + 0.4, 0.05)
    assert started(simulation)
    simulation.close()


def test_the_gauge_starts_at_zero_in_each_term(simulation, monkeypatch):
    """Guards against the number of an earlier term of the same process."""
    values = []
    gauge = types.SimpleNamespace(set=values.append)
    monkeypatch.setattr(holding, "_RESERVED_WORKERS", gauge)
    wait_for_reservation(simulation)
    assert values[-1] == 1
    simulation.take_over()
    assert values[-1] == 0


def test_long_running_tasks_do_not_change_expected_durations():
    """Guards against expected ends that are late by a long-running task.

    Such a task that ends by itself is started again.
    """
    simulation = Simulation(
        workers=3, looks_ahead=True, seconds_of=lambda *_: (5.0, "done")
    )
    simulation.submit("long", 6, estimate_ms=1000, is_long_running=True)
    simulation.advance(7)
    assert "done" in {begun.how for begun in simulation.network.history}
    key = duration_key(simulation.state.jobs["long"], LARGE)
    durations = simulation.leader._progress_monitor.durations
    assert durations.expected_seconds(key, LARGE) == 1.0
    simulation.close()
