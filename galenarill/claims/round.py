"""Quorum round of one attempt to claim a request id."""

import enum

from galenarill.claims import messages
from galenarill.common import RequestId, VmId

__all__ = ["ClaimRound", "ClaimResult"]


class ClaimResult(enum.Enum):
    """State of an attempt to claim a request id."""

    PENDING = enum.auto()
    WON = enum.auto()
    TAKEN = enum.auto()
    UNAVAILABLE = enum.auto()


class ClaimRound:
    """Collects the replicas' votes on a claim until a quorum has decided.

    Example:
        >>> round_ = ClaimRound("order-1", "t1", ("a", "b", "c"))
        >>> granted = messages.ClaimReply(
        ...     "order-1", "t1", messages.ClaimVerdict.GRANTED
        ... )
        >>> round_.receive("a", granted)
        >>> round_.result
        <ClaimResult.PENDING: 1>
        >>> round_.receive("b", granted)
        >>> round_.result
        <ClaimResult.WON: 2>
    """

    def __init__(
        self, request: RequestId, token: str, replicas: tuple[VmId, ...]
    ):
        """Initialize a round without votes.

        Args:
            request: Request id to claim.
            token: Unique token of this attempt.
            replicas: Replicas of the claim.
        """
        self._request = request
        self._token = token
        self._replicas = replicas
        self._verdicts: dict[VmId, messages.ClaimVerdict] = {}
        self._owner: VmId | str = ""

    @property
    def owner(self) -> VmId | str:
        """Owner of a conflicting claim, or "" if none was reported."""
        return self._owner

    @property
    def result(self) -> ClaimResult:
        """Current state of the attempt."""
        verdicts = list(self._verdicts.values())
        granted = verdicts.count(messages.ClaimVerdict.GRANTED)
        majority = len(self._replicas) // 2 + 1
        if granted >= majority:
            return ClaimResult.WON
        outstanding = len(self._replicas) - len(verdicts)
        if granted + outstanding >= majority:
            return ClaimResult.PENDING
        if messages.ClaimVerdict.TAKEN in verdicts:
            return ClaimResult.TAKEN
        return ClaimResult.UNAVAILABLE

    def receive(self, replica: VmId, reply: messages.ClaimReply) -> None:
        """Record the vote of `replica`."""
        if reply.token != self._token or replica not in self._replicas:
            return
        self._verdicts[replica] = reply.verdict
        if reply.verdict is messages.ClaimVerdict.TAKEN:
            self._owner = reply.owner
