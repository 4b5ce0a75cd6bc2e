"""Tests of rejections by the leader, under load in virtual time."""

import asyncio
import types
import unittest.mock

import pytest

from galenarill.cluster import Code, SubmitJob
from galenarill.coordinator.tests.request_cluster import (
    HOST,
    RequestCluster,
    make_queue,
)
from galenarill.coordinator.tests.simulation import ONE
from galenarill.jobs import JobSpec, Step
from galenarill.routing import Resources, Tenant

# Tasks of 1 s; the objective is 2.1 s after submission.
SPEC = JobSpec("x", (Step(8, ONE, estimate_ms=1000),))
LIMIT = 2


class Load:
    """Two tenants, one of them with a limit, and a leader that has settled."""

    def __init__(self):
        self.cluster = RequestCluster(
            seconds_of=lambda task, run: (1.0, "done"), useful_lateness=3.0
        )
        self.simulation = self.cluster.simulation
        tenants = (
            Tenant("t", ("key",), 1.0, Resources(LIMIT)),
            Tenant("u", ("other",), 1.0, Resources()),
        )
        self.cluster.configure(make_queue("q", "/a/"), tenants=tenants)
        self.simulation.advance(3.5)
        self.replies = {}

    def send(self, seconds, per_second, key="key", prefix="j"):
        """Submit jobs at a constant rate."""

        async def submit(job):
            request = SubmitJob(HOST, "/a/", key, job, SPEC)
            self.replies[job] = await self.cluster.handler.answer(1, request)

        async def run():
            async with asyncio.TaskGroup() as group:
                for n in range(int(seconds * per_second)):
                    group.create_task(submit(f"{prefix}{n}"))
                    await asyncio.sleep(1 / per_second)

        return run()

    def play(self, *loads):
        async def run():
            await asyncio.gather(*loads)

        self.simulation.run(run())

    def rejected(self, prefix):
        return [
            job
            for job, reply in self.replies.items()
            if job.startswith(prefix) and reply.code is Code.TOO_LATE
        ]


@pytest.fixture
def load():
    made = Load()
    yield made
    made.simulation.close()


def test_of_a_tenant_that_sends_many_times_its_limit_the_surplus_is_rejected(
    load,
):
    """Guards against a backlog that no caller has a use for.

    The limit does 2 task-seconds a second, and 160 arrive.
    """
    load.play(load.send(4, 20), load.send(4, 1, key="other", prefix="u"))
    rejected = load.rejected("j")
    # 12 task-seconds, four times as many by the estimate, are not rejected.
    assert not {f"j{n}" for n in range(6)}.intersection(rejected)
    assert len(rejected) > 40
    assert not load.rejected("u")
    assert all(load.replies[job].number >= 1 for job in rejected)
    assert not load.simulation.state.jobs.keys() & set(rejected)
    accepted = load.replies.keys() - set(rejected)
    assert load.simulation.state.jobs.keys() == accepted


def test_a_submission_that_arrives_after_its_rejection_is_rejected(load):
    """Guards against a job that runs after its caller was told that it won't.

    The first attempt is delayed in one gateway while the second one, through
    another, is rejected. Then the tenant cancels what it had waiting.
    """
    load.play(load.send(3, 30))
    job = load.rejected("j")[-1]
    for other in list(load.simulation.state.jobs):
        load.simulation.cancel(other)
    load.simulation.advance(0.3)
    request = SubmitJob(HOST, "/a/", "key", job, SPEC)
    answer = load.cluster.handler.answer
    assert load.simulation.run(answer(1, request)).code is Code.TOO_LATE
    load.simulation.advance(1.0)
    assert load.simulation.run(answer(1, request)).code is Code.DONE


def test_in_a_short_overload_no_job_is_rejected(load):
    """Guards against rejections of jobs that are only late.

    For 3 s, 96 task-seconds arrive a second for 20 slots, or, of the tenant
    with a limit, 16 for 2.
    """
    load.play(load.send(3, 12, key="other", prefix="u"), load.send(3, 2))
    assert len(load.replies) == 42
    assert not load.rejected("")


def test_a_new_leader_rejects_nothing_for_three_seconds(load):
    """Guards against decisions on runs and workers that are not known yet.

    Nor does it reject later a job that was resent to it and accepted, which
    would say of a job that runs that it does not.
    """
    load.play(load.send(4, 20))
    rejected = load.rejected("j")[-1]
    load.simulation.take_over()
    assert load.cluster.submit(rejected, *SPEC.steps) is Code.DONE
    codes = set()

    async def resend():
        for _ in range(100):
            await asyncio.sleep(0.05)
            request = SubmitJob(HOST, "/a/", "key", rejected, SPEC)
            reply = await load.cluster.handler.answer(1, request)
            codes.add(reply.code)

    load.play(load.send(5, 20, prefix="k"), resend())
    # The first 58 are submitted within 2.9 s.
    assert load.rejected("k")
    assert not {f"k{n}" for n in range(58)}.intersection(load.rejected("k"))
    assert codes == {Code.DONE}


def test_a_leader_whose_leadership_is_not_confirmed_rejects_nothing(load):
    """Guards against decisions from the state of a paused leader."""
    simulation = load.simulation
    for n in range(40):
        simulation.submit(f"j{n}", 8, "t", estimate_ms=1000)
    decide = simulation.leader.decide_admission
    arguments = "new", SPEC, simulation.state.routing.queue("q"), "t"
    assert not simulation.call(decide, *arguments).is_accepted
    simulation.term += 1
    assert simulation.call(decide, *arguments).is_accepted


@pytest.mark.parametrize("kind", ["is_speculative", "is_checkpointing"])
def test_tasks_that_may_have_little_left_to_do_are_not_counted(load, kind):
    """Guards against rejections behind copies whose first run soon ends.

    Steps of started jobs may have copies or checkpoints, of others not.
    """
    simulation = load.simulation
    for n in range(40):
        simulation.submit(f"j{n}", 8, "t", estimate_ms=1000, **{kind: True})
    queue = simulation.state.routing.queue("q")
    decide = simulation.leader.decide_admission
    assert not simulation.call(decide, "new", SPEC, queue, "t").is_accepted
    for job in simulation.state.jobs.values():
        job.has_started = True
    simulation.advance(0.2)
    assert simulation.call(decide, "newer", SPEC, queue, "t").is_accepted


def test_a_raised_limit_counts_at_once(load):
    """Guards against rejections under the limit of an earlier configuration."""
    simulation = load.simulation
    for n in range(40):
        simulation.submit(f"j{n}", 8, "t", estimate_ms=1000)
    decide = simulation.leader.decide_admission
    queue = simulation.state.routing.queue("q")
    assert not simulation.call(decide, "new", SPEC, queue, "t").is_accepted
    raised = (Tenant("t", ("key",), 1.0, Resources()),)
    load.cluster.configure(make_queue("q", "/a/"), tenants=raised)
    assert simulation.call(decide, "new", SPEC, queue, "t").is_accepted


def test_machines_without_a_worker_count_beside_workers_without_a_machine(load):
    """Guards against rejections although machines could still be switched on.

    The workers run on no listed machine, except for one.
    """
    simulation = load.simulation
    simulation.submit("u", 50, "u", estimate_ms=1000)
    workers = [known.report for known in simulation.registry.workers.values()]
    listed, total = workers[0], sum(report.capacity.cpu for report in workers)
    machines = {
        "on": types.SimpleNamespace(
            capacity=listed.capacity, worker=listed.worker
        ),
        "off": types.SimpleNamespace(capacity=Resources(7), worker=""),
    }
    simulation.leader.count_machines(
        types.SimpleNamespace(machines=machines, read_at=0.0)
    )
    queue = simulation.state.routing.queue("q")
    admission = simulation.call(
        simulation.leader.decide_admission, "new", SPEC, queue, "u"
    )
    assert admission.cpu_seconds_ahead > 0
    assert admission.capacity.cpu == total + 7


def test_nothing_is_rejected_before_the_machines_are_read(load):
    """Guards against rejections by a part of the capacity.

    A leader that has just started may know few workers, and no machines while
    the platform does not answer.
    """
    simulation = load.simulation
    for n in range(40):
        simulation.submit(f"j{n}", 8, "t", estimate_ms=1000)
    inventory = types.SimpleNamespace(machines={}, read_at=float("-inf"))
    simulation.leader.count_machines(inventory)
    decide = simulation.leader.decide_admission
    arguments = "new", SPEC, simulation.state.routing.queue("q"), "t"
    assert simulation.call(decide, *arguments).is_accepted
    inventory.read_at = 0.0
    assert not simulation.call(decide, *arguments).is_accepted


def test_a_job_that_is_being_accepted_is_not_rejected(load):
    """Guards against 429 for the resend of a job that runs."""
    first = SubmitJob(HOST, "/a/", "key", "first", SPEC)
    answer = load.cluster.handler.answer

    async def resend():
        accepting = asyncio.ensure_future(answer(1, first))
        await asyncio.sleep(0)
        policy = unittest.mock.Mock()
        policy.decide_admission.return_value.retry_after_seconds = 5
        load.cluster.handler._admission_policy = lambda: policy
        resent = await answer(2, first)
        other = await answer(3, SubmitJob(HOST, "/a/", "key", "other", SPEC))
        return (await accepting).code, resent.code, other.code

    codes = load.simulation.run(resend())
    assert codes == (Code.DONE, Code.DONE, Code.TOO_LATE)
