"""Encoding of messages between entry VMs."""

import decimal
import functools
import operator
from collections.abc import Sequence

import cbor2
import msgspec

from galenarill.claims import messages as claims
from galenarill.cluster import messages as cluster
from galenarill.consensus import messages as consensus
from galenarill.errors import ProtocolError
from galenarill.membership import messages as membership
from galenarill.scheduling import messages as scheduling
from galenarill.state import messages as state

__all__ = ["encode_batch", "decode_batch", "MAX_FRAME_BYTES"]

MAX_FRAME_BYTES = 16 * 1024 * 1024
# Types that CBOR encodes natively.
NATIVE_CBOR_TYPES = (bytes, decimal.Decimal)

_MESSAGE_TYPES = [
    message_type
    for module in (claims, cluster, consensus, membership, scheduling, state)
    for message_type in (getattr(module, name) for name in module.__all__)
    if isinstance(message_type, type)
    and issubclass(message_type, msgspec.Struct)
    and message_type.__struct_config__.tag is not None
]
_AnyMessage = functools.reduce(operator.or_, _MESSAGE_TYPES)


def encode_batch(batch: Sequence[msgspec.Struct]) -> bytes:
    """Encode the messages of one frame.

    Args:
        batch: Messages.

    Returns:
        A CBOR array with one array per message.
    """
    return cbor2.dumps(
        msgspec.to_builtins(list(batch), builtin_types=NATIVE_CBOR_TYPES)
    )


def decode_batch(data: bytes) -> list[msgspec.Struct]:
    """Decode the messages of one frame.

    Raises:
        ProtocolError: If `data` is not a list of known messages.

    Example:
        >>> decode_batch(encode_batch([claims.ClaimTableRequest()]))
        [ClaimTableRequest()]
    """
    try:
        return msgspec.convert(
            cbor2.loads(data),
            list[_AnyMessage],
            builtin_types=NATIVE_CBOR_TYPES,
        )
    except (
        msgspec.ValidationError,
        cbor2.CBORDecodeError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise ProtocolError(f"malformed batch of messages: {error}") from error
