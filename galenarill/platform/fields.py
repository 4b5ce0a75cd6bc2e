"""Types of fields in the platform's messages, with their ranges."""

import re
from typing import Annotated

import msgspec

__all__ = [
    "Amount",
    "Integer",
    "Number",
    "is_address",
    "is_id",
    "is_zone_id",
    "finite",
    "whole",
]

# Largest integer that every JSON reader keeps exactly.
MAX_INTEGER = 2**53 - 1
# Largest amount of a resource: a million cores, in millicores.
MAX_AMOUNT = 10**9
# Largest time in milliseconds, about 30,000 years.
MAX_NUMBER = 1e15
MAX_PORT = 65535
MAX_ID_LENGTH = 256

Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Integer = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]

_ADDRESS = re.compile(r"([A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})")

_ZONE_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


def is_address(text: str) -> bool:
    """Return whether `text` is the `host:port` of a server.

    Example:
        >>> is_address("10.4.65.29:8229"), is_address("10.4.65.29:99999")
        (True, False)
    """
    match = _ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match[2]) <= MAX_PORT


def is_id(text: str) -> bool:
    """Return whether `text` can name a worker or a machine.

    Example:
        >>> is_id("i-7f3a91c2"), is_id("two words"), is_id("")
        (True, False, False)
    """
    return (
        0 < len(text) <= MAX_ID_LENGTH
        and text.isprintable()
        and text.isascii()
        and " " not in text
    )


def is_zone_id(text: str) -> bool:
    """Return whether `text` can name an availability zone.

    Example:
        >>> is_zone_id("eu-1a"), is_zone_id("two words"), is_zone_id("..")
        (True, False, False)
    """
    return _ZONE_ID.fullmatch(text) is not None


def whole(value) -> int:
    """Return an integer field of a row.

    Raises:
        ValueError: If it is of another type or out of range.
    """
    if type(value) is not int or not 0 <= value <= MAX_INTEGER:
        raise ValueError(f"expected an integer up to {MAX_INTEGER}")
    return value


def finite(value) -> float:
    """Return a number field of a row.

    Raises:
        ValueError: If it is of another type or out of range.
    """
    if type(value) not in (int, float) or not abs(value) <= MAX_NUMBER:
        raise ValueError(f"expected a number up to {MAX_NUMBER:g}")
    return float(value)
