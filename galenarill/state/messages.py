"""Messages that carry changes to the leader of the log."""

import msgspec

from galenarill.state.commands import Outcome

__all__ = ["Propose", "Proposed"]


class Propose(msgspec.Struct, frozen=True, array_like=True, tag="pp"):
    """Asks the leader to append a change.

    Attributes:
        call: Number that the reply echoes.
        change: Encoded change.
    """

    call: int
    change: bytes


class Proposed(msgspec.Struct, frozen=True, array_like=True, tag="pP"):
    """The leader's answer to `Propose`.

    Attributes:
        call: Number of the proposal.
        outcome: Outcome, or None if the receiver does not lead.
    """

    call: int
    outcome: Outcome | None
