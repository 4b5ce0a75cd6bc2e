"""Urgent tasks preempt less urgent runs, and no more than needed."""

from hypothesis import example, given, settings
from hypothesis import strategies as st

from galenarill.jobs import GANG, Step, TaskKey
from galenarill.placement import (
    ActiveRun,
    AvailableWorker,
    Candidate,
    Quota,
    choose_victims,
)
from galenarill.routing import Resources
from galenarill.workers import WorkerReport


def available_worker(name, free=0, labels=(), **options):
    report = WorkerReport(
        name, 1, 1, "p", "", "h:1", "a", "r1", labels, Resources(4, 4)
    )
    return AvailableWorker(report, Resources(free, free), **options)


def task(index=0, cpu=1, **options):
    step = Step(9, Resources(cpu, cpu), **options)
    return Candidate("urgent", TaskKey(0, 0, index), step, "p", "t")


def active_run(run, priority=1, cpu=1, **options):
    return ActiveRun(run, priority, Resources(cpu, cpu), **options)


def victims(waiting, available, active_runs, quotas=None, priority=0):
    chosen = choose_victims(
        [(candidate, priority) for candidate in waiting],
        {"p": available},
        quotas or {},
        active_runs,
    )
    return [active_run.run for active_run in chosen.victims]


def test_the_run_that_loses_the_least_work_stops():
    active_runs = {
        "w1": [active_run("a", lost_seconds=5.0)],
        "w2": [
            active_run("b", lost_seconds=1.0),
            active_run("c", lost_seconds=9),
        ],
    }
    available = [available_worker("w1"), available_worker("w2")]
    assert victims([task()], available, active_runs) == ["b"]


def test_equally_or_more_urgent_runs_are_not_preempted():
    active_runs = {"w1": [active_run("a", 0), active_run("b", 1)]}
    assert not victims(
        [task()], [available_worker("w1")], active_runs, priority=1
    )
    assert victims([task()], [available_worker("w1")], active_runs) == ["b"]


def test_no_preemption_if_it_frees_too_little():
    active_runs = {
        "w1": [active_run("a"), active_run("b", is_preemptible=False)]
    }
    assert not victims([task(cpu=2)], [available_worker("w1")], active_runs)


def test_no_preemption_if_stopping_runs_free_enough():
    active_runs = {"w1": [active_run("a", is_stopping=True), active_run("b")]}
    assert not victims([task()], [available_worker("w1")], active_runs)
    assert victims(
        [task(0), task(1)], [available_worker("w1")], active_runs
    ) == ["b"]


def test_preemption_respects_labels_quotas_suspects_and_gangs():
    active_runs = {"w1": [active_run("a")]}
    assert not victims(
        [task(label="big")], [available_worker("w1")], active_runs
    )
    assert victims(
        [task(label="big")], [available_worker("w1", 0, ("big",))], active_runs
    )
    full = {"t": Quota(Resources(3), Resources(3))}
    assert not victims([task()], [available_worker("w1")], active_runs, full)
    suspect = available_worker("w1", is_suspect=True)
    assert not victims([task()], [suspect], active_runs)
    assert not victims(
        [task(GANG, is_gang=True)], [available_worker("w1")], active_runs
    )


def test_preemption_respects_max_per_worker():
    active_runs = {
        "w1": [active_run("a"), active_run("b")],
        "w2": [active_run("c")],
    }
    siblings = {}
    waiting = [task(0, max_per_worker=1), task(1, max_per_worker=1)]
    for candidate in waiting:
        candidate.siblings = siblings
    chosen = victims(
        waiting, [available_worker("w1"), available_worker("w2")], active_runs
    )
    assert sorted(chosen) == ["a", "c"]


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.integers(1, 3), max_size=5),
    st.lists(
        st.tuples(
            st.integers(0, 2), st.integers(1, 3), st.booleans(), st.booleans()
        ),
        max_size=6,
    ),
    st.integers(0, 2),
)
@example(needs=[2], present=[(1, 2, True, False), (2, 1, True, False)], free=0)
@example(
    needs=[1, 1], present=[(1, 1, True, False), (1, 2, True, False)], free=0
)
def test_no_more_stops_than_the_waiting_tasks_need(needs, present, free):
    """Victims are less urgent, preemptible, unique and all necessary."""
    active_runs = [
        active_run(
            n,
            priority,
            cpu,
            is_preemptible=may,
            is_stopping=stopping,
        )
        for n, (priority, cpu, may, stopping) in enumerate(present)
    ]
    waiting = [task(n, cpu=cpu) for n, cpu in enumerate(needs)]
    preemption = choose_victims(
        [(candidate, 0) for candidate in waiting],
        {"p": [available_worker("w1", free)]},
        {},
        {"w1": active_runs},
    )
    chosen = preemption.victims
    assert len({victim.run for victim in chosen}) == len(chosen)
    for victim in chosen:
        assert victim.priority > 0
        assert victim.is_preemptible
        assert not victim.is_stopping
    coming = sum(o.reserved.cpu for o in active_runs if o.is_stopping)
    freed = sum(victim.reserved.cpu for victim in chosen)
    if chosen:
        smallest = min(victim.reserved.cpu for victim in chosen)
        # Without the smallest victim the waiting tasks would not fit.
        assert freed - smallest < sum(needs)
        assert free + coming < sum(needs)
        # The same holds for the tasks that get room, which all fit.
        helped = sum(o.step.need.cpu for o in preemption.helped)
        released = free + coming + freed
        assert released - smallest < helped <= released
