"""Check of simulated orders against the disruption budgets of steps."""

import dataclasses

from galenarill.jobs import JobStatus
from standins.workers import FakeWorker, RunRecord

__all__ = ["DisruptionAudit", "Violation"]

# Time after which a task that is away for another cause than an order counts
# as away, in seconds: the shortest one of the platform's contracts.
NOTICE_SECONDS = 4.5


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """An order that ended a task while too many of its step were away.

    Attributes:
        at: Loop time in seconds.
        task: Name of the task.
        cause: What ended it.
        away: Names of the other tasks of its step that were away.
    """

    at: float
    task: str
    cause: str
    away: tuple[str, ...]


class DisruptionAudit:
    """Records what each order ends, from the side of the workers.

    It knows nothing of the leader: a task is at work if a worker runs it.

    Attributes:
        violations: Orders that broke a budget.
    """

    def __init__(self, simulation):
        """Watch the stops of `simulation`; machine orders are passed in."""
        self.violations: list[Violation] = []
        self._simulation = simulation
        # Records that an order ended, by identity.
        self._ended_by_order: set[int] = set()
        simulation.network.on_stop = self._note_stop

    def note_machine_order(
        self, worker: FakeWorker, cause: str, is_late: bool
    ) -> None:
        """Record that an order on its machine ends the runs of a worker."""
        for record in worker.records:
            self._note_end(record, cause, is_late, worker)

    def _note_stop(self, record: RunRecord, is_late: bool) -> None:
        worker = next(
            worker
            for worker in self._simulation.network.workers.values()
            if record in worker.records
        )
        self._note_end(record, "stop", is_late, worker)

    def _note_end(
        self,
        record: RunRecord,
        cause: str,
        is_late: bool,
        worker: FakeWorker,
    ) -> None:
        now = self._simulation.loop.time()
        job_id, occurrence, number, index = record.task.split(".")
        job = self._simulation.state.jobs.get(job_id)
        if job is None or job.status is not JobStatus.ACTIVE:
            return
        step = job.spec.steps[int(number)]
        if not step.is_long_running:
            return
        is_at_work = now >= record.begun_at + worker.startup_seconds
        away = tuple(
            task
            for other in range(step.count)
            if other != int(index)
            and self._is_away(
                task := f"{job_id}.{occurrence}.{number}.{other}", now
            )
        )
        if (
            is_at_work
            and not is_late
            and not worker.report.is_draining
            and len(away) >= max(1, step.max_unavailable)
        ):
            self.violations.append(Violation(now, record.task, cause, away))
        self._ended_by_order.add(id(record))

    def _is_away(self, task: str, now: float) -> bool:
        records = [
            record
            for record in self._simulation.network.history
            if record.task == task
        ]
        serving = {
            id(record): now >= record.begun_at + worker.startup_seconds
            for worker in self._simulation.network.workers.values()
            for record in worker.records
        }
        if any(serving.get(id(record)) for record in records):
            return False
        past = [
            record
            for record in records
            if record.ended_at is not None or id(record) in self._ended_by_order
        ]
        if not past:
            return False
        last = max(past, key=lambda record: record.begun_at)
        if id(last) in self._ended_by_order:
            return True
        return now >= last.ended_at + NOTICE_SECONDS
