"""Placement respects capacity, quotas, labels and gangs."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from galenarill.jobs import GANG, Step, TaskKey
from galenarill.placement import AvailableWorker, Candidate, Packer, Quota
from galenarill.routing import Resources
from galenarill.workers import WorkerReport


def available_worker(name, cpu=4, rack="r1", labels=(), **options):
    report = WorkerReport(
        name, 1, 1, "p", "", "h:1", "a", rack, (rack, *labels), Resources(cpu)
    )
    return AvailableWorker(report, Resources(cpu, 10**6), **options)


def task(job, index=0, tenant="t", **options):
    step = Step(options.pop("count", 1), Resources(1, 1), **options)
    return Candidate(job, TaskKey(0, 0, index), step, "p", tenant)


def place_tasks(candidates, available, quotas, overdue=()):
    packer = Packer(
        available,
        quotas,
        overdue={c.step_id: (c.tenant, c.step) for c in overdue},
    )
    placements = [packer.place(candidate) for candidate in candidates]
    return [placement for placement in placements if placement is not None]


def placed(placements):
    return [
        (p.candidate.job, [incarnation.worker for _, incarnation in p.members])
        for p in placements
    ]


def test_a_gang_is_placed_whole_or_not_at_all():
    available = {"p": [available_worker("w1", 2), available_worker("w2", 1)]}
    assert not place_tasks(
        [task("g", GANG, count=4, is_gang=True)], available, {}
    )
    ((_, workers),) = placed(
        place_tasks([task("g", GANG, count=3, is_gang=True)], available, {})
    )
    assert sorted(workers) == ["w1", "w1", "w2"]


def test_a_gang_goes_to_one_rack_if_one_has_capacity():
    available = {
        "p": [
            available_worker("w1", 2, "r1"),
            available_worker("w2", 3, "r2"),
            available_worker("w3", 1, "r3"),
        ]
    }
    gang = task("g", GANG, count=3, is_gang=True, wants_same_rack=True)
    assert placed(place_tasks([gang], available, {})) == [("g", ["w2"] * 3)]


def test_placement_follows_labels_and_data_racks():
    available = {
        "p": [
            available_worker("w1", rack="r1"),
            available_worker("w2", 9, "r2", ("big",)),
        ]
    }
    assert placed(place_tasks([task("a", label="big")], available, {})) == [
        ("a", ["w2"])
    ]
    assert not place_tasks([task("a", label="none")], available, {})
    assert placed(place_tasks([task("a", data_rack="r2")], available, {})) == [
        ("a", ["w2"])
    ]


def test_a_suspect_worker_gets_work_only_if_it_is_alone():
    suspect = available_worker("w1", is_suspect=True)
    assert placed(
        place_tasks([task("a")], {"p": [suspect, available_worker("w2")]}, {})
    ) == [("a", ["w2"])]
    assert placed(place_tasks([task("a")], {"p": [suspect]}, {})) == [
        ("a", ["w1"])
    ]


def test_a_task_that_fits_nowhere_does_not_hold_up_smaller_ones():
    big = Candidate("b", TaskKey(0, 0, 0), Step(1, Resources(9)), "p", "t")
    assert placed(
        place_tasks([big, task("s")], {"p": [available_worker("w1")]}, {})
    ) == [("s", ["w1"])]


@pytest.mark.parametrize(
    ("pending", "unanswered", "is_overdue", "expected"),
    [
        (False, False, True, ["big"]),
        (True, False, False, ["small"]),
        (True, False, True, []),
        (True, True, True, ["small"]),
    ],
)
def test_a_task_above_the_limit_waits_for_pending_starts(
    pending, unanswered, is_overdue, expected
):
    """Others wait for an overdue one, but not if an answer is missing.

    Those before it kept it waiting for as long as they came.
    """
    in_use = Resources(6)
    quota = Quota(Resources(10), in_use, in_use, pending, unanswered)
    big, small = task("big"), task("small")
    big.step = Step(1, Resources(5))
    available = {"p": [available_worker("w1", 8)]}
    overdue = [big] if is_overdue else []
    placements = place_tasks([small, big], available, {"t": quota}, overdue)
    assert [p.candidate.job for p in placements] == expected


def test_an_overdue_task_of_a_tenant_without_a_quota_is_placed():
    """Its tenant may have lost its limit since it began to wait."""
    waiting = task("a")
    available = {"p": [available_worker("w1")]}
    assert place_tasks([waiting], available, {}, [waiting])


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.integers(0, 4), min_size=1, max_size=4),
    st.lists(
        st.tuples(
            st.sampled_from("ab"),
            st.integers(1, 4),
            st.integers(0, 2),
            st.booleans(),
        ),
        max_size=12,
    ),
    st.integers(0, 8),
)
def test_no_bound_is_ever_exceeded(sizes, requests, limit):
    available = {
        "p": [available_worker(f"w{n}", size) for n, size in enumerate(sizes)]
    }
    quotas = {"a": Quota(Resources(limit), Resources())}
    candidates = []
    for number, (tenant, count, apart, is_gang) in enumerate(requests):
        candidates.append(
            task(
                f"j{number}",
                GANG if is_gang else 0,
                tenant,
                count=count if is_gang else 1,
                max_per_worker=apart,
                is_gang=is_gang,
            )
        )
    placements = place_tasks(candidates, available, quotas)
    used, by_tenant = {}, {}
    for placement in placements:
        candidate = placement.candidate
        wanted = candidate.step.count if candidate.key.index == GANG else 1
        assert len(placement.members) == wanted
        workers = [incarnation.worker for _, incarnation in placement.members]
        for worker in workers:
            used[worker] = used.get(worker, 0) + 1
        most = candidate.step.max_per_worker
        assert not most or max(map(workers.count, workers)) <= most
        by_tenant[candidate.tenant] = by_tenant.get(candidate.tenant, 0) + len(
            workers
        )
    for worker, count in used.items():
        assert count <= sizes[int(worker[1:])]
    assert not limit or by_tenant.get("a", 0) <= limit
