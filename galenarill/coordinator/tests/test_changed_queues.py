"""Tests of jobs whose queue or tenant a configuration renames or drops."""

import random

import pytest

from galenarill.cluster import AskJob, AskQueue, Code
from galenarill.coordinator.tests.request_cluster import (
    RequestCluster,
    make_queue,
)
from galenarill.coordinator.tests.simulation import ONE
from galenarill.jobs import (
    AcceptJob,
    ClusterState,
    JobSpec,
    JobStatus,
    Step,
)
from galenarill.routing import Resources, Tenant

# Time within which a ready task starts while workers are idle, in seconds.
START_SECONDS = 1.0


@pytest.fixture
def cluster():
    cluster = RequestCluster(seconds_of=lambda task, run: (2.0, "done"))
    cluster.configure(make_queue("q", "/a/"))
    yield cluster
    cluster.simulation.close()


TWO_STEPS = (Step(1, ONE), Step(1, ONE, depends_on=(0,)))

CHANGES = {
    "renamed": ([make_queue("r", "/a/")], "pool"),
    "moved to another prefix": ([make_queue("q", "/b/")], "pool"),
    "given another service": ([make_queue("q", "/a/", "other")], "other"),
    "removed": ([make_queue("r", "/b/", "other")], "pool"),
    "its name given to another": ([make_queue("q", "/b/", "other")], "pool"),
    "its name given to another, and renamed": (
        [make_queue("q", "/b/", "other"), make_queue("r", "/a/")],
        "pool",
    ),
}


@pytest.mark.parametrize("change", CHANGES)
def test_an_accepted_job_goes_on_when_its_queue_changes(cluster, change):
    """Guards against jobs that stand still for good (review case 3)."""
    queues, pool = CHANGES[change]
    simulation = cluster.simulation
    assert cluster.submit("j", *TWO_STEPS) is Code.DONE
    simulation.advance(1.0)
    cluster.configure(*queues)
    simulation.advance(4.5)
    assert simulation.status("j") is JobStatus.COMPLETED
    last = simulation.network.history[-1]
    assert last.worker.startswith("o" if pool == "other" else "w")


@pytest.mark.parametrize("is_back", [False, True])
def test_a_failure_counts_while_the_queue_is_removed(is_back):
    """Guards against a start after `max_attempts` failures."""
    cluster = RequestCluster(seconds_of=lambda task, run: (1.0, "failed"))
    simulation = cluster.simulation
    cluster.configure(make_queue("q", "/a/"))
    cluster.submit("j")
    simulation.advance(1.5)
    cluster.configure(make_queue("r", "/b/"))
    simulation.advance(1.5)
    if is_back:
        cluster.configure(make_queue("q", "/a/"))
    simulation.advance(5.0)
    assert simulation.status("j") is JobStatus.FAILED
    assert len(simulation.network.history) == 2
    simulation.close()


def test_a_job_accepted_while_its_queue_is_being_removed_runs(cluster):
    """The configuration is committed between the proposal and its commit."""
    simulation = cluster.simulation
    spec = JobSpec("x", TWO_STEPS)
    accept = AcceptJob("j", "q", "t", spec, 1.0, make_queue("q", "/a/"))
    cluster.configure(make_queue("r", "/b/", "other"))
    simulation.call(simulation.apply, [accept])
    simulation.advance(6.0)
    assert simulation.status("j") is JobStatus.COMPLETED


def test_snapshots_keep_removed_queues_and_tenants(cluster):
    limited = Tenant("t", ("key",), 1.0, Resources(2))
    cluster.configure(make_queue("q", "/a/"), tenants=[limited])
    cluster.submit("j", *TWO_STEPS)
    others = [Tenant("u", ("other",), 1.0, Resources())]
    cluster.configure(make_queue("r", "/b/"), tenants=others)
    state = cluster.simulation.state
    restored = ClusterState()
    restored.restore(state.encode(), 7)
    assert restored.jobs["j"].queue_settings == make_queue("q", "/a/")
    assert restored.removed_tenants == [limited]


def test_entries_of_earlier_releases_take_the_queue_by_its_name(cluster):
    simulation = cluster.simulation
    accept = AcceptJob("j", "q", "t", JobSpec("x", TWO_STEPS), 1.0)
    simulation.call(simulation.apply, [accept])
    cluster.configure(make_queue("r", "/a/"))
    simulation.advance(6.0)
    assert simulation.status("j") is JobStatus.COMPLETED


def test_the_count_of_waiting_jobs_follows_a_renamedmake_queue(cluster):
    long = Step(1, Resources(9))
    assert cluster.submit("j", long) is Code.DONE
    cluster.configure(make_queue("r", "/a/"), make_queue("q", "/b/"))
    cluster.simulation.advance(1.0)
    assert cluster.ask(AskQueue).number == 1
    assert cluster.ask(AskQueue, "/b/").number == 0


def test_a_tenant_that_is_renamed_keeps_its_jobs_and_its_usage(cluster):
    """Guards against 410 for an accepted job, and a limit that starts anew."""
    simulation = cluster.simulation
    limit = Resources(2)
    cluster.configure(
        make_queue("q", "/a/"), tenants=[Tenant("t", ("key",), 1.0, limit)]
    )
    cluster.submit("j", Step(2, ONE))
    simulation.advance(0.5)
    cluster.configure(
        make_queue("q", "/a/"), tenants=[Tenant("u", ("key",), 1.0, limit)]
    )
    assert cluster.ask(AskJob, "/a/", "key", "j").text == "running"
    cluster.submit("k", Step(2, ONE))
    simulation.advance(0.5)
    assert len(simulation.network.history) == 2
    simulation.advance(6.0)
    assert simulation.all_completed()


def test_the_limit_of_a_removed_tenant_still_holds(cluster):
    simulation = cluster.simulation
    tenants = [
        Tenant("t", ("key",), 1.0, Resources(2)),
        Tenant("u", ("other",), 1.0, Resources()),
    ]
    cluster.configure(make_queue("q", "/a/"), tenants=tenants)
    cluster.submit("j", Step(6, ONE))
    cluster.configure(make_queue("q", "/a/"), tenants=tenants[1:])
    simulation.advance(1.0)
    assert len(simulation.network.history) == 2
    simulation.advance(9.0)
    assert simulation.all_completed()


class _Play:
    """Configurations in series while jobs are handed in, run and fail."""

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self._cluster = RequestCluster(seed, self._seconds_of)

    def _seconds_of(self, task, run):
        number = sum(map(ord, task)) + run
        return (0.3, 0.9, 1.6)[number % 3], "failed" if number % 7 == 0 else (
            "done"
        )

    def _change(self):
        rng = self._rng
        names, prefixes = ["q", "r", "s"], ["/a/", "/b/", "/c/", "/a/b/"]
        rng.shuffle(names)
        rng.shuffle(prefixes)
        queues = [
            make_queue(name, prefix, rng.choice(("pool", "other")))
            for name, prefix in zip(names, prefixes, strict=False)
        ]
        tenants = [
            Tenant(rng.choice("tuv"), ("key",), 1.0, Resources(8)),
            Tenant("w", ("other",), 1.0, Resources(8)),
        ]
        # One pool may lose all its queues, and an earlier name may come back.
        self._cluster.configure(*queues[: rng.randint(1, 3)], tenants=tenants)

    def _idle_jobs(self, accepted):
        """Return the number of starts of each active job without runs."""
        simulation = self._cluster.simulation
        return {
            job: sum(
                run.task.startswith(f"{job}.")
                for run in simulation.network.history
            )
            for job in accepted
            if simulation.status(job) is JobStatus.ACTIVE
            and not simulation.leader.runs.runs_of(job)
        }

    def play(self):
        rng, simulation = self._rng, self._cluster.simulation
        self._change()
        accepted = []
        for number in range(40):
            path = rng.choice(("/a/", "/b/", "/c/", "/a/b/"))
            job = f"j{number}"
            steps = TWO_STEPS if rng.random() < 0.5 else (Step(2, ONE),)
            key = rng.choice(("key", "other"))
            if (
                self._cluster.submit(job, *steps, path=path, key=key)
                is Code.DONE
            ):
                accepted.append(job)
            if rng.random() < 0.6:
                self._change()
            if rng.random() < 0.1:
                simulation.take_over()
            simulation.advance(rng.uniform(0.02, 1.2))
            simulation.check()
        idle = {}
        for _ in range(40):
            simulation.advance(START_SECONDS)
            was_idle, idle = idle, self._idle_jobs(accepted)
            assert not was_idle.items() & idle.items()
        assert all(
            simulation.status(job) in (JobStatus.COMPLETED, JobStatus.FAILED)
            for job in accepted
        )
        for job in accepted:
            for task in simulation.state.jobs[job].tasks.values():
                assert task.failures <= 2
        simulation.close()


@pytest.mark.parametrize("seed", range(10))
def test_jobs_go_on_through_series_of_configurations(seed):
    """Guards against jobs that stand still for good."""
    _Play(seed).play()
