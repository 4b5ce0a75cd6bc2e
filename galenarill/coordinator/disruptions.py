"""Disruption budgets of long-running steps."""

import abc
from collections.abc import Callable, Collection, Iterable

from galenarill.common import JobId, MachineId, WorkerId, monotonic_now
from galenarill.coordinator.runs import Phase, TrackedRun
from galenarill.coordinator.term import ANSWER_SECONDS, TermContext
from galenarill.jobs import JobStatus
from galenarill.maintenance_waves import DisruptionBudget, StepKey
from galenarill.workers import WorkerSession

__all__ = ["DisruptionMonitor", "MachineOrders"]

# Time that a worker takes to stop a run, in seconds. An earlier leader may have
# ordered a stop just before this one first heard of the worker.
STOP_SECONDS = 1.0


class MachineOrders(abc.ABC):
    """What is known of the outcome of orders on machines."""

    @abc.abstractmethod
    def unsettled_until(self, machine: MachineId, began_at: float) -> float:
        """Return until when an order on a machine may still be carried out.

        Args:
            machine: Machine.
            began_at: Start of its current worker, Unix seconds.

        Returns:
            Time on the monotonic clock: infinity while an order is in flight,
            negative infinity if no order is known.
        """

    @abc.abstractmethod
    def has_unsettled(self) -> bool:
        """Return whether any order that isn't in flight may be unsettled."""


class DisruptionMonitor:
    """Counts the tasks of long-running steps that serve."""

    def __init__(
        self, context: TermContext, is_ending: Callable[[TrackedRun], bool]
    ):
        """Create a monitor for the runs of `context`.

        Args:
            context: Term whose runs are counted.
            is_ending: Returns whether the end of a run is being committed.
        """
        self._context = context
        self._is_ending = is_ending
        self._machine_orders: MachineOrders | None = None

    def watch(self, machine_orders: MachineOrders) -> None:
        """Count tasks on machines with an unsettled order as unavailable."""
        self._machine_orders = machine_orders

    def budgets(
        self, leaving: frozenset[WorkerId] = frozenset()
    ) -> dict[StepKey, DisruptionBudget]:
        """Return the disruption budget of each long-running step.

        Args:
            leaving: Workers whose tasks already count as unavailable.
        """
        return {
            step_key: budget
            for job_id in self._context.runs.jobs
            for step_key, budget in self._budgets_of(
                job_id, lambda run: run.incarnation.worker in leaving
            ).items()
        }

    def unsettled_workers(self) -> frozenset[WorkerId]:
        """Return the workers that an order on their machine may still end.

        Machines with an order in flight are cordoned already.
        """
        if (
            self._machine_orders is None
            or not self._machine_orders.has_unsettled()
        ):
            return frozenset()
        now = monotonic_now()
        return frozenset(
            worker
            for worker, session in self._context.sessions.items()
            if self._unsettled_until(session) > now
        )

    def describe(self, runs: Iterable[TrackedRun]) -> list:
        """Return the long-running tasks among `runs` for a log line.

        Each entry has a task's name, the number of its run, how many tasks of
        its step don't serve, and how many may not.
        """
        budgets: dict[StepKey, DisruptionBudget] = {}
        described = []
        for run in runs:
            if not run.step.is_long_running:
                continue
            if run.step_key not in budgets:
                budgets |= self._budgets_of(run.job, lambda _: False)
            budget = budgets.get(run.step_key)
            if budget is not None:
                described.append(
                    [
                        run.name,
                        run.number,
                        budget.unavailable,
                        budget.max_unavailable,
                    ]
                )
        return described

    def allows_end_of(self, runs: Collection[TrackedRun]) -> bool:
        """Return whether an order may end some runs now.

        They count as unavailable already: the other tasks of their steps that
        serve have to be enough.
        """
        leaving = {id(run) for run in runs}
        lasting = [run for run in runs if run.step.is_long_running]
        budgets: dict[StepKey, DisruptionBudget] = {}
        for job_id in {run.job for run in lasting}:
            budgets |= self._budgets_of(job_id, lambda run: id(run) in leaving)
        return all(
            budgets[run.step_key].allows(0)
            for run in lasting
            # The runs of a job that has ended may end at any time.
            if run.step_key in budgets
        )

    def _budgets_of(
        self, job_id: JobId, is_leaving: Callable[[TrackedRun], bool]
    ) -> dict[StepKey, DisruptionBudget]:
        job = self._context.state.jobs.get(job_id)
        if (
            job is None
            or job.status is not JobStatus.ACTIVE
            or not any(step.is_long_running for step in job.spec.steps)
        ):
            return {}
        serving: dict[tuple[int, int], set] = {}
        for run in self._context.runs.runs_of(job_id):
            if (
                run.step.is_long_running
                and not is_leaving(run)
                and self.is_serving(run)
            ):
                members = serving.setdefault(run.key[:2], set())
                members.add((run.key.index, run.member))
        return {
            (job_id, occurrence, number): DisruptionBudget(
                step.max_unavailable,
                step.count - len(serving.get((occurrence, number), ())),
            )
            for number, step in enumerate(job.spec.steps)
            if step.is_long_running
            for occurrence in range(job.spec.occurrences)
        }

    def is_serving(self, run: TrackedRun) -> bool:
        """Return whether a long-running task is confirmed to serve now.

        What shows it has to be recent, and to be requested after the last
        moment at which an order on its machine, or a stop of an earlier leader,
        may have ended it.
        """
        session = self._context.session_of(run)
        if (
            session is None
            or not self._context.is_answering(session)
            or run.phase is not Phase.RUNNING
            or run.row is None
            or run.row.percent < 100
            or self._is_ending(run)
        ):
            return False
        return run.row_requested_at > max(
            session.first_listed_at + STOP_SECONDS,
            self._unsettled_until(session),
            monotonic_now() - ANSWER_SECONDS,
        )

    def _unsettled_until(self, session: WorkerSession) -> float:
        if self._machine_orders is None:
            return float("-inf")
        report = session.report
        return self._machine_orders.unsettled_until(
            report.machine, report.born / 1000
        )
