"""Rendezvous (highest random weight) hashing."""

from collections.abc import Iterable

import xxhash

__all__ = ["rendezvous_order"]


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` from the highest to the lowest score for `key`.

    Every process computes the same order. Removing one name does not change
    the order of the others.

    Args:
        key: Key of the item to place.
        names: Names of the candidates.

    Returns:
        The candidates in order of preference.

    Example:
        >>> order = rendezvous_order("key", ["a", "b", "c"])
        >>> rest = rendezvous_order("key", set(order) - {order[0]})
        >>> rest == order[1:]
        True
    """
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def _score(key: str, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()), name
