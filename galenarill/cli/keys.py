"""Commands for team keys and operator credentials."""

import asyncio

import cyclopts

from galenarill.cli.client import open_client
from galenarill.cli.propagation import (
    report_applied_by_zone,
    wait_until_applied,
)
from galenarill.common import new_key
from galenarill.errors import GalenarillError

__all__ = ["key_app", "operator_app"]

key_app = cyclopts.App(name="key", help="Keys of teams.")
operator_app = cyclopts.App(name="operator", help="Operators' credentials.")

MAX_WITHDRAWAL_POLLS = 10
POLL_INTERVAL_SECONDS = 0.4


@key_app.command
def give(team: str) -> None:
    """Create a key for a team, and print it once.

    Example: galenarill key give municipal

    Args:
        team: Name of the team.
    """
    key_id, text, digest = new_key()

    async def run() -> None:
        async with open_client() as client:
            outcome = await client.change(
                "keys", {"key_id": key_id, "team": team, "digest": digest}
            )
            print(text)
            await wait_until_applied(client, outcome["version"])

    asyncio.run(run())


@key_app.command(name="list")
def list_keys() -> None:
    """List all keys with id, team and state (valid or withdrawn)."""

    async def run() -> None:
        async with open_client() as client:
            for row in (await client.get("keys"))["keys"]:
                state = "withdrawn" if row["is_withdrawn"] else "valid"
                print(f"{row['key_id']}  {row['team']:<20}  {state}")

    asyncio.run(run())


@key_app.command
def withdraw(key_id: str) -> None:
    """Withdraw a key permanently, and show which entry VMs apply it.

    Besides the replication between entry VMs, the request is sent to each of
    them directly. It thus reaches a zone that is partitioned from the other
    zones but reachable from here. The exit code is 1 if any entry VM has not
    applied the withdrawal.

    Example: galenarill key withdraw 4f1c02aa91d3

    Args:
        key_id: Id of the key: the second of its parts separated by `_`.
    """

    async def run() -> None:
        async with open_client() as client:
            vms = await client.entry_vms()
            path = f"keys/{key_id}/withdrawal"
            await asyncio.gather(
                *(client.post_ignoring_errors(vm, path) for vm in vms)
            )
            for _ in range(MAX_WITHDRAWAL_POLLS):
                answers = await client.get_from_all("keys")
                if report_applied_by_zone(answers, is_withdrawn, False):
                    break
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
            if not report_applied_by_zone(answers, is_withdrawn):
                raise GalenarillError(
                    "the withdrawal is not in force everywhere"
                )

    def is_withdrawn(answer: dict) -> bool:
        return key_id in answer["withdrawn"]

    asyncio.run(run())


@operator_app.command
def new(name: str, role: str = "read") -> None:
    """Create a credential for an operator.

    Prints the credential, and the table to add to the operators file of each
    entry VM.

    Args:
        name: Name of the operator.
        role: One of read, operate or administer.
    """
    if role not in ("read", "operate", "administer"):
        raise GalenarillError(f"no role {role!r}")
    key_id, text, digest = new_key()
    print(f"# credential, shown once: {text}")
    print(f"[operators.{name}]")
    print(f'role = "{role}"')
    print(f'key_id = "{key_id}"')
    print(f'digest = "{digest}"')
