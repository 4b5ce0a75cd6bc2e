"""Commands change the replicated state of jobs as specified."""

import pytest

from galenarill.jobs import (
    GANG,
    AcceptJob,
    CancelJob,
    ClusterState,
    Configure,
    EndRun,
    FinishMaintenance,
    ForgetJobs,
    JobSpec,
    JobStatus,
    MoveMachine,
    OrderMaintenance,
    StartRun,
    StartWave,
    Step,
    decode_commands,
    encode_commands,
)
from galenarill.routing import Configuration, Pool, Queue, Resources

ONE = Resources(1)
MEMBERS = ((0, "w", 5),)


@pytest.fixture
def state():
    state = ClusterState()
    queue = Queue("q", "h", "/q/", "pool", 0, 2, 1.5, 600, True)
    configuration = Configuration(
        3, (queue,), (Pool("pool", True, False),), (), document=b"{}"
    )
    apply(state, Configure(configuration))
    return state


def apply(state, *commands):
    commands = decode_commands(encode_commands(list(commands)))
    state.apply(state.version + 1, commands)


def accept(state, *steps, **options):
    apply(state, AcceptJob("j", "q", "t", JobSpec("x", steps, **options), 9.0))
    return state.jobs["j"]


def start(state, key=(0, 0, 0), run=1, members=MEMBERS):
    apply(state, StartRun("j", *key, run, members))


def end(state, how, key=(0, 0, 0), run=1, member=0, checkpoint=""):
    apply(state, EndRun("j", *key, run, member, how, checkpoint, 12.0))


def test_a_lower_or_equal_version_changes_nothing(state):
    for version in (2, 3):
        apply(state, Configure(Configuration(version, document=b"other")))
    assert state.routing.configuration.document == b"{}"
    apply(state, Configure(Configuration(4, document=b"newer")))
    assert state.routing.configuration.document == b"newer"


def test_a_resent_job_is_the_same_job(state):
    job = accept(state, Step(1, ONE))
    start(state)
    accept(state, Step(7, ONE))
    assert state.jobs["j"] is job
    assert job.spec.steps[0].count == 1


def test_a_job_is_completed_when_all_tasks_are_done(state):
    job = accept(state, Step(2, ONE), Step(1, ONE, depends_on=(0,)))
    assert not job.is_step_ready(0, 1)
    for index in range(2):
        start(state, (0, 0, index))
        end(state, "done", (0, 0, index))
    assert job.is_step_ready(0, 1)
    assert job.status is JobStatus.ACTIVE
    start(state, (0, 1, 0))
    end(state, "done", (0, 1, 0))
    assert job.status is JobStatus.COMPLETED
    assert job.ended_at == 12.0


def test_only_failed_ends_count_as_attempts(state):
    job = accept(state, Step(1, ONE))
    outcomes = ["stopped", "lapsed", "lost", "rejected", "failed", "broken"]
    for run, how in enumerate(outcomes, 1):
        start(state, run=run)
        end(state, how, run=run)
    assert job.status is JobStatus.ACTIVE
    start(state, run=7)
    end(state, "failed", run=7)
    assert job.status is JobStatus.FAILED


def test_an_end_counts_once_and_only_for_a_run_that_is_known(state):
    job = accept(state, Step(1, ONE))
    start(state)
    end(state, "failed")
    end(state, "failed")
    end(state, "done", run=9)
    assert job.tasks[0, 0, 0].failures == 1
    assert job.status is JobStatus.ACTIVE


def test_run_numbers_only_rise_and_nothing_starts_when_done(state):
    job = accept(state, Step(1, ONE), Step(1, ONE))
    start(state, run=3)
    start(state, run=3)
    start(state, run=2)
    assert [run.number for run in job.tasks[0, 0, 0].runs] == [3]
    end(state, "done", run=3)
    start(state, run=4)
    assert not job.tasks[0, 0, 0].runs


def test_a_cancelled_job_starts_nothing_and_stays_cancelled(state):
    job = accept(state, Step(1, ONE))
    start(state)
    apply(state, CancelJob("j", 10.0))
    end(state, "done")
    start(state, run=2)
    assert job.status is JobStatus.CANCELLED
    assert not job.tasks[0, 0, 0].runs


def test_long_running_tasks_have_no_limit_of_attempts(state):
    job = accept(state, Step(1, ONE, is_long_running=True))
    for run in range(1, 9):
        start(state, run=run)
        end(state, "failed" if run % 2 else "done", run=run)
    assert job.status is JobStatus.ACTIVE
    assert not job.tasks[0, 0, 0].is_done


def test_a_gang_is_one_task_with_several_members(state):
    job = accept(state, Step(3, ONE, is_gang=True))
    key = (0, 0, GANG)
    start(state, key, 1, tuple((i, f"w{i}", 5) for i in range(3)))
    end(state, "failed", key, 1, 0)
    end(state, "broken", key, 1, 1)
    end(state, "failed", key, 1, 2)
    assert job.tasks[key].failures == 1
    start(state, key, 2, tuple((i, f"w{i}", 5) for i in range(3)))
    end(state, "done", key, 2, 1)
    assert job.status is JobStatus.COMPLETED


def test_a_recurring_job_is_completed_by_its_last_occurrence(state):
    job = accept(
        state,
        Step(1, ONE),
        repeat_count=3,
        first_due_at=100.0,
        interval_s=5.0,
    )
    assert [job.spec.due_at(k) for k in range(3)] == [100.0, 105.0, 110.0]
    for occurrence in range(3):
        assert job.status is JobStatus.ACTIVE
        start(state, (occurrence, 0, 0))
        end(state, "done", (occurrence, 0, 0))
    assert job.status is JobStatus.COMPLETED


def test_a_snapshot_holds_everything(state):
    accept(state, Step(2, ONE), Step(2, ONE, is_gang=True))
    start(state)
    end(state, "stopped", checkpoint="c1")
    start(state, run=2)
    start(state, (0, 1, GANG), 1, ((0, "w", 5), (1, "v", 6)))
    apply(
        state,
        StartWave(1, ("m1", "m2"), 1, 99.0),
        OrderMaintenance(1, "m1", "c", 3.0),
        FinishMaintenance(1, "m1"),
        MoveMachine("m3", "pool", "c", 4.0),
    )
    copy = ClusterState()
    copy.restore(state.encode(), state.version)
    assert copy.jobs == state.jobs
    assert copy.waves == state.waves
    assert copy.orders == state.orders
    assert copy.version == state.version
    assert copy.routing.configuration == state.routing.configuration
    for each in (state, copy):
        end(each, "done", run=2)
        end(each, "done", (0, 1, GANG), 1, 1)
    assert copy.jobs == state.jobs
    apply(copy, ForgetJobs(("j",)))
    assert not copy.jobs


def test_a_wave_is_completed_when_each_machine_is_finished(state):
    apply(state, StartWave(1, ("m1", "m2"), 1, 99.0))
    apply(state, StartWave(1, ("m9",), 1, 99.0))
    apply(state, FinishMaintenance(1, "m1"))
    assert not state.waves[1].is_completed
    apply(state, FinishMaintenance(1, "m2"))
    assert state.waves[1].is_completed
