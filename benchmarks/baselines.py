"""Simulated baselines for `burst`: static partitions, and FIFO without shares.

Both policies are simulated on the same arrivals, which are like those of
`burst`, without message delay or CPU cost. The results are therefore the best
that these policies can reach.
"""

import collections
import dataclasses
import heapq
import random

from benchmarks.burst import (
    BURST_REQUESTS_PER_SECOND,
    BURST_SECONDS,
    RAMP_SECONDS,
    SLOTS_PER_POOL,
    TIMEOUT_SECONDS,
    WORK_SECONDS,
)
from benchmarks.figures import print_result

WEIGHTS = {
    "municipal": 5,
    "hospital": 4,
    "shopping": 3,
    "proofing": 2,
    "batch": 1,
    "walk-in": 1,
}
ENTRY_VMS = 8
SEEDS = range(10)


@dataclasses.dataclass(frozen=True, order=True)
class _Arrival:
    at: float
    team: str
    entry_vm: int


def _make_trace(seed: int, sticky: bool) -> list[_Arrival]:
    """Return arrivals. If `sticky`, each team uses only three entry VMs."""
    rng = random.Random(seed)
    preferred_vms = {team: rng.sample(range(ENTRY_VMS), 3) for team in WEIGHTS}
    at = 0.0
    trace = []
    while at < BURST_SECONDS:
        at += rng.expovariate(BURST_REQUESTS_PER_SECOND)
        team = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        vms = preferred_vms[team] if sticky else range(ENTRY_VMS)
        trace.append(_Arrival(at, team, rng.choice(vms)))
    return trace


def _simulate_fifo(trace: list[_Arrival], partitions: int):
    """Simulate FIFO on each of `partitions` equal partitions of the slots.

    Returns:
        Start time and team of each request that could finish before timeout.
    """
    starts = []
    slots = SLOTS_PER_POOL // partitions
    free_at = {partition: [0.0] * slots for partition in range(partitions)}
    for arrival in trace:
        heap = free_at[arrival.entry_vm % partitions]
        begin = max(arrival.at, heap[0])
        if begin > arrival.at + TIMEOUT_SECONDS - WORK_SECONDS:
            continue
        heapq.heapreplace(heap, begin + WORK_SECONDS)
        starts.append((begin, arrival.team))
    return starts


def _compute_results(starts) -> tuple[float, float]:
    """Return slot utilization in percent and largest share error in points."""
    since, until = RAMP_SECONDS, BURST_SECONDS
    used = collections.Counter()
    for begin, team in starts:
        end = min(begin + WORK_SECONDS, until)
        used[team] += max(0.0, end - max(begin, since))
    total = sum(used.values())
    total_weight = sum(WEIGHTS.values())
    share_errors = [
        abs(used[team] / total - WEIGHTS[team] / total_weight) * 100
        for team in WEIGHTS
    ]
    return 100 * total / (SLOTS_PER_POOL * (until - since)), max(share_errors)


def _add_greedy_requests(trace: list[_Arrival]) -> list[_Arrival]:
    """Return the trace with ten times as many requests of one small team."""
    rng = random.Random(0)
    extra = [
        _Arrival(a.at + rng.uniform(0, 0.1), "batch", rng.randrange(ENTRY_VMS))
        for a in trace
        if a.team == "batch"
        for _ in range(9)
    ]
    return sorted(trace + extra)


async def run() -> None:
    """Print the worst results of both baselines over all seeds."""
    for name, sticky, greedy in (
        ("even", False, False),
        ("sticky", True, False),
        ("greedy", False, True),
    ):
        for policy, partitions in (("static_split", ENTRY_VMS), ("fifo", 1)):
            results = []
            for seed in SEEDS:
                trace = _make_trace(seed, sticky)
                if greedy:
                    trace = _add_greedy_requests(trace)
                results.append(
                    _compute_results(_simulate_fifo(trace, partitions))
                )
            busy = min(result[0] for result in results)
            error = max(result[1] for result in results)
            print_result(f"baseline_{policy}_{name}_slots_busy_min", busy, "%")
            print_result(
                f"baseline_{policy}_{name}_share_error_max", error, "points"
            )
