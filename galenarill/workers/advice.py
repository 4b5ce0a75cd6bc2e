"""Client of the policy service, which admits workers for a step."""

import abc

import msgspec

from galenarill.common import WorkerId

__all__ = ["Advice", "AdviceClient"]


class Advice(msgspec.Struct, frozen=True):
    """Advice of the policy service on a step.

    Attributes:
        tickets: Ticket by worker that may run the step.
        valid_seconds: Validity period of the tickets in seconds.
    """

    tickets: dict[WorkerId, str]
    valid_seconds: float


class AdviceClient(abc.ABC):
    """Interface of clients of the policy service."""

    @abc.abstractmethod
    async def ask(self, step: str, workers: list[WorkerId]) -> Advice | None:
        """Ask which of the given workers may run a step.

        Args:
            step: Name of the step, made of job, occurrence and step number.
            workers: At most 100 workers.

        Returns:
            The advice, or None if the service gave none.
        """
