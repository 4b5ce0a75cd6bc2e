"""Our baselines for the burst: slots split statically, and FIFO without shares.

Both are computed on one trace like that of `burst`, without processes, so they
have no message delay and no cost: the best that these policies can do.
"""

import collections
import dataclasses
import heapq
import random

from benchmarks.burst import (
    BURST_RATE,
    BURST_SECONDS,
    RAMP_SECONDS,
    SLOTS_PER_POOL,
    TIMEOUT_SECONDS,
    WORK_SECONDS,
)
from benchmarks.figures import show

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
    """Return arrivals; with `sticky`, a team keeps to three entry VMs."""
    rng = random.Random(seed)
    homes = {team: rng.sample(range(ENTRY_VMS), 3) for team in WEIGHTS}
    at = 0.0
    trace = []
    while at < BURST_SECONDS:
        at += rng.expovariate(BURST_RATE)
        team = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        vms = homes[team] if sticky else range(ENTRY_VMS)
        trace.append(_Arrival(at, team, rng.choice(vms)))
    return trace


def _run_split(trace: list[_Arrival], parts: int):
    """Serve each part of the slots first come, first served.

    Returns:
        Start and team of every request that started in time.
    """
    starts = []
    slots = SLOTS_PER_POOL // parts
    free = {part: [0.0] * slots for part in range(parts)}
    for arrival in trace:
        heap = free[arrival.entry_vm % parts]
        begin = max(arrival.at, heap[0])
        if begin > arrival.at + TIMEOUT_SECONDS - WORK_SECONDS:
            continue
        heapq.heapreplace(heap, begin + WORK_SECONDS)
        starts.append((begin, arrival.team))
    return starts


def _figures(starts) -> tuple[float, float]:
    """Return busy slots in percent, and the largest share error in points."""
    since, until = RAMP_SECONDS, BURST_SECONDS
    used = collections.Counter()
    for begin, team in starts:
        end = min(begin + WORK_SECONDS, until)
        used[team] += max(0.0, end - max(begin, since))
    total = sum(used.values())
    weight = sum(WEIGHTS.values())
    errors = [
        abs(used[team] / total - WEIGHTS[team] / weight) * 100
        for team in WEIGHTS
    ]
    return 100 * total / (SLOTS_PER_POOL * (until - since)), max(errors)


def _greedy(trace: list[_Arrival]) -> list[_Arrival]:
    """Return the trace with ten times the requests of one small team."""
    rng = random.Random(0)
    extra = [
        _Arrival(a.at + rng.uniform(0, 0.1), "batch", rng.randrange(ENTRY_VMS))
        for a in trace
        if a.team == "batch"
        for _ in range(9)
    ]
    return sorted(trace + extra)


async def run() -> None:
    """Print the figures of both baselines, the worst over the seeds."""
    for name, sticky, greedy in (
        ("even", False, False),
        ("sticky", True, False),
        ("greedy", False, True),
    ):
        for policy, parts in (("static_split", ENTRY_VMS), ("fifo", 1)):
            results = []
            for seed in SEEDS:
                trace = _make_trace(seed, sticky)
                if greedy:
                    trace = _greedy(trace)
                results.append(_figures(_run_split(trace, parts)))
            busy = min(result[0] for result in results)
            error = max(result[1] for result in results)
            show(f"baseline_{policy}_{name}_slots_busy_min", busy, "%")
            show(f"baseline_{policy}_{name}_share_error_max", error, "points")
