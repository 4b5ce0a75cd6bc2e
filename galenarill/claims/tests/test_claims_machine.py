"""Stateful test: at most one owner runs the request of an id.

Replicas restart with empty tables, messages are lost, delayed and duplicated,
and several entry VMs claim the same ids concurrently.
"""

import collections
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from galenarill.claims import (
    AbandonClaim,
    Claim,
    ClaimRecord,
    ClaimReply,
    ClaimResult,
    ClaimRound,
    ClaimTable,
    ClaimTableReply,
    ClaimTableRequest,
    RequestIdGenerator,
    claim_replicas,
)

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}
UNIX = 1_000_000.0


class ClaimsMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.tables = {vm: self.new_table(vm) for vm in ZONES}
        # Late enough that all claims lost at the start have expired.
        self.now = 5000.0
        self.network = []
        self.rounds = {}
        self.runs = collections.Counter()
        self.tokens = 0
        self.ids = [f"order-{n}" for n in range(4)]
        issuers = [RequestIdGenerator(az) for az in ("a", "b")]
        self.ids += [ids.issue(UNIX + 4000.0) for ids in issuers]

    def new_table(self, vm):
        return ClaimTable(vm, ZONES, self.now, UNIX + self.now)

    @rule(data=st.data(), owner=st.sampled_from(sorted(ZONES)))
    def claim(self, data, owner):
        request = data.draw(st.sampled_from(self.ids))
        self.tokens += 1
        token = f"{owner}.{self.tokens}"
        replicas = claim_replicas(request, ZONES)
        self.rounds[token] = [
            ClaimRound(request, token, replicas),
            request,
            owner,
        ]
        record = ClaimRecord(request, owner, token, 600.0)
        for vm in replicas:
            self.network.append((owner, vm, Claim(record)))

    @rule(
        steps=st.integers(1, 12),
        loss=st.sampled_from([0.0, 0.2]),
        repeat=st.sampled_from([0.0, 0.2]),
    )
    def deliver(self, steps, loss, repeat):
        for _ in range(min(steps, len(self.network))):
            position = self.rng.randrange(len(self.network))
            sender, receiver, message = self.network.pop(position)
            if self.rng.random() < repeat and not isinstance(
                message, AbandonClaim
            ):
                self.network.append((sender, receiver, message))
            if self.rng.random() >= loss:
                self.receive(sender, receiver, message)

    def receive(self, sender, receiver, message):
        table = self.tables[receiver]
        match message:
            case Claim():
                # The owner may have given up before this claim arrives.
                reply = table.claim(message, self.now)
                self.network.append((receiver, sender, reply))
            case AbandonClaim():
                table.abandon(message)
            case ClaimTableRequest():
                reply = table.make_table_reply(sender, self.now)
                self.network.append((receiver, sender, reply))
            case ClaimTableReply():
                table.merge(sender, message, self.now)
            case ClaimReply():
                self.receive_reply(sender, message)

    def receive_reply(self, sender, message):
        known = self.rounds.get(message.token)
        if known is None:
            return
        round_, request, _ = known
        round_.receive(sender, message)
        if round_.result is ClaimResult.WON:
            del self.rounds[message.token]
            self.runs[request] += 1
            assert self.runs[request] == 1, f"{request} runs twice"

    @rule(data=st.data())
    def give_up(self, data):
        """A round times out, and its owner never starts the request."""
        if not self.rounds:
            return
        token = data.draw(st.sampled_from(sorted(self.rounds)))
        _, request, owner = self.rounds.pop(token)
        for vm in claim_replicas(request, ZONES):
            self.network.append((owner, vm, AbandonClaim(request, token)))

    @rule(vm=st.sampled_from(sorted(ZONES)))
    def restart(self, vm):
        """A replica loses its table, and its own rounds end."""
        self.now += 10.0
        self.tables[vm] = self.new_table(vm)
        for token, (_, _, owner) in list(self.rounds.items()):
            if owner == vm:
                del self.rounds[token]
        # The connections of the old process are closed.
        self.network = [
            item for item in self.network if vm not in (item[0], item[1])
        ]

    @rule()
    def recover(self):
        for vm, table in self.tables.items():
            for peer in sorted(table.unsynced_replicas):
                self.network.append((vm, peer, ClaimTableRequest()))


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
