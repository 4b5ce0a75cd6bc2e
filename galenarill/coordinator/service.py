"""What a coordinator does for workers and operators."""

import abc

from galenarill.cluster import Reply
from galenarill.workers import WorkerReport
from galenarill.world import WorkerId

__all__ = ["CoordinatorService"]


class CoordinatorService(abc.ABC):
    """Answers workers and operators, on the leader or through it."""

    @abc.abstractmethod
    async def ask(self, request, deadline: float) -> Reply:
        """Answer a request of `galenarill.cluster`.

        Raises:
            NoLeaderError: If the request has surely had no effect.
            NoAnswerError: If it may have had one.
        """

    @abc.abstractmethod
    async def note_report(self, report: WorkerReport, deadline: float) -> None:
        """Take in a worker's report, and tell the other coordinators.

        Returns once a draining worker is surely known to the leader.

        Raises:
            NoLeaderError: If a draining worker could not be noted.
            NoAnswerError: If that is unknown.
        """

    @abc.abstractmethod
    def note_left(self, worker: WorkerId) -> None:
        """Take in that a worker has left."""
