"""Tests of replicas that join a running log and replace lost voters."""

import random

from galenarill.consensus import EntryKind, Replica, Role

INITIAL_VOTERS = frozenset({"a", "b", "c"})


class Cluster:
    """Replicas with instant message delivery, except to and from down ones."""

    def __init__(self):
        self.now = 100.0
        self.replicas = {}
        self.down = set()
        self.applied = {}
        for vm in sorted(INITIAL_VOTERS):
            self.add(vm, f"disk-{vm}", INITIAL_VOTERS)

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
            replica.mark_synced(replica.log.last_index, self.now)
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
            if vm not in self.down and replica.has_leader_lease(self.now)
        )

    @property
    def voters(self):
        return set(self.leader.configuration.voters)


def test_joining_replica_becomes_nonvoting_learner():
    cluster = Cluster()
    cluster.advance(4)
    cluster.leader.propose(b"x")
    cluster.add("d", "disk-d")
    cluster.advance(3)
    assert cluster.voters == INITIAL_VOTERS
    assert set(cluster.leader.configuration.learners) == {"d"}
    assert cluster.applied["d"] == [b"x"]


def test_joining_replica_replaces_lost_voter():
    cluster = Cluster()
    cluster.advance(4)
    cluster.leader.propose(b"x")
    lost = next(
        vm
        for vm, replica in cluster.replicas.items()
        if replica.role is not Role.LEADER
    )
    cluster.down.add(lost)
    cluster.add("d", "disk-d")
    cluster.advance(8)
    assert cluster.voters == INITIAL_VOTERS - {lost} | {"d"}
    # The new voter counts towards the quorum: another voter can fail.
    other = next(
        vm
        for vm in INITIAL_VOTERS - {lost}
        if cluster.leader is not cluster.replicas[vm]
    )
    cluster.down.add(other)
    cluster.advance(4)
    cluster.leader.propose(b"y")
    cluster.advance(1)
    assert cluster.applied["d"] == [b"x", b"y"]


def test_returning_lost_voter_becomes_learner():
    cluster = Cluster()
    cluster.advance(4)
    lost = next(
        vm
        for vm, replica in cluster.replicas.items()
        if replica.role is not Role.LEADER
    )
    cluster.down.add(lost)
    cluster.add("d", "disk-d")
    cluster.advance(8)
    cluster.down.clear()
    cluster.advance(4)
    assert cluster.voters == INITIAL_VOTERS - {lost} | {"d"}
    assert lost in cluster.leader.configuration.learners


def test_blank_replica_does_not_bootstrap_second_log():
    cluster = Cluster()
    cluster.down = set(INITIAL_VOTERS)
    cluster.add("d", "disk-d")
    cluster.advance(20)
    assert cluster.replicas["d"].role is Role.BLANK
