"""Workers are held for lasting tasks that fit nowhere."""

from galenarill.jobs import Step, TaskKey
from galenarill.placement import (
    AvailableWorker,
    Candidate,
    Packer,
    choose_workers_to_hold,
)
from galenarill.routing import Resources
from galenarill.workers import WorkerReport


def worker(name, free, labels=(), **options):
    report = WorkerReport(
        name, 1, 1, "p", "", "h:1", "a", "r1", labels, Resources(8, 8)
    )
    return AvailableWorker(report, Resources(free, free), **options)


def task(cpu, index=0, is_long_running=True, **options):
    step = Step(
        9, Resources(cpu, cpu), is_long_running=is_long_running, **options
    )
    return Candidate("j", TaskKey(0, 0, index), step, "p", "t")


def test_the_worker_where_the_least_is_missing_is_held():
    available = {"p": [worker("w1", 1), worker("w2", 4), worker("w3", 2)]}
    releasable = dict.fromkeys(("w1", "w2", "w3"), Resources(8, 8))
    waiting = [("a", task(6)), ("b", task(6, 1))]
    held = choose_workers_to_hold(waiting, available, releasable, {})
    assert held == {"a": "w2", "b": "w3"}


def test_a_held_worker_stays_held_while_the_task_can_fit_there():
    available = {"p": [worker("w1", 1), worker("w2", 4)]}
    releasable = dict.fromkeys(("w1", "w2"), Resources(8, 8))
    held = choose_workers_to_hold(
        [("a", task(6))], available, releasable, {"a": "w1"}
    )
    assert held == {"a": "w1"}
    assert choose_workers_to_hold(
        [("a", task(6))], available, {"w2": Resources(8, 8)}, {"a": "w1"}
    ) == {"a": "w2"}


def test_no_worker_is_held_that_the_task_will_not_fit_on():
    available = {"p": [worker("w1", 1), worker("w2", 1, is_suspect=True)]}
    releasable = {"w1": Resources(2, 2), "w2": Resources(8, 8)}
    assert not choose_workers_to_hold(
        [("a", task(6))], available, releasable, {}
    )
    assert not choose_workers_to_hold(
        [("a", task(2, label="big"))], available, releasable, {}
    )


def test_held_workers_get_long_running_tasks_only():
    packer = Packer({"p": [worker("w1", 4)]}, {}, {"w1"})
    assert packer.place(task(2, is_long_running=False)) is None
    avoided = task(2, is_long_running=False, max_per_worker=1)
    assert packer.place(avoided) is None
    assert packer.place(task(2)) is not None
