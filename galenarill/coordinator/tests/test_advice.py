"""Tests of steps that only some workers of a large pool may run."""

import asyncio
import random

import pytest

from galenarill.coordinator.advisor import MAX_WORKERS
from galenarill.coordinator.tests.simulation import ONE, Simulation
from galenarill.jobs import Step
from galenarill.workers import Advice, AdviceClient

DECIDE_SECONDS = 0.005
EACH_SECONDS = 0.001
CAPACITY = 4
# Time within which a step starts while an allowed worker is idle, in seconds:
# the users' bound on a job with nothing running.
START_SECONDS = 3.0


class Policy(AdviceClient):
    """A policy service that answers one call at a time."""

    def __init__(self, allows, valid_seconds=2.0):
        self._allows = allows
        self._valid_seconds = valid_seconds
        self._turn = asyncio.Lock()
        self.asked = []

    async def ask(self, step, workers):
        assert len(workers) <= 100
        async with self._turn:
            await asyncio.sleep(DECIDE_SECONDS + EACH_SECONDS * len(workers))
        self.asked.append((step, workers))
        tickets = {w: f"{step}/{w}" for w in workers if self._allows(step, w)}
        return Advice(tickets, self._valid_seconds)


def _make(allowed, workers, **options):
    policy = Policy(lambda step, worker: worker in allowed)
    simulation = Simulation(advice=policy, workers=workers, **options)
    simulation.advance(1.0)
    return simulation, policy


def _used(simulation):
    return {run.worker for run in simulation.network.history}


@pytest.mark.parametrize("workers", [36, 150])
def test_a_step_starts_on_a_worker_beyond_the_first_call(workers):
    """Guards against a step that waits for good (review case 4)."""
    last = f"w{workers - 1}"
    simulation, _ = _make({"w0", last}, workers)
    simulation.call(simulation.network.workers["w0:1"].crash)
    simulation.advance(4.0)
    simulation.submit("j", 1)
    simulation.advance(START_SECONDS)
    assert _used(simulation) == {last}
    simulation.close()


def test_a_step_whose_known_workers_are_full_finds_others():
    """A valid ticket for a full worker must not keep the step waiting."""
    simulation, _ = _make(
        {"w0", "w1", "w40"}, 41, seconds_of=lambda task, run: (60.0, "done")
    )
    simulation.submit("j", 3 * CAPACITY)
    simulation.advance(START_SECONDS)
    assert _used(simulation) == {"w0", "w1", "w40"}
    assert len(simulation.network.history) == 3 * CAPACITY
    simulation.close()


def test_a_worker_that_registers_later_is_asked_about():
    simulation, _ = _make({"late"}, 35)
    simulation.submit("j", 1)
    simulation.advance(5.0)
    assert not simulation.network.history
    simulation.call(
        simulation.report, simulation.call(simulation.network.add, "late")
    )
    simulation.advance(START_SECONDS)
    assert _used(simulation) == {"late"}
    simulation.close()


def test_a_gang_gets_tickets_for_workers_of_several_calls():
    allowed = {f"w{number}" for number in range(0, 120, 10)}
    simulation, _ = _make(allowed, 120)
    step = Step(len(allowed) * CAPACITY, ONE, is_gang=True)
    simulation.submit_step("j", step)
    simulation.advance(START_SECONDS)
    assert _used(simulation) == allowed
    simulation.close()


def test_a_worker_that_is_not_allowed_is_not_asked_about_again_at_once():
    """Guards against calls that keep the service from answering others."""
    simulation, policy = _make(set(), 36)
    simulation.submit("j", 1)
    simulation.advance(6.0)
    assert sum(len(workers) for _, workers in policy.asked) == 36
    simulation.close()


def test_no_advice_is_requested_once_all_tasks_have_a_worker():
    simulation, policy = _make({"w0"}, 36)
    simulation.submit("j", CAPACITY)
    simulation.advance(5.0)
    assert simulation.all_completed()
    assert len(policy.asked) == 1
    assert len(policy.asked[0][1]) == MAX_WORKERS
    simulation.close()


class _Play:
    """Steps in large pools whose workers come, go, drain and are cut off."""

    def __init__(self, seed):
        self._rng = rng = random.Random(seed)
        self._count = rng.randint(20, 130)
        self._share = rng.choice((0.03, 0.1, 0.4))
        policy = Policy(self._allows, rng.choice((1.0, 3.0)))
        self.simulation = Simulation(
            seed, self._seconds_of, workers=self._count, advice=policy
        )
        self._next_worker = self._count

    def _allows(self, step, worker):
        # Every third worker that stays is allowed for one step or another.
        return (
            random.Random(f"{step} {worker}").random() < self._share
            or worker == f"w{self._count - 1}"
        )

    def _seconds_of(self, task, run):
        return (0.3, 1.0, 4.0)[(sum(map(ord, task)) + run) % 3], "done"

    def _disturb(self):
        simulation, rng = self.simulation, self._rng
        network = simulation.network
        # The last of the first workers stays and is always allowed.
        name = f"w{rng.randrange(self._count - 1)}"
        address = f"{name}:1"
        match rng.randrange(5):
            case 0:
                simulation.call(network.workers[address].crash)
            case 1:
                simulation.restart_worker(name)
            case 2:
                network.cut.add(address)
            case 3:
                network.cut.clear()
            case _:
                added = simulation.call(network.add, f"w{self._next_worker}")
                self._next_worker += 1
                simulation.call(simulation.report, added)

    def play(self):
        simulation, rng = self.simulation, self._rng
        simulation.advance(1.0)
        for number in range(15):
            simulation.submit(f"j{number}", rng.randint(1, 3))
            for _ in range(rng.randrange(3)):
                self._disturb()
            if rng.random() < 0.1:
                simulation.take_over()
            simulation.advance(rng.uniform(0.1, 2.0))
            simulation.check()
        simulation.advance(12.0)
        begun = len(simulation.network.history)
        simulation.submit("last", 1)
        simulation.advance(START_SECONDS)
        assert len(simulation.network.history) > begun
        simulation.advance(40.0)
        simulation.check()
        assert simulation.all_completed()
        for run in simulation.network.history:
            assert self._allows(run.task.rpartition(".")[0], run.worker)
        simulation.close()


@pytest.mark.parametrize("seed", range(10))
def test_every_step_finds_its_workers_among_changes(seed):
    """Guards against workers that the service is never asked about."""
    _Play(seed).play()
