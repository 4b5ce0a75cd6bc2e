"""Tests of batching commands and of their outcome for each caller."""

import asyncio

import pytest

from galenarill.consensus import Role
from galenarill.coordinator.proposals import Proposals
from galenarill.errors import NotLeaderError
from galenarill.jobs import CancelJob, decode_commands


class Log:
    """A log whose entries the test applies."""

    role = Role.LEADER
    term = 1

    def __init__(self):
        self.entries = []

    def propose(self, data):
        self.entries.append(decode_commands(data))
        return len(self.entries)


def run_scenario(scenario):
    async def main():
        log = Log()
        await scenario(log, Proposals(log, log))

    asyncio.run(main())


def test_commands_of_one_turn_share_an_entry():
    async def scenario(log, proposals):
        futures = [proposals.propose(CancelJob(j, 1.0)) for j in "ab"]
        await asyncio.sleep(0)
        assert [len(entry) for entry in log.entries] == [2]
        proposals.note_applied(1, 1)
        await asyncio.gather(*futures)

    run_scenario(scenario)


def test_cancelling_one_caller_does_not_affect_the_others():
    async def scenario(log, proposals):
        async def wait(job):
            await proposals.propose(CancelJob(job, 1.0))
            return job

        tasks = [asyncio.create_task(wait(job)) for job in "abc"]
        await asyncio.sleep(0.01)
        tasks[0].cancel()
        await asyncio.sleep(0)
        proposals.note_applied(1, 1)
        assert await asyncio.gather(*tasks[1:]) == ["b", "c"]

    run_scenario(scenario)


def test_lost_leadership_fails_all_callers():
    async def scenario(log, proposals):
        future = proposals.propose(CancelJob("a", 1.0))
        await asyncio.sleep(0)
        log.role = Role.FOLLOWER
        proposals.fail_if_not_leading()
        with pytest.raises(NotLeaderError):
            await future

    run_scenario(scenario)


def test_an_entry_of_another_term_fails_the_proposal():
    async def scenario(log, proposals):
        future = proposals.propose(CancelJob("a", 1.0))
        await asyncio.sleep(0)
        proposals.note_applied(1, 2)
        with pytest.raises(NotLeaderError):
            await future

    run_scenario(scenario)
