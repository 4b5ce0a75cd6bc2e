"""Stateful test: at most one candidate holds a zone's lease at any time."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from galenarill.scheduling import (
    LeaseCandidate,
    LeaseElector,
    LeaseState,
    electors_of,
)
from galenarill.scheduling.messages import LeaseReply

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
# Maximum clock rate error.
DRIFT = 0.02


class LeaseMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.rate = {vm: 1 + self.rng.uniform(-DRIFT, DRIFT) for vm in ZONES}
        self.electors = electors_of("a", ZONES)
        self.voters = {vm: LeaseElector(self.clock(vm)) for vm in self.electors}
        self.candidates = {vm: self.new_candidate(vm) for vm in ("a1", "a2")}
        self.network = []
        self.epochs = 0
        self.wins = 0

    def clock(self, vm):
        return self.now * self.rate[vm]

    def new_candidate(self, vm):
        return LeaseCandidate("a", vm, self.electors)

    @rule(vm=st.sampled_from(["a1", "a2"]))
    def campaign(self, vm):
        candidate = self.candidates[vm]
        if candidate.state(self.clock(vm)) is not LeaseState.FOLLOWING:
            return
        self.epochs += 1
        request = candidate.campaign(f"ep{self.epochs}", self.clock(vm))
        self.network += [(vm, elector, request) for elector in self.electors]

    @rule(vm=st.sampled_from(["a1", "a2"]))
    def renew(self, vm):
        request = self.candidates[vm].renew(self.clock(vm))
        if request is not None:
            self.network += [(vm, e, request) for e in self.electors]

    @rule(count=st.integers(1, 8), loss=st.sampled_from([0.0, 0.3]))
    def deliver(self, count, loss):
        for _ in range(min(count, len(self.network))):
            position = self.rng.randrange(len(self.network))
            sender, receiver, message = self.network.pop(position)
            if self.rng.random() < loss:
                continue
            now = self.clock(receiver)
            if isinstance(message, LeaseReply):
                self.candidates[receiver].receive(sender, message, now)
            else:
                reply = self.voters[receiver].request(message, 1, now)
                self.network.append((receiver, sender, reply))
            self.check()

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 2.5]))
    def wait(self, seconds):
        self.now += seconds
        self.check()

    @rule(vm=st.sampled_from(sorted(ZONES)))
    def restart(self, vm):
        if vm in self.voters:
            self.voters[vm] = LeaseElector(self.clock(vm))
        if vm in self.candidates:
            self.candidates[vm] = self.new_candidate(vm)

    def check(self):
        holding = [
            vm
            for vm, candidate in self.candidates.items()
            if candidate.state(self.clock(vm)) is LeaseState.HOLDING
        ]
        assert len(holding) <= 1, holding


TestLease = LeaseMachine.TestCase
TestLease.settings = settings(
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
)


def test_elector_with_stale_state_grants_no_lease():
    elector = LeaseElector(0.0)
    candidate = LeaseCandidate("a", "a1", frozenset({"a1"}))
    request = candidate.campaign("ep1", 10.0)
    assert not elector.request(request, -1, 10.0).granted
    reply = elector.request(request, 7, 10.0)
    candidate.receive("a1", reply, 10.0)
    assert candidate.state(10.0) is LeaseState.HOLDING
    assert candidate.required_version == 7


def test_witness_keeps_quorum_after_loss_of_one_of_two_entry_vms():
    electors = electors_of("a", ZONES)
    assert len(electors) == 3
    assert {"a1", "a2"} < electors
