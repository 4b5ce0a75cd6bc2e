"""Fixtures shared by the tests of the coordinator."""

import pytest

from galenarill.coordinator.tests.machines import Machines, start_machine_task
from galenarill.coordinator.tests.simulation import Simulation


@pytest.fixture
def make():
    """Return a function that creates a simulation with machines."""
    made = []

    def build(pools, **options):
        simulation = Simulation(workers=0, **options)
        made.append(simulation)
        machines = Machines(simulation, pools)

        async def start():
            for machine in machines.machines.values():
                if machine.worker:
                    simulation.report(
                        simulation.network.add(
                            machine.worker, machine.pool, machine=machine.id
                        )
                    )
            start_machine_task(simulation, machines)

        simulation.run(start())
        return simulation, machines

    yield build
    for simulation in made:
        simulation.close()
