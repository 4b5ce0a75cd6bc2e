"""What a gateway does for callers, whatever protocol they speak."""

import abc

from galenarill.cluster import Reply

__all__ = ["GatewayService"]


class GatewayService(abc.ABC):
    """Answers callers' questions."""

    @property
    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""

    @abc.abstractmethod
    async def ask(self, request, deadline: float) -> Reply:
        """Answer a question of a caller.

        Args:
            request: A request of `galenarill.cluster`.
            deadline: When to give up, on the steady clock.

        Returns:
            The reply of the leading coordinator.

        Raises:
            NoLeaderError: If the request has surely had no effect.
            NoAnswerError: If it may have had one.
        """
