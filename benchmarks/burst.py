"""Bursts: each queue in turn receives twice the load its pool can serve."""

import asyncio
import dataclasses
import json
import random
import time

from benchmarks.figures import print_result, quantile
from benchmarks.fleets import read_sent_bytes, reference_fleet

QUEUES = ("orders", "render", "proofs", "batch", "registers")
SLOTS_PER_POOL = 48
WORK_SECONDS = 1.0
BURST_SECONDS = 9.0
TIMEOUT_SECONDS = 6
# Twice what a pool can serve, which is 48 requests per second. The mean rate of
# a queue is a fifth of its burst rate.
BURST_REQUESTS_PER_SECOND = 96.0
BACKGROUND_REQUESTS_PER_SECOND = BURST_REQUESTS_PER_SECOND / 5 / 20
# Ramp at the start of a burst; its requests are left out of the results.
RAMP_SECONDS = 2.0
SEED = 5


@dataclasses.dataclass
class SentRequest:
    """One request and its outcome.

    Attributes:
        queue: Queue that the request was sent to.
        team: Team that sent it.
        began_at: Wall-clock time of sending.
        seconds: Time until the response.
        status: HTTP status of the response.
        run: Whether the request ran, from an error response; else empty.
        request_id: Id that galenarill assigned.
    """

    queue: str
    team: str
    began_at: float
    seconds: float = 0.0
    status: int = 0
    run: str = ""
    request_id: str = ""


async def run() -> None:
    """Print the results with equal demand and with one greedy team."""
    await _run_scenario("burst", {})
    # One small team sends ten times as many requests.
    await _run_scenario("greedy_burst", {"batch": 10.0})


async def _run_scenario(name: str, factors: dict[str, float]) -> None:
    async with reference_fleet() as (fleet, servers):
        await asyncio.sleep(4)
        before = await read_sent_bytes(fleet)
        sent, windows = await send_bursts(fleet, factors)
        after = await read_sent_bytes(fleet)
        records = await read_records(servers)
    print_burst_results(name, fleet, sent, windows, records)
    used = sum(after.values()) - sum(before.values())
    print_result(f"{name}_control_bytes_per_request", used / len(sent), "B")


async def read_records(processes) -> list[dict]:
    """Return the execution records of the backend servers."""
    records = []
    for process in processes:
        process.stdin.write(b"records\n")
        line = b""
        while not line.startswith(b"["):
            line = await process.stdout.readline()
        records += json.loads(line)
    return records


async def send_bursts(fleet, factors: dict[str, float]):
    """Send a burst to each queue in turn, and background load to the others.

    Args:
        fleet: The fleet.
        factors: Multiplier of the request rate for some teams; 1 for the rest.

    Returns:
        The requests, and start and end of each queue's burst without its ramp.
    """
    rng = random.Random(SEED)
    sent: list[SentRequest] = []
    tasks = []
    windows = {}
    for bursting in QUEUES:
        began_at = time.time()
        windows[bursting] = (
            began_at + RAMP_SECONDS,
            began_at + BURST_SECONDS,
        )
        rates = {q: BACKGROUND_REQUESTS_PER_SECOND for q in QUEUES} | {
            bursting: BURST_REQUESTS_PER_SECOND
        }
        senders = [
            _send_at_rate(fleet, rng, q, rate, factors, sent, tasks)
            for q, rate in rates.items()
        ]
        await asyncio.gather(*senders)
    await asyncio.gather(*tasks)
    return sent, windows


async def _send_at_rate(fleet, rng, queue, rate, factors, sent, tasks) -> None:
    """Send requests of random teams with Poisson arrivals (open loop)."""
    loop = asyncio.get_running_loop()
    end = loop.time() + BURST_SECONDS
    due = loop.time() + rng.expovariate(rate)
    teams = list(fleet.keys)
    # With factor 1, each team requests twice its share of the pool.
    shares = [float(fleet.settings.settings.teams[t].share) for t in teams]
    weights = [
        share * factors.get(team, 1.0)
        for team, share in zip(teams, shares, strict=True)
    ]
    rate *= sum(weights) / sum(shares)
    vms = list(fleet.entry_vms)
    while due < end:
        await asyncio.sleep(max(0.0, due - loop.time()))
        team = rng.choices(teams, weights)[0]
        request = SentRequest(queue, team, time.time())
        sent.append(request)
        call = _send(fleet, rng.choice(vms), request)
        tasks.append(asyncio.create_task(call))
        due += rng.expovariate(rate)


async def _send(fleet, vm: str, request: SentRequest) -> None:
    status, headers, data = await fleet.submit(
        vm,
        request.queue,
        request.team,
        tail=f"x?sleep={WORK_SECONDS}",
        headers={"Galenarill-Timeout-Seconds": str(TIMEOUT_SECONDS)},
    )
    request.status = status
    request.seconds = time.time() - request.began_at
    request.request_id = headers.get("Galenarill-Request-Id", "")
    if status != 200:
        request.run = json.loads(data)["run"]


def print_burst_results(name, fleet, sent, windows, records) -> None:
    """Print the results of a burst, computed from the servers' records."""
    answered = [request for request in sent if request.status == 200]
    refused = [request for request in sent if request.run == "not-run"]
    runs = [run for record in records for run in record["executions"]]
    requests = [run[0] for run in runs]
    print_result(f"{name}_requests", len(sent), "1")
    print_result(f"{name}_answered", len(answered), "1")
    print_result(f"{name}_refused_not_run", len(refused), "1")
    print_result(
        f"{name}_neither",
        len(sent) - len(answered) - len(refused),
        "1",
    )
    # Both are 0 if executions and answers match one to one: no refused request
    # ran, no answer was lost and no request ran twice.
    print_result(
        f"{name}_executions_without_answer", len(runs) - len(answered), "1"
    )
    print_result(f"{name}_doubled", len(requests) - len(set(requests)), "1")
    peak = max(record["most_running"] for record in records)
    print_result(f"{name}_most_running_on_a_server", peak, "1")
    peak = max(record["most_connections"] for record in records)
    print_result(f"{name}_most_connections_to_a_server", peak, "1")
    latencies = [request.seconds for request in answered]
    print_result(f"{name}_p50", quantile(latencies, 0.5) * 1000, "ms")
    _print_windows(name, fleet, windows, records)


def _print_windows(name, fleet, windows, records) -> None:
    weights = {
        name: float(team.share)
        for name, team in fleet.settings.settings.teams.items()
    }
    total_weight = sum(weights.values())
    busy, share_errors = [], []
    for queue, (since, until) in windows.items():
        runs = [
            run
            for record in records
            if record["pool"] == queue
            for run in record["executions"]
        ]
        used = {
            team: sum(
                max(0.0, min(end or until, until) - max(begin, since))
                for _, t, begin, end in runs
                if t == team
            )
            for team in weights
        }
        total = sum(used.values())
        busy.append(total / (SLOTS_PER_POOL * (until - since)))
        share_errors += [
            abs(used[team] / total - weight / total_weight) * 100
            for team, weight in weights.items()
        ]
    print_result(
        f"{name}_slots_busy_while_work_waits_min", min(busy) * 100, "%"
    )
    print_result(
        f"{name}_slots_busy_while_work_waits_mean", _mean(busy) * 100, "%"
    )
    print_result(f"{name}_share_error_max", max(share_errors), "points")
    print_result(f"{name}_share_error_mean", _mean(share_errors), "points")


def _mean(values) -> float:
    return sum(values) / len(values)
