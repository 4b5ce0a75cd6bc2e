"""Service of a gateway to callers, independent of their protocol."""

import abc

from galenarill.cluster import Reply

__all__ = ["GatewayService"]


class GatewayService(abc.ABC):
    """Forwards callers' requests to the leading coordinator."""

    @property
    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this gateway."""

    @abc.abstractmethod
    async def call_leader(self, request, deadline: float) -> Reply:
        """Return the leader's reply to a request.

        Args:
            request: A request of `galenarill.cluster`.
            deadline: Time at which to give up, on the clock of `monotonic_now`.

        Returns:
            The reply of the leading coordinator.

        Raises:
            NoLeaderError: If the request certainly had no effect.
            NoAnswerError: If the request may have had an effect.
        """
