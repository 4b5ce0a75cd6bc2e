"""Commands for VMs and the status of the fleet."""

import asyncio
import collections

import cyclopts
import msgspec

from galenarill.cli.client import open_client

__all__ = ["vm_app", "status"]

vm_app = cyclopts.App(name="vm", help="VMs that run backend servers.")
_encode = msgspec.json.Encoder(decimal_format="number").encode


@vm_app.command
def drain(vm: str, reason: str = "operator") -> None:
    """Drain and reboot a VM, if the availability budget allows.

    Example: galenarill vm drain render-a1 --reason "kernel update"

    Args:
        vm: Id of the VM.
        reason: Reason to record in the history.
    """
    _submit_change(f"vms/{vm}/drain", {"reason": reason})


@vm_app.command
def move(vm: str, from_pool: str, to_pool: str) -> None:
    """Move a VM to another pool, if the availability budget allows.

    Example: galenarill vm move spare-a1 spare render

    Args:
        vm: Id of the VM.
        from_pool: Current pool of the VM.
        to_pool: Pool to move the VM to.
    """
    body = {"from_pool": from_pool, "to_pool": to_pool}
    _submit_change(f"vms/{vm}/move", body)


def _submit_change(path: str, body: dict) -> None:
    async def run() -> None:
        async with open_client() as client:
            outcome = await client.change(path, body)
            print(f"version {outcome['version']}: {outcome['detail']}")

    asyncio.run(run())


def status(*, json: bool = False) -> None:
    """Show the state of the fleet as each entry VM reports it.

    Args:
        json: Print JSON instead of tables.
    """

    async def run() -> None:
        async with open_client() as client:
            answers = await client.get_from_all("status")
        if json:
            by_vm = {vm.vm: answer for vm, answer in answers.items()}
            print(msgspec.json.format(_encode(by_vm)).decode())
        else:
            _print_tables(answers)

    asyncio.run(run())


def _print_tables(answers) -> None:
    print(f"{'ENTRY VM':<20} {'ZONE':<8} {'VERSION':>8} {'LOG':<10} STATE")
    for vm, answer in answers.items():
        if answer is None:
            print(f"{vm.vm:<20} {vm.availability_zone:<8} no answer")
            continue
        state = "fresh" if answer["is_fresh"] else "keys not fresh"
        if answer["is_leaving"]:
            state = "leaving"
        print(
            f"{vm.vm:<20} {vm.availability_zone:<8} {answer['version']:>8} "
            f"{answer['log_role']:<10} {state}"
        )
    answered = [answer for answer in answers.values() if answer is not None]
    if not answered:
        return
    latest = max(answered, key=lambda answer: answer["version"])
    _print_teams(latest, answered)
    _print_vms(latest)


def _print_teams(latest, answered) -> None:
    running = collections.Counter()
    for answer in answered:
        running.update(answer["running"])
    print(f"\n{'TEAM':<20} {'SHARE':>6} {'RUNS':>6} {'LIMIT':>6}  IN OLD UNITS")
    for name, team in latest["teams"].items():
        contract = team.get("contract")
        units = ""
        if contract:
            units = (
                f"{contract['limit']} {contract['unit']} "
                f"v{contract['unit_version']}"
            )
        print(
            f"{name:<20} {team.get('share', 0)!s:>6} {running[name]:>6} "
            f"{team['upper_limit_slots']:>6}  {units}"
        )


def _print_vms(latest) -> None:
    counts = collections.defaultdict(collections.Counter)
    for pool, _, _, state, *_ in latest["vms"].values():
        counts[pool][state] += 1
    print(f"\n{'POOL':<20} VMS")
    for pool, states in sorted(counts.items()):
        text = ", ".join(f"{n} {state}" for state, n in sorted(states.items()))
        print(f"{pool:<20} {text}")
