"""Tests of the replicated state: budgets, pools, conflicts and snapshots."""

from decimal import Decimal

import cbor2
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from galenarill.state import (
    AdvanceDrain,
    Change,
    Edit,
    EditSettings,
    EvacuateZone,
    FinishDrain,
    FleetState,
    GiveKey,
    MoveVm,
    OutcomeCode,
    ReportLoss,
    ReportReturn,
    RestoreZone,
    StartDrain,
    VmState,
    WithdrawKey,
    decode_change,
    encode_change,
)

POOLS = ("orders", "render", "spare")
VMS = tuple(f"vm-{n}" for n in range(9))
MAX_UNAVAILABLE = 2
MAX_PER_RACK = 1


def _settings():
    return {
        "pools": {
            pool: {
                "max_unavailable": MAX_UNAVAILABLE,
                "max_unavailable_per_rack": MAX_PER_RACK,
            }
            for pool in POOLS
        },
        "teams": {
            "red": {"share": Decimal("1.5"), "upper_limit": 10},
        },
        "vms": {
            vm: {
                "availability_zone": "az-a",
                "rack": f"rack-{n % 4}",
                "pool": POOLS[n % 3],
            }
            for n, vm in enumerate(VMS)
        },
    }


class Log:
    """A log that applies encoded changes to two replicas."""

    def __init__(self):
        self.index = 0
        self.states = [FleetState(), FleetState()]

    def apply(self, command, change_id=None, based_on=-1):
        self.index += 1
        change_id = change_id or f"change-{self.index}"
        change = Change(change_id, "ana", 0.0, based_on, command)
        outcomes = [
            state.apply(self.index, decode_change(encode_change(change)))
            for state in self.states
        ]
        assert outcomes[0] == outcomes[1]
        return outcomes[0]

    def restart_one(self):
        data = self.states[1].encode()
        self.states[1] = FleetState.decode(data)
        assert self.states[1].encode() == data


class FleetMachine(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.log = Log()
        edits = tuple(Edit((k,), v) for k, v in _settings().items())
        assert self.log.apply(EditSettings(edits)).is_accepted
        self.grants = {}
        # Unplanned losses may exceed the budget, planned drains may not.
        self.lost = set()
        self.evacuated_versions = {}

    @property
    def vms(self):
        return self.log.states[0].vms

    @rule(vm=st.sampled_from(VMS))
    def drain(self, vm):
        self.apply_and_check_budget(vm, StartDrain(vm, "test"))

    @rule(vm=st.sampled_from(VMS), to=st.sampled_from(POOLS))
    def move(self, vm, to):
        self.apply_and_check_budget(vm, MoveVm(vm, self.vms[vm].pool, to))

    def apply_and_check_budget(self, vm, command):
        out = self.unavailable_vms(self.vms[vm].pool)
        in_rack = [v for v in out if v.rack == self.vms[vm].rack]
        outcome = self.log.apply(command)
        if outcome.is_accepted:
            assert len(out) < MAX_UNAVAILABLE
            assert len(in_rack) < MAX_PER_RACK
            self.grants[vm] = self.vms[vm].grant

    def unavailable_vms(self, pool):
        return [
            v
            for v in self.vms.values()
            if v.pool == pool and v.state is not VmState.SERVING
        ]

    @rule(vm=st.sampled_from(VMS), is_stale=st.booleans())
    def advance(self, vm, is_stale):
        grant = "old" if is_stale else self.grants.get(vm, "")
        outcome = self.log.apply(AdvanceDrain(vm, grant))
        assert not (is_stale and outcome.is_accepted)

    @rule(vm=st.sampled_from(VMS), is_stale=st.booleans())
    def finish(self, vm, is_stale):
        grant = "old" if is_stale else self.grants.get(vm, "")
        before = self.vms[vm]
        outcome = self.log.apply(FinishDrain(vm, grant))
        if outcome.is_accepted:
            assert before.state is VmState.MAINTAINED
            assert self.vms[vm].pool == (before.target_pool or before.pool)

    @rule(vm=st.sampled_from(VMS))
    def lose(self, vm):
        self.log.apply(ReportLoss(vm, "boot"))

    @rule(vm=st.sampled_from(VMS))
    def come_back(self, vm):
        self.log.apply(ReportReturn(vm))

    @rule(reason=st.sampled_from(["fire", "flood"]))
    def evacuate(self, reason):
        """The first order stands; a repeat would hide who gave it and why."""
        assert self.log.apply(EvacuateZone("az-a", reason)).is_accepted
        self.evacuated_versions.setdefault("az-a", self.log.index)

    @rule()
    def restore(self):
        assert self.log.apply(RestoreZone("az-a")).is_accepted
        self.evacuated_versions.clear()

    @rule()
    def resend_last(self):
        before = self.log.states[0].encode()
        last = next(reversed(self.log.states[0]._recent_outcomes))
        outcome = self.log.apply(StartDrain(VMS[0], "resend"), last)
        assert outcome == self.log.states[0].outcome_of(last)
        after = FleetState.decode(before)
        after.skip(self.log.index)
        assert after.encode() == self.log.states[0].encode()

    @rule()
    def restart(self):
        self.log.restart_one()

    @invariant()
    def replicas_agree(self):
        if hasattr(self, "log"):
            first, second = self.log.states
            assert first.encode() == second.encode()
            assert set(first.vms) == set(VMS)
            assert all(vm.pool in POOLS for vm in first.vms.values())
            zones = first.evacuated_zones.items()
            versions = {zone: order.version for zone, order in zones}
            assert versions == self.evacuated_versions


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)


def _log_with_settings():
    log = Log()
    edits = tuple(Edit((k,), v) for k, v in _settings().items())
    log.apply(EditSettings(edits))
    return log


def test_conflict_reports_both_values():
    log = _log_with_settings()
    path = ("teams", "red", "share")
    first = log.apply(EditSettings((Edit(path, 3),)), based_on=1)
    second = log.apply(EditSettings((Edit(path, 4),)), based_on=1)
    other = log.apply(
        EditSettings((Edit(("teams", "red", "upper_limit"), 9),)), based_on=1
    )
    assert first.is_accepted and other.is_accepted
    assert second.code is OutcomeCode.CONFLICT
    assert "is 3" in second.detail and "to 4" in second.detail


def test_removing_a_table_conflicts_with_a_later_change_in_it():
    log = _log_with_settings()
    log.apply(EditSettings((Edit(("teams", "red", "share"), 3),)), based_on=1)
    outcome = log.apply(
        EditSettings((Edit(("teams", "red"), is_removed=True),)), based_on=1
    )
    assert outcome.code is OutcomeCode.CONFLICT


def test_invalid_settings_change_nothing():
    log = _log_with_settings()
    before = log.states[0].raw_settings
    outcome = log.apply(
        EditSettings(
            (
                Edit(("teams", "red", "upper_limit"), 4),
                Edit(("teams", "red", "share"), -1),
            )
        )
    )
    assert outcome.code is OutcomeCode.INVALID
    assert log.states[0].raw_settings == before


def test_withdrawn_key_cannot_be_issued_again():
    log = _log_with_settings()
    # The log may order the withdrawal before the key is issued.
    assert log.apply(WithdrawKey("k1")).is_accepted
    outcome = log.apply(GiveKey("k1", "red", "0" * 64))
    assert outcome.code is OutcomeCode.CONFLICT
    assert log.states[0].keys["k1"].is_withdrawn


def test_limit_in_contract_units_rounds_down_to_slots():
    log = _log_with_settings()
    edits = (
        Edit(("units",), {"disc": [{"version": 1, "processors": 0.3}]}),
        Edit(
            ("teams", "blue"),
            {
                "share": 1,
                "contract": {"unit": "disc", "unit_version": 1, "limit": 99},
            },
        ),
    )
    assert log.apply(EditSettings(edits)).is_accepted
    # 99 units are 29.7 processors: 14.85 slots of two processors each.
    assert log.states[0].limits["blue"].limit == 14


def test_evacuations_name_known_zones_and_outlive_their_vms():
    """A mistyped name must be rejected, and no edit may revoke an order."""
    log = _log_with_settings()
    for command in (EvacuateZone("az-A", "typo"), RestoreZone("az-A")):
        assert log.apply(command).code is OutcomeCode.NOT_FOUND
    log.apply(EvacuateZone("az-a", "fire"))
    edits = [Edit(("vms", vm), is_removed=True) for vm in VMS]
    assert log.apply(EditSettings(tuple(edits))).is_accepted
    assert log.states[0].evacuated_zones.keys() == {"az-a"}
    assert log.apply(RestoreZone("az-a")).is_accepted
    assert not log.states[0].evacuated_zones


def test_snapshots_are_exchanged_with_earlier_releases():
    """An entry VM of the earlier release loads exactly eight parts.

    During a rolling update it would fail on a snapshot of another length.
    """
    log = _log_with_settings()
    log.apply(EvacuateZone("az-a", "fire"))
    loaded = FleetState.decode(log.states[0].encode())
    assert loaded.evacuated_zones["az-a"].reason == "fire"
    log.apply(RestoreZone("az-a"))
    earlier = log.states[0].encode()
    assert len(cbor2.loads(earlier)) == 8
    assert not FleetState.decode(earlier).evacuated_zones
