"""Helpers for integration tests that run a local fleet of processes."""

import asyncio
import pathlib
import shutil
import tempfile
import time

from standins.fleet import LocalFleet

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"
BASE = EXAMPLES / "base.toml"
SITE = EXAMPLES / "printworks" / "site.toml"

# Limit for tests that hang, not a performance target.
TEST_TIMEOUT_SECONDS = 900


def run_with_fleet(
    scenario, *, timeout_seconds=TEST_TIMEOUT_SECONDS, **options
):
    """Run a test scenario on a new fleet.

    Args:
        scenario: Coroutine function that is called with the fleet.
        timeout_seconds: Limit for the start of the fleet and the scenario.
        **options: Passed to `LocalFleet`.

    Raises:
        TimeoutError: If the limit is exceeded.
    """

    async def run():
        with tempfile.TemporaryDirectory(prefix="galenarill-") as folder:
            fleet = LocalFleet(pathlib.Path(folder), BASE, SITE, **options)
            try:
                async with asyncio.timeout(timeout_seconds), fleet:
                    await scenario(fleet)
            except Exception as error:
                error.add_note(f"logs kept in {_keep_logs(folder)}")
                raise

    asyncio.run(run())


def _keep_logs(folder):
    """Copy the logs, because the fleet's folder is deleted after the test."""
    kept = pathlib.Path(tempfile.mkdtemp(prefix="galenarill-failed-"))
    for file in pathlib.Path(folder).rglob("*.log"):
        shutil.copy(file, kept)
    return kept


async def eventually(condition, seconds, what):
    """Wait until an asynchronous condition is true.

    Args:
        condition: Coroutine function without parameters.
        seconds: Time limit.
        what: Description of the condition for the failure message.

    Returns:
        The time waited, in seconds.

    Raises:
        AssertionError: If the condition is still false after the limit.
    """
    began_at = time.monotonic()
    while not await condition():
        if time.monotonic() > began_at + seconds:
            raise AssertionError(f"not within {seconds} s: {what}")
        await asyncio.sleep(0.05)
    return time.monotonic() - began_at


def executions(fleet, request_id):
    """Return the backend servers' records of a request's executions."""
    return [
        execution
        for server in fleet.servers.values()
        for execution in server.executions
        if execution.request == request_id
    ]


def peak_running_by_team(fleet):
    """Return the highest number of concurrent attempts of each team."""
    events = []
    for server in fleet.servers.values():
        for execution in server.executions:
            events.append((execution.began_at, 1, execution.team))
            end = execution.ended_at or float("inf")
            events.append((end, -1, execution.team))
    running, most = {}, {}
    # Events at the same time sort by the change: ends precede starts.
    for _, change, team in sorted(events):
        running[team] = running.get(team, 0) + change
        most[team] = max(most.get(team, 0), running[team])
    return most


def assert_limits_held(fleet):
    """Assert that no server exceeded its slots and no team its limit."""
    for server in fleet.servers.values():
        assert server.most_running <= server.slots, server.vm
    limits = {
        "municipal": 60,
        "hospital": 48,
        "shopping": 40,
        "proofing": 24,
        "batch": 24,
        "walk-in": 12,
    }
    for team, most in peak_running_by_team(fleet).items():
        if team:
            assert most <= limits[team], f"{team} ran {most}"
