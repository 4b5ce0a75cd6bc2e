"""Growth of costs with fleet size, for the projections in docs/CAPACITY.md.

Each quantity is measured at four sizes or more. Lines whose names end in
`_slope` and `_intercept` give the least-squares fit. Run it with `make slopes`.
"""

import asyncio
import pathlib
import statistics
import sys
import tempfile
import time
import tracemalloc

from benchmarks.figures import print_result, process_usage
from benchmarks.fleets import BASE, SITE, read_sent_bytes, start_servers
from galenarill.claims import Claim, ClaimRecord, ClaimTable, ClaimTableReply
from galenarill.links import encode_batch
from galenarill.membership import Heartbeat, HeartbeatReply
from galenarill.scheduling import (
    PermitHolder,
    SchedulingPolicy,
    ZoneScheduler,
)
from galenarill.scheduling import messages as m
from galenarill.state import (
    Change,
    Edit,
    EditSettings,
    FleetState,
    GiveKey,
    WithdrawKey,
)
from standins.fleet import LocalFleet

SETTLE_SECONDS = 5.0
MEASURE_SECONDS = 10.0


def print_slope(
    name: str, points: list[tuple[float, float]], unit: str
) -> None:
    """Print each point, and slope and intercept of the least-squares fit."""
    for x, y in points:
        print_result(f"{name}_at_{x:g}", y, unit)
    fit = statistics.linear_regression(*zip(*points, strict=True))
    print_result(f"{name}_slope", fit.slope, f"{unit}/1")
    print_result(f"{name}_intercept", fit.intercept, unit)


def _make_state(teams=0, pools=1, vms=0, keys=0) -> FleetState:
    settings = {
        "pools": {f"pool-{n}": {"max_unavailable": 1} for n in range(pools)},
        "teams": {
            f"team-{n}": {"share": 1, "upper_limit": 50} for n in range(teams)
        },
        "vms": {
            f"vm-{n}": {
                "availability_zone": f"az-{n % 5}",
                "rack": f"rack-{n % 5}-{n // 20}",
                "pool": f"pool-{n % pools}",
            }
            for n in range(vms)
        },
    }
    edits = tuple(Edit((key,), value) for key, value in settings.items())
    state = FleetState()
    outcome = state.apply(1, Change("c1", "ana", 0.0, -1, EditSettings(edits)))
    if not outcome.is_accepted:
        raise RuntimeError(outcome)
    for n in range(keys):
        command = GiveKey(f"key-{n}", "team-0", "0" * 64)
        state.apply(2 + n, Change(f"k{n}", "ana", 0.0, -1, command))
    return state


def measure_state() -> None:
    """Print the memory and snapshot size of the state by number of objects."""
    # Fill the libraries' caches first, so that they don't count as state.
    _make_state(teams=2, pools=2, vms=2, keys=2)
    for kind, counts, fixed_counts in (
        ("team", (10, 40, 80, 160), {"vms": 10}),
        ("pool", (30, 60, 120, 240), {}),
        ("vm", (200, 400, 800, 1700), {"pools": 200}),
        ("key", (100, 200, 400, 800), {"teams": 1}),
    ):
        sizes, memory = [], []
        for count in counts:
            tracemalloc.start()
            state = _make_state(**{**fixed_counts, f"{kind}s": count})
            memory.append((count, tracemalloc.get_traced_memory()[0]))
            tracemalloc.stop()
            sizes.append((count, len(state.encode())))
        print_slope(f"state_snapshot_by_{kind}", sizes, "B")
        print_slope(f"state_memory_by_{kind}", memory, "B")


def measure_changes() -> None:
    """Print the CPU time to apply a change, by number of VMs in settings."""
    points = []
    for vms in (200, 400, 800, 1700):
        state = _make_state(teams=86, pools=200, vms=vms)
        times = []
        for n in range(5):
            edit = Edit(("teams", "team-1", "upper_limit"), n)
            change = Change(f"x{n}", "ana", 0.0, -1, EditSettings((edit,)))
            began_at = time.perf_counter()
            state.apply(100 + n, change)
            times.append(time.perf_counter() - began_at)
        points.append((vms, statistics.median(times) * 1000))
    print_slope("settings_change_cpu_by_vm", points, "ms")
    state = _make_state(teams=86, pools=233, vms=1700)
    began_at = time.perf_counter()
    for n in range(100):
        state.apply(
            200 + n, Change(f"w{n}", "a", 0.0, -1, WithdrawKey(f"k{n}"))
        )
    print_result("key_change_cpu", (time.perf_counter() - began_at) * 10, "ms")


class _Policy(SchedulingPolicy):
    def allotment(self, team):
        return 1 << 20

    def weight(self, team):
        return 1.0

    def ineligibility_reason(self, server, pool):
        return ""

    def is_decommissioned(self, server):
        return False

    def is_evacuated(self):
        return False


def _make_scheduler(servers: int, slots: int, pools: int = 1):
    now = 10.0
    scheduler = ZoneScheduler("az", "e", frozenset({"h"}), _Policy(), now)
    holder = PermitHolder("az")
    scheduler.register("h", holder.next_register("az", "e", now), now)
    _exchange_messages(scheduler, holder, now)
    for _ in range(2):
        for n in range(servers):
            _send_report(scheduler, f"vm-{n}", f"pool-{n % pools}", slots, now)
    return scheduler, holder


_last_reports: dict[str, tuple[int, str]] = {}


def _send_report(scheduler, vm, pool, slots, now, running=()):
    sequence, seen = _last_reports.get(vm, (0, ""))
    report = m.ServerReport(
        vm, "az", pool, "127.0.0.1:1", "b", sequence + 1, slots, 60, running,
        seen=seen,
    )  # fmt: skip
    reply = scheduler.report(report, now)
    _last_reports[vm] = (sequence + 1, reply.stamp)


def _exchange_messages(scheduler, holder, now) -> None:
    for _, message in holder.take_messages(now):
        if isinstance(message, m.Demand):
            scheduler.demand("h", message, now)
        else:
            scheduler.returned("h", message, now)
    scheduler.allocate(now)
    for batch in scheduler.take_messages().values():
        for message in batch:
            if isinstance(message, m.RegisterReply):
                holder.handle_register_reply(message, now)
            elif isinstance(message, m.Granted):
                holder.add_permits(message, now)
            else:
                holder.recall(message, now)
    scheduler.take_decisions()


def _measure_grant_time(teams: int, servers: int) -> float:
    """Return microseconds to grant and return a permit of a contended pool."""
    _last_reports.clear()
    scheduler, holder = _make_scheduler(servers, slots=8)
    now = 11.0
    for n in range(teams * 40):
        holder.submit(f"r{n}", "pool-0", f"team-{n % teams}", 1e9, now)
    _exchange_messages(scheduler, holder, now)
    started = 0
    began_at = time.perf_counter()
    for _ in range(30):
        now += 0.3
        starts = holder.take_starts()
        started += len(starts)
        for start in starts:
            holder.finish(start.permit.permit_id, now)
        scheduler.register("h", holder.next_register("az", "e", now), now)
        for n in range(servers):
            _send_report(scheduler, f"vm-{n}", "pool-0", 8, now)
        _exchange_messages(scheduler, holder, now)
    return (time.perf_counter() - began_at) / started * 1e6


def measure_scheduler() -> None:
    """Print the CPU time of a grant, by waiting teams and by servers."""
    points = [(n, _measure_grant_time(n, 2)) for n in (6, 20, 43, 86)]
    print_slope("grant_cpu_by_waiting_team", points, "us")
    points = [(n, _measure_grant_time(20, n)) for n in (2, 8, 16, 32)]
    print_slope("grant_cpu_by_server_of_pool", points, "us")
    points = []
    for servers in (50, 100, 200, 400):
        _last_reports.clear()
        scheduler, _ = _make_scheduler(servers, 8, pools=47)
        began_at = time.perf_counter()
        for round_number in range(5):
            for n in range(servers):
                _send_report(
                    scheduler,
                    f"vm-{n}",
                    f"pool-{n % 47}",
                    8,
                    20.0 + round_number,
                )
            scheduler.tick(20.0 + round_number)
            scheduler.allocate(20.0 + round_number)
            scheduler.take_messages()
        points.append((servers, (time.perf_counter() - began_at) / 5 * 1000))
    print_slope("scheduler_round_cpu_by_server", points, "ms")


def measure_cancellation() -> None:
    """Print the CPU time to cancel all waiting requests of a queue."""
    points = []
    for count in (1000, 2500, 5000, 10000):
        holder = PermitHolder("az")
        for n in range(count):
            holder.submit(f"r{n}", "pool", f"team-{n % 6}", 1e9, 0.0)
        began_at = time.perf_counter()
        for n in range(count):
            holder.cancel(f"r{n}")
        holder.take_messages(0.0)
        points.append((count, (time.perf_counter() - began_at) * 1000))
    print_slope("cancel_wave_cpu_by_request", points, "ms")


def measure_messages() -> None:
    """Print the encoded size of frequent messages, and memory per claim."""
    epoch = "az-a-1f2e3d4c"
    permit_id = f"{epoch}.12345"
    reason = "most free slots (5 of 8); out: 1 full"
    permit = m.Permit(
        permit_id, "render-a1", "5f01aa22", "10.0.0.7:9000", "render",
        "municipal", True, reason,
    )  # fmt: skip
    for name, message in (
        ("register", m.Register("az-a", epoch, 100)),
        ("registered", m.RegisterReply("az-a", epoch, 100)),
        (
            "demand",
            m.Demand(
                "az-a", epoch, (m.DemandLine("render", "municipal", 12, 345),)
            ),
        ),
        ("granted", m.Granted("az-a", epoch, (permit,))),
        (
            "returned",
            m.Returned("az-a", epoch, (m.ReturnedPermit(permit_id, 3),)),
        ),
        (
            "report",
            m.ServerReport(
                "render-a1", "az-a", "render", "10.0.0.7:9000", "5f01aa22",
                100, 8, 60, (f"{permit_id}.3~municipal",), False,
                f"{epoch}@1234.567890", 7,
            ),
        ),
        (
            "report_reply",
            m.ServerReportReply(7, True, f"{epoch}@1234.567890", 1.0),
        ),
        ("heartbeat", Heartbeat(1000, epoch, 1 << 62, 1000)),
        ("heartbeat_reply", HeartbeatReply(1000, True)),
    ):  # fmt: skip
        print_result(f"message_{name}", len(encode_batch([message])), "B")
    points = []
    for count in (1000, 2000, 4000, 8000):
        tracemalloc.start()
        table = ClaimTable("e1", {"e1": "a", "e2": "a"}, 0.0, 0.0)
        for vm in ("e2",):
            table.merge(vm, ClaimTableReply((), ()), 0.0)
        for n in range(count):
            record = ClaimRecord(f"order-{n:08}", "e1", f"e1.{n:012}", 60.0)
            table.claim(Claim(record), 0.0)
        points.append((count, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
    print_slope("claims_memory_by_claim", points, "B")


async def _measure_idle(entry_vms_per_zone: int):
    with tempfile.TemporaryDirectory(prefix="galenarill-") as folder:
        fleet = LocalFleet(
            pathlib.Path(folder),
            BASE,
            SITE,
            entry_vms_per_zone=entry_vms_per_zone,
            with_servers=False,
        )
        async with fleet:
            return await _measure_usage(fleet)


async def _measure_usage(fleet):
    await asyncio.sleep(SETTLE_SECONDS)
    vms = list(fleet.entry_vms.values())
    before = [process_usage(vm.process.pid) for vm in vms]
    bytes_before = await read_sent_bytes(fleet)
    began_at = time.monotonic()
    await asyncio.sleep(MEASURE_SECONDS)
    seconds = time.monotonic() - began_at
    after = [process_usage(vm.process.pid) for vm in vms]
    bytes_after = await read_sent_bytes(fleet)
    cores = [
        100 * (b.cpu_seconds - a.cpu_seconds) / seconds
        for a, b in zip(before, after, strict=True)
    ]
    sent = [(bytes_after[v] - bytes_before[v]) / seconds for v in bytes_after]
    memory = max(usage.memory_mib for usage in after)
    return max(sent), statistics.mean(sent), statistics.mean(cores), memory


async def measure_entry_vms() -> None:
    """Print the idle usage of an entry VM, by number of entry VMs."""
    results = []
    for per_zone in (1, 2, 4, 6):
        results.append((3 * per_zone, await _measure_idle(per_zone)))
    for index, name, unit in (
        (0, "idle_link_sent_max", "B/s"),
        (1, "idle_link_sent_mean", "B/s"),
        (2, "idle_core_share", "%"),
        (3, "idle_memory", "MiB"),
    ):
        points = [(n, result[index]) for n, result in results]
        print_slope(f"{name}_by_entry_vm", points, unit)


async def measure_servers() -> None:
    """Print the usage of an entry VM, by number of reporting servers."""
    results = []
    for per_pool in (2, 6, 12, 20):
        with tempfile.TemporaryDirectory(prefix="galenarill-") as folder:
            site = pathlib.Path(folder) / "many.toml"
            count = _write_site_settings(site, per_pool)
            fleet = LocalFleet(
                pathlib.Path(folder), BASE, site, with_servers=False
            )
            servers = await start_servers(fleet)
            try:
                async with fleet:
                    results.append((count, await _measure_usage(fleet)))
            finally:
                for process in servers:
                    process.kill()
                    await process.wait()
    for index, name, unit in (
        (0, "announce_link_sent_max", "B/s"),
        (2, "announce_core_share", "%"),
        (3, "announce_memory", "MiB"),
    ):
        points = [(n, result[index]) for n, result in results]
        print_slope(f"{name}_by_server", points, unit)


def _write_site_settings(site: pathlib.Path, per_pool: int) -> int:
    lines = []
    pools = ("orders", "render", "proofs", "batch", "registers")
    for zone in ("az-a", "az-b", "az-c"):
        for pool in pools:
            for n in range(per_pool):
                lines += [
                    f"[vms.{pool}-{zone}-{n}]",
                    f'availability_zone = "{zone}"',
                    f'rack = "{zone}-{pool}-{n // 4}"',
                    f'pool = "{pool}"',
                ]
    site.write_text("\n".join(lines) + "\n")
    return 3 * len(pools) * per_pool


def main() -> None:
    """Run all measurements, or those given as arguments."""
    names = sys.argv[1:]
    for name, measure in (
        ("state", measure_state),
        ("changes", measure_changes),
        ("scheduler", measure_scheduler),
        ("queue", measure_cancellation),
        ("messages", measure_messages),
    ):
        if not names or name in names:
            measure()
    for name, measure in (
        ("entry_vms", measure_entry_vms),
        ("servers", measure_servers),
    ):
        if not names or name in names:
            asyncio.run(measure())


if __name__ == "__main__":
    main()
