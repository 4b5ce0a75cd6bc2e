"""Moves part of a team's limit from one zone to another.

Run it with `python -m examples.moving_a_limit`.
"""

from galenarill.state import LimitEscrow

ZONES = ["az-a", "az-b", "az-c"]


def main() -> None:
    """Move an allotment in two steps; in between, no zone may use it."""
    escrow = LimitEscrow(limit=0)
    escrow.set_limit(12, ZONES)
    print("split:       ", escrow.targets)
    escrow.give("az-a", 3)
    print("given up:    ", escrow.targets, "free:", escrow.free)
    print("taken early: ", escrow.take("az-c", 3))
    escrow.acknowledge("az-a", 1)
    print("acknowledged:", escrow.targets, "free:", escrow.free)
    print("taken:       ", escrow.take("az-c", 3), escrow.targets)


if __name__ == "__main__":
    main()
