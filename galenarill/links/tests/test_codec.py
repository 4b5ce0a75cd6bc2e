"""Tests that any input is decoded or raises `ProtocolError`."""

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from galenarill.consensus.messages import (
    Append,
    Configuration,
    Entry,
    EntryKind,
    InstallSnapshot,
    Snapshot,
)
from galenarill.errors import ProtocolError
from galenarill.links import decode_batch, encode_batch
from galenarill.scheduling.messages import (
    Demand,
    DemandLine,
    Granted,
    Permit,
)

MESSAGES = [
    Demand("az-a", "ep", (DemandLine("render", "red", 3, 1),)),
    Granted(
        "az-a",
        "ep",
        (Permit("ep.1", "vm", "b", "127.0.0.1:1", "render", "red"),),
    ),
    Append(1, 0, 0, 0, 1, True, (Entry(1, 1, EntryKind.COMMAND, b"\0\xff"),)),
    InstallSnapshot(1, 2, Snapshot(1, 1, Configuration({"v": "d"}), b"\0")),
]

cbor_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text() | st.binary(),
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=20,
)


def test_round_trip():
    assert decode_batch(encode_batch(MESSAGES)) == MESSAGES


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_random_bytes_raise_only_protocol_error(data):
    _decode_or_raise_protocol_error(data)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(cbor_values)
def test_random_values_raise_only_protocol_error(value):
    _decode_or_raise_protocol_error(cbor2.dumps(value))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.data())
def test_corrupted_messages_raise_only_protocol_error(data):
    content = bytearray(encode_batch(MESSAGES))
    for _ in range(data.draw(st.integers(1, 4))):
        position = data.draw(st.integers(0, len(content) - 1))
        content[position] = data.draw(st.integers(0, 255))
    _decode_or_raise_protocol_error(bytes(content))


def _decode_or_raise_protocol_error(data):
    try:
        assert isinstance(decode_batch(data), list)
    except ProtocolError:
        pass


def test_deep_nesting_raises_protocol_error():
    with pytest.raises(ProtocolError):
        decode_batch(b"\x81" * 100_000)
