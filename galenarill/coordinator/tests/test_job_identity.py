"""Tests of what identifies a job: its id, its queue and its tenant."""

import asyncio

from galenarill.cluster import AskJob, Code, SubmitJob, WithdrawJob
from galenarill.coordinator.tests.request_cluster import (
    HOST,
    RequestCluster,
    make_queue,
    make_queues_configuration,
)
from galenarill.coordinator.tests.simulation import ONE
from galenarill.jobs import Configure, JobSpec, Step
from galenarill.routing import Resources, Tenant


def test_an_id_in_use_by_another_queue_or_tenant_is_refused():
    """Guards against an acknowledged job that is never stored."""
    cluster = RequestCluster()
    tenants = [
        Tenant("t", ("key",), 1.0, Resources()),
        Tenant("u", ("other",), 1.0, Resources()),
    ]
    cluster.configure(
        make_queue("q", "/a/"), make_queue("r", "/b/"), tenants=tenants
    )
    assert cluster.submit("j") is Code.DONE
    assert cluster.submit("j") is Code.DONE
    assert cluster.submit("j", path="/b/") is Code.ID_IN_USE
    assert cluster.submit("j", key="other") is Code.ID_IN_USE
    assert cluster.ask(AskJob, "/b/", "key", "j").code is Code.UNKNOWN
    assert cluster.ask(AskJob, "/a/", "other", "j").code is Code.UNKNOWN
    cluster.simulation.close()


def test_of_two_jobs_with_one_id_at_a_time_one_is_refused():
    cluster = RequestCluster()
    cluster.configure(make_queue("q", "/a/"), make_queue("r", "/b/"))

    async def submit_both():
        spec = JobSpec("x", (Step(1, ONE),))
        return await asyncio.gather(
            *(
                cluster.handler.answer(
                    1, SubmitJob(HOST, path, "key", "j", spec)
                )
                for path in ("/a/", "/b/")
            )
        )

    replies = cluster.simulation.run(submit_both())
    assert [reply.code for reply in replies] == [Code.DONE, Code.ID_IN_USE]
    cluster.simulation.close()


def test_a_job_is_acknowledged_although_its_queue_is_renamed_meanwhile():
    cluster = RequestCluster()
    cluster.configure(make_queue("q", "/a/"))
    simulation = cluster.simulation

    async def submit():
        spec = JobSpec("x", (Step(1, ONE),))
        reply = asyncio.create_task(
            cluster.handler.answer(1, SubmitJob(HOST, "/a/", "key", "j", spec))
        )
        await asyncio.sleep(0)
        configuration = make_queues_configuration(9, make_queue("r", "/c/"))
        simulation.apply([Configure(configuration)])
        return await reply

    assert simulation.run(submit()).code is Code.DONE
    assert "j" in simulation.state.jobs
    simulation.close()


def test_a_public_queue_shows_the_jobs_of_no_othermake_queue():
    """A caller without a key names any id."""
    cluster = RequestCluster()
    public = make_queue("p", "/p/", allows_anonymous=True)
    cluster.configure(make_queue("q", "/a/"), public)
    cluster.submit("j")
    for request in (AskJob, WithdrawJob):
        assert cluster.ask(request, "/p/", None, "j").code is Code.UNKNOWN
    cluster.configure(public)
    assert cluster.ask(AskJob, "/p/", None, "j").code is Code.UNKNOWN
    cluster.submit("k", path="/p/")
    assert cluster.ask(AskJob, "/p/", None, "k").code is Code.DONE
    cluster.simulation.close()
