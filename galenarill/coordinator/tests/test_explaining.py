"""Tests of explanations of where a job would go."""

import asyncio
import collections
import types

import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from galenarill.admission import RetrySchedule
from galenarill.cli.explain import explain
from galenarill.cluster import Code, ExplainJob, NoLeaderError, Reply
from galenarill.common import monotonic_now
from galenarill.coordinator.cordons import CordonReason
from galenarill.coordinator.requests import RequestHandler
from galenarill.coordinator.tests.simulation import Simulation
from galenarill.errors import GalenarillError
from galenarill.jobs import Configure, JobSpec, Step
from galenarill.platform.explain import ExplainEndpoint
from galenarill.routing import Resources


@pytest.fixture(params=[False, True])
def simulation(request):
    simulation = Simulation(
        workers=4,
        limit=2,
        seconds_of=lambda *_: (60.0, "done"),
        has_machines=True,
        looks_ahead=request.param,
        useful_lateness=1.0,
    )
    simulation.advance(4.0)
    yield simulation
    simulation.close()


def ask(simulation, path="/q/", key="key", cpu=1, count=1, label=""):
    handler = RequestHandler(
        simulation.state,
        None,
        lambda: True,
        None,
        lambda: simulation.leader,
        lambda: simulation.leader,
    )
    step = Step(count, Resources(cpu), label=label)
    message = ExplainJob("h", path, key, JobSpec("", (step,)))
    return simulation.run(handler.answer(1, message))


def explanation_of(simulation, **options):
    return msgspec.json.decode(ask(simulation, **options).document)


def observe(value, seen):
    """Return a comparable image of all data that an object refers to."""
    if isinstance(value, str | int | float | bytes | None):
        return value
    if id(value) in seen:
        return "seen"
    seen.add(id(value))
    if isinstance(value, dict):
        return [(repr(k), observe(v, seen)) for k, v in value.items()]
    if isinstance(value, list | tuple | collections.deque):
        return [observe(item, seen) for item in value]
    if isinstance(value, set | frozenset):
        return sorted(map(repr, value))
    names = [
        name
        for attribute in ("__dict__", "__slots__", "__struct_fields__")
        for name in getattr(value, attribute, ())
    ]
    if not type(value).__module__.startswith("galenarill") or not names:
        return type(value).__name__
    return [(n, observe(getattr(value, n, None), seen)) for n in names]


def image(simulation):
    leader = observe(simulation.leader, set())
    return simulation.state.encode(), leader, list(simulation.pending)


def test_explanation_changes_nothing(simulation):
    """A dry run must not reserve, record a rejection or cache estimates."""
    simulation.submit("a", 200, "t", "urgent", estimate_ms=60_000.0)
    simulation.advance(2.0)
    found = simulation.state.routing.find("h", "/q/", "key")
    spec = JobSpec("", (Step(2, Resources(1)),))
    rejected = simulation.run(admit(simulation, "a0", spec, *found))
    assert not rejected.is_accepted
    # No end is estimated yet, the admitter's reading is old, and the latest
    # job could be placed at once.
    simulation.submit("b", 3)
    simulation.advance(3.0)
    simulation.submit("c", 1)
    simulation.leader.runs.idle_at_by_worker.clear()
    for run in simulation.leader.runs.by_name.values():
        run.ends_at = None
    before = image(simulation)
    answer = explanation_of(simulation, count=2)
    assert image(simulation) == before
    assert answer["groups_before"] == 2
    assert not answer["is_accepted"]
    admission = simulation.run(admit(simulation, "d", spec, *found))
    assert admission.retry_after_seconds == answer["retry_after_seconds"]
    assert image(simulation) != before, "the image shows no changes"


async def admit(simulation, *arguments):
    return simulation.leader.decide_admission(*arguments)


def test_tenant_limit_leaves_workers_out(simulation):
    """A tenant at its upper limit must not be told that a worker is free."""
    simulation.submit("a", 2, "t")
    simulation.advance(1.0)
    answer = explanation_of(simulation, cpu=1)
    assert answer["left_out"] == {"tenant's upper limit": 4}
    assert answer["tenant_limit"]["cpu"] == answer["tenant_used"]["cpu"] == 2
    assert answer["worker"] is None


def test_worker_named_is_the_one_that_gets_the_job(simulation):
    """The explanation must not differ from what the placer then does."""
    simulation.submit("a", count=3)
    simulation.advance(1.0)
    worker = explanation_of(simulation, key=None)["worker"]
    simulation.submit("b", count=1)
    simulation.advance(1.0)
    assert worker is not None
    assert worker in {
        run.incarnation.worker for run in simulation.leader.runs.runs_of("b")
    }


def test_each_worker_is_counted_under_one_rule(simulation):
    """A worker that gets no start must not count as usable."""
    simulation.leader.cordon("m0", CordonReason.MOVE)
    session = simulation.leader.sessions["w1"]
    session.report = msgspec.structs.replace(session.report, pool="spare")
    simulation.state.draining["w2"] = simulation.leader.sessions[
        "w2"
    ].report.born
    answer = explanation_of(simulation)
    assert answer["left_out"] == {
        "cordoned": 1,
        "other pool": 1,
        "draining": 1,
    }
    assert answer["usable"] == 1
    assert answer["worker"] == "w3"
    answer = explanation_of(simulation, label="x")
    assert answer["left_out"]["label"] == 1
    assert answer["worker"] is None
    answer = explanation_of(simulation, key=None, cpu=5000)
    assert answer["left_out"]["not enough free CPU"] == 1


def test_unknown_route_and_key_are_refused(simulation):
    """A request that routing refuses must get no explanation."""
    assert ask(simulation, path="/none/").code is Code.UNKNOWN_QUEUE
    configuration = simulation.state.routing.configuration
    queues = tuple(
        msgspec.structs.replace(queue, allows_anonymous=False)
        for queue in configuration.queues
    )
    changed = msgspec.structs.replace(configuration, version=2, queues=queues)
    simulation.call(simulation.apply, [Configure(changed)])
    assert ask(simulation, key="other").code is Code.UNKNOWN_KEY


def test_copied_schedule_assigns_the_same_and_is_separate():
    """The Retry-After of a dry run must be the one that a submission gets."""
    schedule = RetrySchedule()
    for number in range(400):
        arguments = ("pool", number % 7 / 7, 1.0, 0.5, number / 8)
        before = observe(schedule, set())
        seconds = schedule.copy().assign(f"j{number}", *arguments)
        assert observe(schedule, set()) == before
        assert seconds == schedule.assign(f"j{number}", *arguments)


@pytest.mark.parametrize(
    ("reply", "count", "expected"),
    [
        (Reply(0, Code.UNKNOWN_QUEUE), 1, "no queue"),
        (Reply(0, Code.UNKNOWN_KEY), 1, "unknown key"),
        (NoLeaderError("x"), 1, "no leader"),
        (None, 1, "starting"),
        (None, 0, "bad input"),
    ],
)
def test_command_reports_errors(reply, count, expected):
    """Errors must reach the operator as an error, not as an empty table."""

    async def call_leader(request, deadline):
        assert deadline > monotonic_now()
        if isinstance(reply, Exception):
            raise reply
        return reply

    async def run():
        endpoint = ExplainEndpoint()
        if reply is not None:
            endpoint.service = types.SimpleNamespace(call_leader=call_leader)
        app = web.Application()
        app.router.add_post("/explain", endpoint.serve)
        async with TestServer(app) as server:
            address = f"{server.host}:{server.port}"
            await asyncio.to_thread(
                explain, address, host="h", path="/", count=count
            )

    with pytest.raises(GalenarillError, match=expected):
        asyncio.run(run())


def test_command_reports_an_unreachable_coordinator():
    """A refused connection must be an error with exit code 1."""
    with pytest.raises(GalenarillError, match="unreachable"):
        explain("127.0.0.1:1", host="h", path="/")
