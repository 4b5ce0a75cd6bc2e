"""Messages that forward changes to the leader of the replicated log."""

import msgspec

from galenarill.state.commands import Outcome

__all__ = ["Propose", "Proposed"]


class Propose(msgspec.Struct, frozen=True, array_like=True, tag="pp"):
    """Asks the leader to append a change to the log.

    Attributes:
        call: Call number, echoed in the reply.
        change: Encoded change.
    """

    call: int
    change: bytes


class Proposed(msgspec.Struct, frozen=True, array_like=True, tag="pP"):
    """The leader's reply to `Propose`.

    Attributes:
        call: Call number of the proposal.
        outcome: Outcome, or None if the receiver is not the leader.
    """

    call: int
    outcome: Outcome | None
