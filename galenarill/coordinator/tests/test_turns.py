"""Tests of waiting tasks behind others for which nothing can be done."""

from galenarill.coordinator.tests.simulation import ONE, Simulation
from galenarill.jobs import JobStatus, Step
from galenarill.routing import Resources

CAPACITY = 4
# More tasks than one round looks at.
STUCK = 25


def _started(simulation, job):
    return any(
        run.task.startswith(f"{job}.") for run in simulation.network.history
    )


def test_tasks_that_fit_nowhere_keep_no_other_task_from_a_held_worker():
    """Guards against a long-running task that waits for good."""
    simulation = Simulation(
        workers=2, seconds_of=lambda task, run: (1.5, "done")
    )
    simulation.advance(1.0)
    for number in range(STUCK):
        step = Step(1, ONE, is_long_running=True, label="none")
        simulation.submit_step(f"stuck{number}", step)
    for number in range(60):
        simulation.submit(f"f{number}", 2)
    simulation.advance(0.5)
    step = Step(1, Resources(CAPACITY), is_long_running=True)
    simulation.submit_step("whole", step)
    simulation.advance(8.0)
    assert _started(simulation, "whole")
    assert simulation.status("f59") is JobStatus.ACTIVE
    simulation.close()


def test_tasks_that_fit_nowhere_keep_no_other_task_from_preempting():
    """Guards against an urgent task that waits for all others to end."""
    simulation = Simulation(
        workers=2, seconds_of=lambda task, run: (60.0, "done")
    )
    simulation.advance(1.0)
    simulation.submit("slow", 2 * CAPACITY)
    for number in range(STUCK):
        step = Step(1, ONE, label="none")
        simulation.submit_step(f"stuck{number}", step, queue="urgent")
    simulation.advance(0.5)
    simulation.submit("fast", 1, queue="urgent")
    simulation.advance(3.0)
    assert _started(simulation, "fast")
    simulation.close()
