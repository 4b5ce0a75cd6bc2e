"""Proposals of commands to the replicated log."""

import asyncio

import msgspec

from galenarill.common import monotonic_now
from galenarill.consensus import LogDriver, Replica, Role
from galenarill.errors import NotLeaderError
from galenarill.jobs import encode_commands
from galenarill.telemetry import meter

__all__ = ["Proposals"]

_COMMIT = meter().create_histogram("galenarill_commit_seconds", unit="s")


class Proposals:
    """Batches commands into log entries and reports when they are applied."""

    def __init__(self, driver: LogDriver, replica: Replica):
        """Create a batcher that proposes through `driver`."""
        self._driver = driver
        self._replica = replica
        self._loop = asyncio.get_running_loop()
        self._batch: list[msgspec.Struct] = []
        self._batch_future: asyncio.Future | None = None
        # Term and future of each pending entry, by its index.
        self._waiting: dict[int, tuple[int, asyncio.Future]] = {}

    def propose(self, *commands: msgspec.Struct) -> asyncio.Future:
        """Propose commands in one entry with others of this event loop turn.

        Returns:
            A future that completes when they are applied here, or fails with
            `NotLeaderError`. They may still be applied after that error.
        """
        if self._batch_future is None:
            self._batch_future = self._loop.create_future()
            self._loop.call_soon(self._flush)
        self._batch.extend(commands)
        # Cancelling one caller must not cancel the others in the batch.
        future = asyncio.shield(self._batch_future)
        future.add_done_callback(_mark_exception_retrieved)
        return future

    def note_applied(self, index: int, term: int) -> None:
        """Complete or fail the proposal at the index of an applied entry."""
        waiting = self._waiting.pop(index, None)
        if waiting is None:
            return
        proposed_term, future = waiting
        if proposed_term == term:
            future.set_result(None)
        else:
            future.set_exception(NotLeaderError("another leader's entry"))

    def fail_if_not_leading(self) -> None:
        """Fail all pending proposals if this replica does not lead."""
        if self._replica.role is Role.LEADER or not self._waiting:
            return
        waiting, self._waiting = self._waiting, {}
        for _, future in waiting.values():
            future.set_exception(NotLeaderError("lost the lead"))

    def _flush(self) -> None:
        batch, self._batch = self._batch, []
        future, self._batch_future = self._batch_future, None
        try:
            index = self._driver.propose(encode_commands(batch))
        except NotLeaderError as error:
            future.set_exception(error)
            return
        self._waiting[index] = (self._replica.term, future)
        begin = monotonic_now()
        future.add_done_callback(
            lambda _: _COMMIT.record(monotonic_now() - begin)
        )


def _mark_exception_retrieved(future: asyncio.Future) -> None:
    """Mark an exception as retrieved; callers may ignore the outcome."""
    if not future.cancelled():
        future.exception()
