"""Interface of a coordinator for workers and operators."""

import abc

from galenarill.cluster import Reply
from galenarill.common import WorkerId
from galenarill.workers import WorkerReport

__all__ = ["CoordinatorService"]


class CoordinatorService(abc.ABC):
    """Serves workers and operators, on the leader or by forwarding to it."""

    @abc.abstractmethod
    async def call_leader(self, request, deadline: float) -> Reply:
        """Answer a request of `galenarill.cluster`.

        Raises:
            NoLeaderError: If the request certainly had no effect.
            NoAnswerError: If it may have had an effect.
        """

    @abc.abstractmethod
    async def note_report(self, report: WorkerReport, deadline: float) -> None:
        """Handle a worker's report and forward it to other coordinators.

        For a draining worker, returns once the drain is committed.

        Raises:
            NoLeaderError: If the drain was not committed.
            NoAnswerError: If the drain may have been committed.
        """

    @abc.abstractmethod
    def note_left(self, worker: WorkerId) -> None:
        """Handle the notice that a worker has left.

        The notice names no incarnation. It may be a late one about an earlier
        incarnation than the one that works now.
        """
