"""One entry VM's attempt to get the claim on a request id."""

import enum

from galenarill.claims import messages
from galenarill.world import RequestId, VmId

__all__ = ["ClaimRound", "ClaimResult"]


class ClaimResult(enum.Enum):
    """How an attempt to claim stands."""

    PENDING = enum.auto()
    WON = enum.auto()
    TAKEN = enum.auto()
    UNAVAILABLE = enum.auto()


class ClaimRound:
    """Counts the replicas' answers.

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

    def __init__(self, request: RequestId, token: str, group: tuple[VmId, ...]):
        """Begin to claim `request` at the replicas in `group`."""
        self._request = request
        self._token = token
        self._group = group
        self._verdicts: dict[VmId, messages.ClaimVerdict] = {}
        self._owner: VmId | str = ""

    @property
    def owner(self) -> VmId | str:
        """Owner of an earlier claim, if a replica named one."""
        return self._owner

    @property
    def result(self) -> ClaimResult:
        """How the attempt stands."""
        verdicts = list(self._verdicts.values())
        granted = verdicts.count(messages.ClaimVerdict.GRANTED)
        majority = len(self._group) // 2 + 1
        if granted >= majority:
            return ClaimResult.WON
        unknown = len(self._group) - len(verdicts)
        if granted + unknown >= majority:
            return ClaimResult.PENDING
        if messages.ClaimVerdict.TAKEN in verdicts:
            return ClaimResult.TAKEN
        return ClaimResult.UNAVAILABLE

    def receive(self, replica: VmId, reply: messages.ClaimReply) -> None:
        """Count the answer of `replica`."""
        if reply.token != self._token or replica not in self._group:
            return
        self._verdicts[replica] = reply.verdict
        if reply.verdict is messages.ClaimVerdict.TAKEN:
            self._owner = reply.owner
