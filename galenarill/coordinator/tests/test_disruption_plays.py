"""Random plays: no order breaks a disruption budget when it takes effect."""

import os

import pytest

from galenarill.coordinator.tests.disruption_plays import play
from galenarill.jobs import JobStatus

# More seeds are played by hand.
SEEDS = range(int(os.environ.get("DISRUPTION_PLAYS", "10")))


@pytest.mark.parametrize("seed", SEEDS)
def test_orders_keep_the_budgets_in_a_random_play(make, seed):
    simulation, platform, game = play(make, seed)
    assert platform.audit.violations == [], game.log
    simulation.check()
    state = simulation.state
    assert all(wave.is_completed for wave in state.waves.values()), game.log
    for number, wave in state.waves.items():
        assert {
            machine for machine, of in platform.carried_out if of == number
        } == set(wave.machines)
    lasting = {
        f"{job.id}.0.0.{index}"
        for job in state.jobs.values()
        if job.status is JobStatus.ACTIVE
        for index in range(job.spec.steps[0].count)
    }
    running = {
        record.task
        for worker in simulation.network.workers.values()
        for record in worker.records
    }
    assert lasting == running, game.log
