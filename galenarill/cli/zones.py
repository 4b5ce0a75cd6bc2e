"""Commands for the evacuation of availability zones."""

import asyncio
import collections
import datetime
import urllib.parse

import cyclopts
import msgspec

from galenarill.cli.client import EntryVmAddress, open_client
from galenarill.errors import GalenarillError

__all__ = ["zone_app"]

zone_app = cyclopts.App(name="zone", help="Evacuation of availability zones.")
_encode = msgspec.json.Encoder(decimal_format="number").encode


@zone_app.command
def evacuate(zone: str, reason: str = "operator") -> None:
    """Start no more requests on the backend servers of a zone.

    Requests that run there complete; other zones serve the zone's callers. The
    exit code is 1 if an entry VM has not confirmed the order. It may still
    start requests in the zone until it has applied the order.

    Example: galenarill zone evacuate az-a --reason "power maintenance"

    Args:
        zone: Id of the availability zone.
        reason: Reason to record in the history.
    """
    outcome = _submit_change(zone, "evacuation", {"reason": reason})
    if unconfirmed := outcome["unconfirmed"]:
        raise GalenarillError(
            f"the order is committed; no confirmation by "
            f"{', '.join(unconfirmed)}"
        )
    print("in force at every entry VM")


@zone_app.command
def restore(zone: str) -> None:
    """Revoke the evacuation of a zone.

    Example: galenarill zone restore az-a

    Args:
        zone: Id of the availability zone.
    """
    _submit_change(zone, "restoration", {})


def _submit_change(zone: str, change: str, body: dict) -> dict:
    # Unquoted, a name such as "az-a/restoration#" would address another change.
    path = f"zones/{urllib.parse.quote(zone, safe='')}/{change}"

    async def run() -> dict:
        async with open_client() as client:
            return await client.change(path, body)

    outcome = asyncio.run(run())
    print(f"version {outcome['version']}: {outcome['detail']}")
    return outcome


@zone_app.command
def status(*, json: bool = False) -> None:
    """Show which zones are evacuated, and what still runs in each zone.

    Args:
        json: Print JSON instead of a table.
    """

    async def run() -> dict[EntryVmAddress, dict | None]:
        async with open_client() as client:
            return await client.get_from_all("status")

    zones = _describe_zones(asyncio.run(run()))
    if json:
        print(msgspec.json.format(_encode(zones)).decode())
    else:
        _print_table(zones)


def _describe_zones(answers: dict[EntryVmAddress, dict | None]) -> dict:
    """Return the state of each zone, as of the VM with the latest version.

    Slots are those that the zone's scheduler reports; they are None if no
    scheduler of the zone answers.
    """
    answered = {vm.vm: answer for vm, answer in answers.items() if answer}
    if not answered:
        raise GalenarillError("no entry VM answers")
    latest = max(answered.values(), key=lambda answer: answer["version"])
    evacuated = latest.get("evacuated_zones", {})
    zone_by_vm = {vm: zone for vm, (_, zone, *_) in latest["vms"].items()}
    slots, used = collections.Counter(), collections.Counter()
    for answer in answered.values():
        for server in answer["backend_servers"]:
            zone = zone_by_vm.get(server["vm"], "")
            slots[zone] += server["slots"]
            used[zone] += server["used"]
    return {
        zone: {
            "evacuation": evacuated.get(zone),
            "slots": slots.get(zone),
            "used": used.get(zone),
            "unconfirmed": [
                vm.vm
                for vm, answer in answers.items()
                if answer is None
                or answer.get("evacuated_zones", {}).get(zone)
                != evacuated.get(zone)
            ],
        }
        for zone in sorted({*zone_by_vm.values(), *evacuated})
    }


def _print_table(zones: dict) -> None:
    print(f"{'ZONE':<8} {'STATE':<10} {'SLOTS':>6} {'USED':>6}  ORDER")
    for zone, row in zones.items():
        order = row["evacuation"]
        state, text = "in service", ""
        if order:
            state = "evacuated"
            at = datetime.datetime.fromtimestamp(int(order["at"]), datetime.UTC)
            text = f"{at.isoformat()} by {order['operator']}: {order['reason']}"
        slots = "-" if row["slots"] is None else row["slots"]
        used = "-" if row["used"] is None else row["used"]
        print(f"{zone:<8} {state:<10} {slots:>6} {used:>6}  {text}")
        if row["unconfirmed"]:
            names = ", ".join(row["unconfirmed"])
            print(f"{'':<8} not confirmed by {names}")
