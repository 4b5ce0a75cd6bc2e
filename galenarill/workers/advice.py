"""Advice of a policy service on which workers may run a step."""

import abc

import msgspec

from galenarill.world import WorkerId

__all__ = ["Advice", "AdviceClient"]


class Advice(msgspec.Struct, frozen=True):
    """An answer of the policy service.

    Attributes:
        tickets: Ticket for each worker that may run the step.
        valid_seconds: How long the tickets are valid.
    """

    tickets: dict[WorkerId, str]
    valid_seconds: float


class AdviceClient(abc.ABC):
    """Asks the policy service."""

    @abc.abstractmethod
    async def ask(self, step: str, workers: list[WorkerId]) -> Advice | None:
        """Ask which of some workers may run a step.

        Args:
            step: Name of the step: job, occurrence and number.
            workers: At most 100 workers.

        Returns:
            The answer, or None if there was none.
        """
