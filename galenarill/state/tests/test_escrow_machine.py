"""Stateful test: zones with stale targets never exceed the upper limit."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from galenarill.state import LimitEscrow

ZONES = ["az-a", "az-b", "az-c"]


class EscrowMachine(RuleBasedStateMachine):
    """Each zone acts on the latest target it has seen, which may be stale."""

    @initialize(limit=st.integers(0, 30))
    def start(self, limit):
        self.escrow = LimitEscrow(0)
        self.escrow.set_limit(limit, ZONES)
        # Limits that some zone may still act on.
        self.limits = [limit]
        self.known_targets = dict(self.escrow.targets)
        self.running = dict.fromkeys(ZONES, 0)

    @rule(limit=st.integers(0, 30))
    def set_limit(self, limit):
        self.escrow.set_limit(limit, ZONES)
        self.limits.append(limit)

    @rule(az=st.sampled_from(ZONES), count=st.integers(1, 10))
    def give(self, az, count):
        self.escrow.give(az, count)

    @rule(az=st.sampled_from(ZONES), count=st.integers(1, 10))
    def take(self, az, count):
        self.escrow.take(az, count)

    @rule(az=st.sampled_from(ZONES))
    def see(self, az):
        """The zone reads its current target."""
        self.known_targets[az] = self.escrow.targets[az]

    @rule(az=st.sampled_from(ZONES))
    def run_all(self, az):
        """The zone uses all slots of the target it has seen."""
        self.running[az] = max(self.running[az], self.known_targets[az])

    @rule(az=st.sampled_from(ZONES), count=st.integers(1, 10))
    def finish(self, az, count):
        self.running[az] = max(0, self.running[az] - count)

    @rule(az=st.sampled_from(ZONES))
    def acknowledge(self, az):
        if self.running[az] <= self.known_targets[az]:
            self.escrow.acknowledge(az, self.known_targets[az])

    @rule()
    def settle(self):
        """All zones apply their targets, so that the current limit holds."""
        for az in ZONES:
            self.see(az)
            self.running[az] = min(self.running[az], self.known_targets[az])
            self.escrow.acknowledge(az, self.known_targets[az])
        self.limits = self.limits[-1:]
        assert sum(self.running.values()) <= self.escrow.limit

    @invariant()
    def running_within_limit(self):
        if not hasattr(self, "escrow"):
            return
        total = sum(self.running.values())
        assert total <= max(self.limits), f"{total} run of {self.limits}"
        assert sum(self.escrow.targets.values()) <= self.escrow.limit
        for az in ZONES:
            assert self.running[az] <= self.escrow.held[az]
            assert self.known_targets[az] <= self.escrow.held[az]


TestEscrow = EscrowMachine.TestCase
TestEscrow.settings = settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
