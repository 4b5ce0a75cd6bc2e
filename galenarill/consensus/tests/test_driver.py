"""A leader writes its own copy of the log late, but counts it only then."""

import asyncio
import random

import pytest

from galenarill.consensus import (
    HardState,
    LogDriver,
    Replica,
    Role,
    StateMachine,
)
from galenarill.consensus.driver import DEFERRED_SYNC_SECONDS
from standins.virtual_time import run_in_virtual_time

VOTERS = frozenset({"v1", "v2", "v3"})


class Journal:
    """A journal in memory that counts its syncs."""

    def __init__(self):
        self.syncs = 0
        self.entries = {}

    def append(self, hard_state, entries):
        self.syncs += 1
        if entries:
            first = entries[0].index
            self.entries = {i: e for i, e in self.entries.items() if i < first}
            self.entries.update((entry.index, entry) for entry in entries)

    def install(self, snapshot, hard_state, entries):
        self.syncs += 1


class Applied(StateMachine):
    """Records the commands that are applied."""

    def __init__(self):
        self.commands = []
        self.index = 0

    @property
    def version(self):
        return self.index

    def apply(self, entry):
        self.index = entry.index
        if entry.data:
            self.commands.append(entry.data)

    def encode(self):
        return b""

    def restore(self, data, index):
        self.index = index


class Cluster:
    """Three drivers whose messages take 3 ms."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.cut = set()
        self.drivers, self.replicas = {}, {}
        self.journals, self.machines = {}, {}
        for number, vm in enumerate(sorted(VOTERS)):
            replica = Replica(
                vm,
                VOTERS - {vm},
                VOTERS,
                f"d{number}",
                random.Random(number),
                self.loop.time(),
                hard_state=HardState(),
                snapshot=None,
                entries=[],
                election_timeout_seconds=0.6,
            )
            self.replicas[vm] = replica
            self.journals[vm], self.machines[vm] = Journal(), Applied()
            self.drivers[vm] = LogDriver(
                replica,
                self.journals[vm],
                self.machines[vm],
                lambda peer, message, vm=vm: self.send(vm, peer, message),
                lambda has_applied: None,
                self.loop.time,
            )

    def send(self, sender, receiver, message):
        def deliver():
            if not {sender, receiver} & self.cut:
                self.drivers[receiver].receive(sender, message)

        self.loop.call_later(0.003, deliver)
        return True

    async def run(self, seconds):
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            for vm, driver in self.drivers.items():
                if vm not in self.cut:
                    driver.tick()
            await asyncio.sleep(0.02)

    @property
    def leader(self):
        return next(
            vm
            for vm, replica in self.replicas.items()
            if replica.role is Role.LEADER and vm not in self.cut
        )


@pytest.fixture
def run():
    def run(scenario):
        async def start():
            cluster = Cluster()
            await cluster.run(5.0)
            await scenario(cluster)

        run_in_virtual_time(start)

    return run


def test_syncs_of_a_busy_leader_are_shared(run):
    """Load: 50 commits a second, each sync of which blocks the loop 9 ms."""

    async def scenario(cluster):
        leader = cluster.leader
        before = cluster.journals[leader].syncs
        for number in range(100):
            cluster.drivers[leader].propose(b"%d" % number)
            await cluster.run(0.02)
        # Two messages and the ticks of the loop: no wait for the leader's own.
        assert len(cluster.machines[leader].commands) >= 99
        syncs = cluster.journals[leader].syncs - before
        assert syncs <= 2.0 / DEFERRED_SYNC_SECONDS + 1
        await cluster.run(1.0)
        log = cluster.replicas[leader].log
        assert log.last_index in cluster.journals[leader].entries

    run(scenario)


def test_a_leader_syncs_at_once_if_a_commit_needs_its_own_copy(run):
    async def scenario(cluster):
        leader = cluster.leader
        cluster.cut.add(next(iter(VOTERS - {leader})))
        await cluster.run(0.5)
        cluster.drivers[leader].propose(b"x")
        await cluster.run(0.03)
        assert cluster.machines[leader].commands == [b"x"]
        log = cluster.replicas[leader].log
        assert log.last_index in cluster.journals[leader].entries

    run(scenario)


def test_an_entry_that_only_the_leader_has_in_memory_is_not_committed(run):
    async def scenario(cluster):
        leader = cluster.leader
        cluster.drivers[leader].propose(b"x")
        cluster.cut.update(VOTERS - {leader})
        await cluster.run(1.0)
        assert cluster.machines[leader].commands == []

    run(scenario)


def test_deferred_entries_are_written_before_those_that_replace_them(run):
    async def scenario(cluster):
        leader = cluster.leader
        others = VOTERS - {leader}
        cluster.drivers[leader].propose(b"old")
        cluster.cut.add(leader)
        await cluster.run(4.0)
        new_leader = cluster.leader
        assert new_leader in others
        cluster.drivers[new_leader].propose(b"new")
        await cluster.run(0.5)
        cluster.cut.clear()
        await cluster.run(2.0)
        commands = [
            entry.data
            for _, entry in sorted(cluster.journals[leader].entries.items())
            if entry.data in (b"old", b"new")
        ]
        assert commands == [b"new"]
        assert cluster.machines[leader].commands == [b"new"]

    run(scenario)
