"""Demonstration of a local fleet for each example site.

Run it with `make run`. It exits with 0 only if every check passes, for example
if each response belongs to its request and no refused request was executed.
"""

import asyncio
import collections
import hashlib
import json
import pathlib
import sys
import tempfile
import time

from standins.fleet import LocalFleet

EXAMPLES = pathlib.Path(__file__).parent
SITES = ("printworks", "association")
REQUESTS_PER_TEAM = 60
WITHDRAWAL_TIMEOUT_SECONDS = 5.0
DRAIN_TIMEOUT_SECONDS = 20.0


class CheckReport:
    """Prints the results of checks and counts failures."""

    def __init__(self):
        """Initialize without failures."""
        self.failures = 0

    def check(self, what: str, is_right: bool, detail: str = "") -> None:
        """Print the result of one check."""
        self.failures += not is_right
        mark = "ok  " if is_right else "FAIL"
        print(f"  {mark} {what}" + (f": {detail}" if detail else ""))


async def show_work(fleet: LocalFleet, report: CheckReport) -> None:
    """Send requests of every team through every entry VM."""
    requests = []
    for number in range(REQUESTS_PER_TEAM):
        for team in fleet.keys:
            for vm in fleet.entry_vms:
                queue = ("orders", "render", "proofs")[number % 3]
                requests.append(
                    _send(fleet, vm, queue, team, f"{team}-{number}")
                )
    results = collections.Counter(await asyncio.gather(*requests))
    total = sum(results.values())
    detail = ", ".join(f"{n} {kind}" for kind, n in sorted(results.items()))
    report.check(
        f"{total} requests of {len(fleet.keys)} teams",
        set(results) <= {"answered", "refused, not run"},
        detail,
    )


async def _send(fleet, vm, queue, team, tag) -> str:
    body = f"{vm} {tag}".encode()
    status, _, data = await fleet.submit(
        vm, queue, team, tail=f"work?sleep=0.02&tag={tag}", data=body
    )
    response = json.loads(data)
    if status != 200:
        return f"refused, {response['run']}"
    expected = (hashlib.sha256(body).hexdigest(), tag, team)
    found = (response["digest"], response["tag"], response["team"])
    return "answered" if found == expected else "WRONG ANSWER"


async def show_limit(fleet: LocalFleet, report: CheckReport) -> None:
    """Set a team's upper limit to 0 and check that its requests don't run."""
    path = ["teams", "walk-in", "upper_limit"]
    await _edit_settings(fleet, path, 0)
    seconds = await _wait_for_propagation(fleet)
    report.check(
        "change in force at every entry VM", seconds < 2, f"{seconds:.2f} s"
    )
    before = _count_executions(fleet)
    outcomes = []
    for vm in fleet.entry_vms:
        status, _, data = await fleet.submit(
            vm,
            "render",
            "walk-in",
            data=b"x",
            headers={"Galenarill-Timeout-Seconds": "0.5"},
        )
        outcomes.append((status, json.loads(data)["run"]))
    report.check(
        "team above its upper limit is refused as not run",
        all(o == (503, "not-run") for o in outcomes)
        and _count_executions(fleet) == before,
        str(outcomes[0]),
    )
    await _edit_settings(fleet, path, 12)


async def _edit_settings(fleet: LocalFleet, path: list[str], value) -> None:
    edits = [{"path": path, "value": value}]
    status, response = await fleet.admin(
        "POST", "settings", json={"edits": edits}
    )
    if status != 200:
        raise RuntimeError(f"change refused: {response}")


async def _wait_for_propagation(fleet: LocalFleet) -> float:
    began_at = time.monotonic()
    statuses = await fleet.statuses()
    version = max(s["version"] for s in statuses.values())
    while any(s["version"] < version for s in statuses.values()):
        await asyncio.sleep(0.02)
        statuses = await fleet.statuses()
    return time.monotonic() - began_at


def _count_executions(fleet: LocalFleet) -> int:
    return sum(len(s.executions) for s in fleet.servers.values())


async def show_key(fleet: LocalFleet, report: CheckReport) -> None:
    """Withdraw a key and check that every entry VM refuses it."""
    key_id = fleet.keys["proofing"].split("_")[1]
    await fleet.admin("POST", f"keys/{key_id}/withdrawal", json={})
    began_at = time.monotonic()
    pending = set(fleet.entry_vms)
    while pending and time.monotonic() < began_at + WITHDRAWAL_TIMEOUT_SECONDS:
        for vm in list(pending):
            status, _, _ = await fleet.submit(
                vm, "render", "proofing", data=b""
            )
            if status == 401:
                pending.discard(vm)
    seconds = time.monotonic() - began_at
    report.check(
        "withdrawn key refused at every entry VM",
        not pending,
        f"{seconds:.2f} s",
    )


async def show_drain(fleet: LocalFleet, report: CheckReport) -> None:
    """Drain a VM, and check that the availability budget refuses a second."""
    first, second = [
        vm
        for vm, s in fleet.settings.settings.vms.items()
        if s.pool == "render"
    ][:2]
    status, _ = await fleet.admin("POST", f"vms/{first}/drain", json={})
    report.check(f"drain of {first} granted", status == 200)
    status, response = await fleet.admin("POST", f"vms/{second}/drain", json={})
    report.check(
        f"drain of {second} refused by the availability budget",
        response["outcome"] == "budget-spent",
        response["detail"],
    )
    deadline = time.monotonic() + DRAIN_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        _, status = await fleet.admin("GET", "status")
        if status["vms"][first][3] == "serving":
            break
        await asyncio.sleep(0.1)
    report.check(
        f"{first} rebooted once and serves again",
        [vm for vm, _ in fleet.platform.reboots] == [first],
    )


async def show_move(fleet: LocalFleet, report: CheckReport) -> None:
    """Move a spare VM to another pool."""
    body = {"from_pool": "spare", "to_pool": "render"}
    status, _ = await fleet.admin("POST", "vms/spare-a1/move", json=body)
    deadline = time.monotonic() + DRAIN_TIMEOUT_SECONDS
    pool = "spare"
    while status == 200 and time.monotonic() < deadline and pool == "spare":
        _, response = await fleet.admin("GET", "status")
        pool = response["vms"]["spare-a1"][0]
        await asyncio.sleep(0.1)
    report.check("spare-a1 moved to pool render", pool == "render")


async def show_site(site: str, report: CheckReport) -> None:
    """Run the demonstration for one site."""
    print(f"{site}:")
    with tempfile.TemporaryDirectory(prefix="galenarill-") as folder:
        overlay = EXAMPLES / site / "site.toml"
        async with LocalFleet(
            pathlib.Path(folder), EXAMPLES / "base.toml", overlay
        ) as fleet:
            await show_work(fleet, report)
            await show_limit(fleet, report)
            await show_key(fleet, report)
            await show_drain(fleet, report)
            await show_move(fleet, report)
            peak = max(s.most_running for s in fleet.servers.values())
            report.check("no slot overcommitted", peak <= 8, f"{peak} of 8")


async def run() -> int:
    """Run every site and return the exit code."""
    report = CheckReport()
    for site in SITES:
        await show_site(site, report)
    return 1 if report.failures else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
