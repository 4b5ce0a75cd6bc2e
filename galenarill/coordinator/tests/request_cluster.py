"""A leader that answers callers' requests, in virtual time."""

import msgspec

from galenarill.cluster import SubmitJob
from galenarill.coordinator.requests import RequestHandler
from galenarill.coordinator.tests.simulation import (
    ONE,
    Simulation,
    make_configuration,
)
from galenarill.jobs import Configure, JobSpec, Step
from galenarill.routing import Queue, Resources, Tenant

HOST = "h"


def make_queue(name, prefix, pool="pool", **changes):
    queue = Queue(name, HOST, prefix, pool, 0, 2, 1.5, 600, False)
    return msgspec.structs.replace(queue, **changes)


def make_queues_configuration(version, *queues, tenants=None):
    return msgspec.structs.replace(
        make_configuration(version, other_pools=("other",)),
        queues=queues,
        tenants=tenants or (Tenant("t", ("key",), 1.0, Resources()),),
    )


class RequestCluster:
    """A leader with its request handler, and workers in two pools."""

    def __init__(self, seed=0, seconds_of=None, useful_lateness=0.0):
        self.simulation = Simulation(
            seed, seconds_of, useful_lateness=useful_lateness
        )
        self._version = 1
        for name in ("o0", "o1"):
            self.simulation.call(self._add_worker, name)
        simulation = self.simulation
        self.handler = RequestHandler(
            simulation.state,
            lambda *commands: simulation.propose(simulation.term, *commands),
            lambda: True,
            lambda zone: any(
                session.report.zone == zone
                for session in simulation.leader.sessions.values()
            ),
            lambda: simulation.leader,
        )

    def _add_worker(self, name):
        report = self.simulation.network.add(name, "other")
        self.simulation.report(report)

    def configure(self, *queues, tenants=None):
        """Put a configuration in force."""
        self._version += 1
        configuration = make_queues_configuration(
            self._version, *queues, tenants=tenants
        )
        self.simulation.call(self.simulation.apply, [Configure(configuration)])

    def ask(self, request, path="/a/", key="key", *arguments):
        """Return the reply to a request of a caller."""
        message = request(HOST, path, key, *arguments)
        return self.simulation.run(self.handler.answer(1, message))

    def submit(self, job, *steps, path="/a/", key="key"):
        """Hand a job in and return the code of the reply."""
        spec = JobSpec("x", steps or (Step(1, ONE),))
        return self.ask(SubmitJob, path, key, job, spec).code
