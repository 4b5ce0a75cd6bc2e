"""An unexpected error stops neither the scheduler nor a coordinator."""

import pytest

from galenarill.coordinator.tests.simulation import Simulation
from galenarill.jobs import (
    ClusterState,
    FinishMaintenance,
    OrderMaintenance,
    decode_commands,
    encode_commands,
)


@pytest.fixture
def simulation():
    simulation = Simulation(
        workers=2, seconds_of=lambda task, run: (4.0, "done")
    )
    simulation.advance(1)
    yield simulation
    simulation.close()


class _FailsOnce:
    """A function whose first call raises an error of no expected type."""

    def __init__(self, function):
        self.function = function
        self.calls = 0

    def __call__(self, *arguments):
        self.calls += 1
        if self.calls == 1:
            raise KeyError("unexpected")
        return self.function(*arguments)


def test_placement_goes_on_after_an_unexpected_error(simulation):
    placer = simulation.leader._placer
    placer._place = _FailsOnce(placer._place)
    simulation.submit("j", count=3)
    simulation.advance(6)
    assert placer._place.calls > 1
    assert simulation.all_completed()


def test_tasks_of_a_failed_round_are_placed_later(simulation):
    placer = simulation.leader._placer
    placer._start = _FailsOnce(placer._start)
    simulation.submit("j", count=3)
    simulation.advance(6)
    assert placer._start.calls > 1
    assert simulation.all_completed()


def test_leases_are_renewed_after_an_unexpected_error(simulation):
    monitor = simulation.leader._progress_monitor
    monitor.update_progress = _FailsOnce(monitor.update_progress)
    simulation.submit("j", count=2)
    simulation.advance(8)
    assert monitor.update_progress.calls >= 1
    assert simulation.all_completed()
    assert {begun.how for begun in simulation.network.history} == {"done"}


def test_the_tick_goes_on_after_an_unexpected_error(simulation):
    committer = simulation.leader._end_committer
    committer.end_runs_with_expired_lease = _FailsOnce(
        committer.end_runs_with_expired_lease
    )
    simulation.advance(2)
    assert committer.end_runs_with_expired_lease.calls > 5


@pytest.mark.parametrize(
    "command",
    [OrderMaintenance(9, "m1", "c1", 5.0), FinishMaintenance(9, "m1")],
)
def test_a_committed_command_on_an_unknown_wave_is_applied(command):
    state = ClusterState()
    state.apply(1, decode_commands(encode_commands([command])))
    assert state.version == 1
    assert not state.waves
