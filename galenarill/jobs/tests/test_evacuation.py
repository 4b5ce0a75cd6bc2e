"""Evacuated zones in the replicated state, its snapshot and its log."""

import cbor2
import pytest

from galenarill.jobs import (
    CancelJob,
    ClusterState,
    DrainWorker,
    EvacuateZone,
    RestoreZone,
    ZoneEvacuation,
    decode_commands,
    encode_commands,
)
from galenarill.jobs.state import MAX_RESTORED_ZONES

# Fields of a snapshot before evacuations were added.
EARLIER_FIELDS = 7


@pytest.fixture
def state():
    return ClusterState()


def apply(state, *commands):
    commands = decode_commands(encode_commands(list(commands)))
    state.apply(state.version + 1, commands)


def test_repeated_commands_change_nothing(state):
    """Guards against a resend that moves the time of an order."""
    apply(state, EvacuateZone("a", 5.0))
    apply(state, EvacuateZone("a", 9.0))
    assert state.evacuated_zones == {"a": ZoneEvacuation(5.0, 1)}
    apply(state, RestoreZone("a", 10.0), RestoreZone("a", 11.0))
    assert state.evacuated_zones == {}
    assert state.restored_zones == {"a": 10.0}


def test_a_snapshot_holds_evacuated_and_restored_zones(state):
    apply(state, EvacuateZone("a", 5.0), EvacuateZone("b", 6.0))
    apply(state, RestoreZone("b", 7.0))
    copy = ClusterState()
    copy.restore(state.encode(), state.version)
    assert copy.evacuated_zones == {"a": ZoneEvacuation(5.0, 1)}
    assert copy.restored_zones == {"b": 7.0}


def test_a_snapshot_of_an_earlier_release_is_loaded(state):
    apply(state, DrainWorker("w", 5))
    earlier = cbor2.dumps(cbor2.loads(state.encode())[:EARLIER_FIELDS])
    copy = ClusterState()
    copy.restore(earlier, 1)
    assert copy.draining == {"w": 5}
    assert copy.evacuated_zones == copy.restored_zones == {}
    apply(copy, EvacuateZone("a", 5.0))
    assert copy.evacuated_zones == {"a": ZoneEvacuation(5.0, 2)}


def test_a_log_entry_of_an_earlier_release_is_decoded():
    earlier = cbor2.dumps([["can", "ab", 1.5]])
    assert decode_commands(earlier) == [CancelJob("ab", 1.5)]


def test_restored_zones_are_bounded(state):
    for number in range(MAX_RESTORED_ZONES + 3):
        apply(state, RestoreZone(f"z{number}", float(number)))
    assert len(state.restored_zones) == MAX_RESTORED_ZONES
    assert next(iter(state.restored_zones)) == "z3"
