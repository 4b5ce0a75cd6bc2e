"""Tests of workers that restart while starts of runs are being committed."""

from galenarill.coordinator.tests.test_leader_machine import LeaderMachine


def test_every_job_ends_after_a_restart_during_the_commit_of_a_start():
    """A run that is added for a dead incarnation of its worker never ends.

    The worker restarts between the proposal of a start and its commit.
    """
    machine = LeaderMachine()
    machine.start(seed=0)
    machine.submit(count=5, tenant="t")
    for name in ("w0", "w0", "w2"):
        machine.crash_and_return(name=name)
    machine.wait(seconds=0.3)
    machine.cancel(number=1)
    machine.teardown()


def test_no_task_runs_twice_after_an_unnoticed_restart():
    """A start order names no incarnation, so the next one accepts it."""
    machine = LeaderMachine()
    machine.start(seed=0)
    machine.submit(count=5, tenant="t")
    for name in ("w0", "w0", "w1"):
        machine.crash_and_return(name=name)
    machine.crash_unnoticed(name="w2")
    machine.wait(seconds=0.3)
    machine.cancel(number=1)
    machine.teardown()
