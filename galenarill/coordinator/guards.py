"""Conditions under which an order on a machine may take effect."""

import abc

from galenarill.coordinator.leader import Leader
from galenarill.pools import Machine

__all__ = ["OrderGuard", "IdleGuard", "BudgetGuard"]


class OrderGuard(abc.ABC):
    """Decides right before each attempt whether an order may be sent.

    Between its plan and an attempt lie the commit of the order's intent and
    any earlier attempts, in which other tasks may start or end.
    """

    def __init__(self, leader: Leader, machine: Machine):
        """Create a guard of an order on `machine`."""
        self._leader = leader
        self._machine = machine

    @abc.abstractmethod
    def allows(self) -> bool:
        """Return whether the order may end what runs on the machine now."""

    def worker_began_at(self) -> float:
        """Return when the machine's latest known worker began.

        Returns:
            Unix seconds, or negative infinity if no worker is known.
        """
        sessions = map(
            self._leader.sessions.get, self._leader.workers_on(self._machine)
        )
        return max(
            (session.report.born / 1000 for session in sessions if session),
            default=float("-inf"),
        )

    def describe_disrupted(self) -> list:
        """Describe the long-running tasks on the machine for a log line."""
        return self._leader.disruptions.describe(
            self._leader.runs_on(self._machine)
        )


class IdleGuard(OrderGuard):
    """Allows an order while nothing runs or starts on the machine."""

    def allows(self) -> bool:
        """Return whether all workers of the machine are idle."""
        return all(
            self._leader.is_idle(worker)
            for worker in self._leader.workers_on(self._machine)
        )


class BudgetGuard(OrderGuard):
    """Allows an order within the disruption budgets of long-running steps."""

    def allows(self) -> bool:
        """Return whether every long-running task on the machine may end."""
        if any(
            self._leader.is_starting_on(worker)
            for worker in self._leader.workers_on(self._machine)
        ):
            return False
        return self._leader.disruptions.allows_end_of(
            self._leader.runs_on(self._machine)
        )
