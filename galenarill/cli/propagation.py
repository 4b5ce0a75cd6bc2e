"""Propagation of a change to all entry VMs."""

import asyncio
import collections
import time
from collections.abc import Callable

from galenarill.cli.client import AdminClient, EntryVmAddress
from galenarill.errors import GalenarillError

__all__ = ["wait_until_applied", "report_applied_by_zone"]

WAIT_TIMEOUT_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 0.1


async def wait_until_applied(client: AdminClient, version: int) -> None:
    """Wait until every entry VM has applied `version`; print the result.

    Raises:
        GalenarillError: If an entry VM has not applied it before the timeout.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while True:
        answers = await client.get_from_all("status")
        is_complete = report_applied_by_zone(
            answers, lambda status: status["version"] >= version, False
        )
        if is_complete or time.monotonic() > deadline:
            break
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    if not report_applied_by_zone(
        answers, lambda s: s["version"] >= version, True
    ):
        raise GalenarillError(f"version {version} is not in force everywhere")


def report_applied_by_zone(
    answers: dict[EntryVmAddress, dict | None],
    is_applied: Callable[[dict], bool],
    is_printed: bool = True,
) -> bool:
    """Print for each zone how many entry VMs have applied a change.

    Args:
        answers: Answer of each entry VM; None for a VM without an answer.
        is_applied: Returns whether an answer shows that the change is applied.
        is_printed: Whether to print.

    Returns:
        Whether every entry VM has applied the change.
    """
    zones = collections.defaultdict(list)
    for vm, answer in answers.items():
        has_applied = answer is not None and is_applied(answer)
        zones[vm.availability_zone].append((vm.vm, has_applied))
    for zone, states in sorted(zones.items()):
        missing = [vm for vm, has_applied in states if not has_applied]
        if is_printed:
            applied = len(states) - len(missing)
            text = f"{zone}: in force at {applied} of {len(states)} entry VMs"
            if missing:
                text += f", missing {', '.join(missing)}"
            print(text)
    return all(ok for states in zones.values() for _, ok in states)
