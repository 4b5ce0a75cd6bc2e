"""Tests of what the upper limit of a tenant holds back, in virtual time."""

import pytest

from galenarill.coordinator.tests.simulation import Simulation


@pytest.fixture
def make():
    made = []

    def build(**options):
        made.append(Simulation(**options))
        return made[-1]

    yield build
    for simulation in made:
        simulation.close()


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
