"""Bytes of another writer raise `ProtocolError` and nothing else."""

import contextlib
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from galenarill.errors import ProtocolError
from galenarill.links import decode_batch
from galenarill.platform.wire import (
    decode_clock_and_reason,
    decode_configuration,
    decode_job,
    decode_lists,
    decode_report,
    decode_wave,
)

DECODERS = {
    "clock": decode_clock_and_reason,
    "configuration": decode_configuration,
    "job": decode_job,
    "lists": decode_lists,
    "report": lambda data: decode_report("w", data),
    "wave": decode_wave,
    "batch": decode_batch,
}

FIELDS = (
    "service address zone version slots state cold_left_ms capacity labels "
    "clock_ms seq born machine remaining_ms cpu mem_mb gpu spec steps count "
    "estimate_ms depends_on repeat_count initial_delay_ms interval_ms running "
    "ended reason wave machines duration_s upper_limit routes services tenants "
    "limits name api_keys weight host path_prefix timeout_ms slo_ms advice"
).split()

values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=6)
    | st.sampled_from(["ready", "draining", "a:1", "a:99999", ":"]),
    lambda inner: (
        st.lists(inner, max_size=6)
        | st.dictionaries(st.sampled_from(FIELDS), inner, max_size=8)
    ),
    max_leaves=24,
)


@pytest.mark.parametrize("name", DECODERS)
@settings(derandomize=True, deadline=None, max_examples=150)
@given(data=st.binary(max_size=80))
def test_random_bytes(name, data):
    with contextlib.suppress(ProtocolError):
        DECODERS[name](data)


@pytest.mark.parametrize("name", [n for n in DECODERS if n != "batch"])
@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    message=st.dictionaries(st.sampled_from(FIELDS), values, max_size=14)
    | values
)
def test_messages_with_fields_of_other_types(name, message):
    with contextlib.suppress(ProtocolError):
        DECODERS[name](json.dumps(message).encode())
