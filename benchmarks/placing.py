"""CPU time of placement and move planning, and size of job snapshots."""

import time

from galenarill.jobs import (
    AcceptJob,
    ClusterState,
    JobSpec,
    StartRun,
    Step,
    TaskKey,
    encode_commands,
    make_job,
)
from galenarill.placement import (
    AvailableWorker,
    Candidate,
    Packer,
    TenantUsage,
    make_group,
    place_groups,
)
from galenarill.pools import PoolLoad, PoolMachine, plan_moves
from galenarill.routing import Queue, Resources
from galenarill.workers import WorkerReport

REPEATS = 5
TASK_RESOURCES = Resources(1000, 3000)
WORKER_CAPACITY = Resources(16_000, 65_000)


def main() -> None:
    """Print one line per result, at several sizes."""
    for workers in (30, 200, 600, 1700):
        seconds = _min_seconds(lambda n=workers: _run_placement(n, 100))
        print(f"place 100 tasks, {workers} workers: {1000 * seconds:.2f} ms")
    for tasks in (50, 200, 800, 3200):
        seconds = _min_seconds(lambda n=tasks: _run_placement(200, n))
        print(f"place {tasks} tasks, 200 workers: {1000 * seconds:.2f} ms")
    for machines in (30, 200, 600, 1700):
        seconds = _min_seconds(lambda n=machines: _run_move_planning(n))
        print(f"plan moves, {machines} machines: {1000 * seconds:.2f} ms")
    for jobs in (100, 400, 1600, 6400):
        state = _make_state(jobs)
        began_at = time.perf_counter()
        data = state.encode()
        seconds = time.perf_counter() - began_at
        began_at = time.perf_counter()
        ClusterState().restore(data, state.version)
        restore = time.perf_counter() - began_at
        print(
            f"snapshot of {jobs} jobs with 8 tasks: {len(data)} B, "
            f"{1000 * seconds:.1f} ms to encode, "
            f"{1000 * restore:.1f} ms to restore"
        )
    start = StartRun("5c0e7a21d94b36f8", 0, 1, 17, 2, ((0, "i-7f3a91c2", 1),))
    print(f"bytes of a start in the log: {len(encode_commands([start]))}")


def _min_seconds(run) -> float:
    times = []
    for _ in range(REPEATS):
        began_at = time.perf_counter()
        run()
        times.append(time.perf_counter() - began_at)
    return min(times)


def _run_placement(workers: int, tasks: int) -> None:
    available = {
        f"p{pool}": [
            AvailableWorker(_make_report(f"w{n}"), WORKER_CAPACITY)
            for n in range(pool, workers, min(8, workers))
        ]
        for pool in range(min(8, workers))
    }
    spec = JobSpec("x", (Step(1, TASK_RESOURCES),))
    groups = []
    for number in range(tasks):
        pool = f"p{number % 8}"
        queue = Queue("q", "h", "/q/", pool, 0, 3, 1.6, 600, True)
        job = make_job(f"j{number}", "q", f"t{number % 86}", spec, 0.0)
        groups.append(make_group(job, queue, [TaskKey(0, 0, 0)]))
    place_groups(
        groups,
        Packer(available, {}),
        TenantUsage({}, {}, Resources(10**6, 10**6)),
        0.0,
        lambda group, key: Candidate(
            group.job, key, group.step, group.pool, group.tenant
        ),
    )


def _run_move_planning(machines: int) -> None:
    pools = max(2, machines // 8)
    loads = {
        f"p{n}": PoolLoad(f"p{n}", Resources(n % 5 * 10_000), soft_minimum=3)
        for n in range(pools)
    }
    loads["spare"] = PoolLoad("spare", is_spare=True)
    names = list(loads)
    members = [
        PoolMachine(
            f"m{n}",
            names[n % len(names)],
            "a",
            WORKER_CAPACITY,
            True,
            n % 3 * 1.0,
        )
        for n in range(machines)
    ]
    plan_moves(loads, members)


def _make_state(jobs: int) -> ClusterState:
    state = ClusterState()
    spec = JobSpec("x" * 300, (Step(8, TASK_RESOURCES),))
    for n in range(jobs):
        job = f"{n:016x}"
        starts = [
            StartRun(job, 0, 0, i, 1, ((0, "i-7f3a91c2", 1),)) for i in range(8)
        ]
        state.apply(n + 1, [AcceptJob(job, "q", "t", spec, 1.0), *starts])
    return state


def _make_report(name: str) -> WorkerReport:
    return WorkerReport(
        name, 1, 1, "p", "", "h:1", "a", "r1", ("a", "r1"), WORKER_CAPACITY
    )


if __name__ == "__main__":
    main()
