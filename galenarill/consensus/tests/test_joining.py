"""Replicas that join a running log, and take the place of lost ones."""

import random

from galenarill.consensus import EntryKind, Replica, Role

SEEDS = frozenset({"a", "b", "c"})


class Net:
    """Replicas that hear each other at once, unless they are down."""

    def __init__(self):
        self.now = 100.0
        self.replicas = {}
        self.down = set()
        self.applied = {}
        for vm in sorted(SEEDS):
            self.add(vm, f"disk-{vm}", SEEDS)

    def add(self, vm, disk, initial_voters=frozenset()):
        self.replicas[vm] = Replica(
            vm,
            frozenset(self.replicas) - {vm},
            initial_voters,
            disk,
            random.Random(vm),
            self.now,
            target_voters=3,
        )
        self.applied[vm] = []
        for replica in self.replicas.values():
            replica.add_peer(vm)

    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            for vm, replica in self.replicas.items():
                if vm not in self.down:
                    replica.tick(self.now)
            for _ in range(4):
                self.deliver()

    def deliver(self):
        for vm, replica in self.replicas.items():
            if vm in self.down:
                continue
            ready = replica.take_ready()
            replica.synced(replica.log.last_index, self.now)
            for entry in ready.committed:
                if entry.kind is EntryKind.COMMAND:
                    self.applied[vm].append(entry.data)
            for peer, message in ready.messages:
                if peer in self.replicas and peer not in self.down:
                    self.replicas[peer].receive(vm, message, self.now)

    @property
    def leader(self):
        return next(
            replica
            for vm, replica in self.replicas.items()
            if vm not in self.down and replica.is_confirmed(self.now)
        )

    @property
    def voters(self):
        return set(self.leader.configuration.voters)


def test_a_replica_that_joins_learns_and_does_not_vote():
    net = Net()
    net.advance(4)
    net.leader.propose(b"x")
    net.add("d", "disk-d")
    net.advance(3)
    assert net.voters == SEEDS
    assert set(net.leader.configuration.learners) == {"d"}
    assert net.applied["d"] == [b"x"]


def test_a_replica_that_joins_takes_the_place_of_a_lost_one():
    net = Net()
    net.advance(4)
    net.leader.propose(b"x")
    lost = next(
        vm
        for vm, replica in net.replicas.items()
        if replica.role is not Role.LEADER
    )
    net.down.add(lost)
    net.add("d", "disk-d")
    net.advance(8)
    assert net.voters == SEEDS - {lost} | {"d"}
    # The new voter counts: another one may now be lost.
    other = next(
        vm for vm in SEEDS - {lost} if net.leader is not net.replicas[vm]
    )
    net.down.add(other)
    net.advance(4)
    net.leader.propose(b"y")
    net.advance(1)
    assert net.applied["d"] == [b"x", b"y"]


def test_a_lost_replica_that_returns_becomes_a_learner():
    net = Net()
    net.advance(4)
    lost = next(
        vm
        for vm, replica in net.replicas.items()
        if replica.role is not Role.LEADER
    )
    net.down.add(lost)
    net.add("d", "disk-d")
    net.advance(8)
    net.down.clear()
    net.advance(4)
    assert net.voters == SEEDS - {lost} | {"d"}
    assert lost in net.leader.configuration.learners


def test_a_blank_disk_forms_no_second_log():
    net = Net()
    net.down = set(SEEDS)
    net.add("d", "disk-d")
    net.advance(20)
    assert net.replicas["d"].role is Role.BLANK
