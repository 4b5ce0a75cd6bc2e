"""Places ready tasks on workers and proposes their starts."""

import asyncio
import dataclasses
import itertools
import logging
from collections.abc import Iterator

from galenarill.common import (
    JobId,
    PoolId,
    TeamId,
    WorkerId,
    monotonic_now,
    wall_now,
)
from galenarill.coordinator.advisor import Advisor
from galenarill.coordinator.orders import RunOrders
from galenarill.coordinator.preempting import Preemptor
from galenarill.coordinator.progress import ProgressMonitor
from galenarill.coordinator.runs import Phase, TrackedRun, ready_tasks
from galenarill.coordinator.term import TermContext
from galenarill.jobs import (
    Job,
    JobStatus,
    StartRun,
    Step,
    TaskKey,
    task_name,
)
from galenarill.placement import (
    AvailableWorker,
    Candidate,
    Placement,
    Quota,
    order_by_fair_share,
    place_tasks,
    task_sort_key,
)
from galenarill.routing import Queue, Resources
from galenarill.telemetry import meter
from galenarill.workers import WorkerSession

__all__ = ["Placer"]

logger = logging.getLogger(__name__)

_FIRST_START_SECONDS = meter().create_histogram(
    "galenarill_first_start_seconds", unit="s"
)

# Pause between two placement rounds, in seconds. Starts of one burst then share
# one sync of the log.
PLACEMENT_PAUSE_SECONDS = 0.01
# Time without an answer from a worker after which its speculative tasks get a
# copy, in seconds. Longer than a worker holds a renewal open.
SPECULATION_SILENCE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _ProposedStart:
    """The proposed start of one member; `run` is its name and number."""

    worker: WorkerId
    step: Step
    tenant: TeamId
    run: tuple[str, int]


class Placer:
    """Assigns ready tasks to workers and proposes their starts."""

    def __init__(
        self,
        context: TermContext,
        run_orders: RunOrders,
        progress_monitor: ProgressMonitor,
        advisor: Advisor,
    ):
        """Create a placer for the term of `context`."""
        self._context = context
        self._advisor = advisor
        self._run_orders = run_orders
        self._progress_monitor = progress_monitor
        self._preemptor = Preemptor(context, run_orders)
        self._ready: dict[JobId, list[TaskKey]] = {}
        # Proposed starts by task, until their proposal succeeds or fails.
        self._proposed: dict[tuple[JobId, TaskKey], list[_ProposedStart]] = {}
        self._cordoned: set[WorkerId] = set()
        self.unplaced: dict[PoolId, list[Step]] = {}

    async def run(self) -> None:
        """Run a placement round after each change, until cancelled."""
        while True:
            await self._context.wake.wait()
            self._context.wake.clear()
            if self._context.has_leader_lease():
                self._place()
            await asyncio.sleep(PLACEMENT_PAUSE_SECONDS)

    def cordon(self, worker: WorkerId) -> None:
        """Exclude a worker from new starts."""
        self._cordoned.add(worker)

    def uncordon(self, worker: WorkerId) -> None:
        """Allow new starts on a worker again."""
        self._cordoned.discard(worker)
        self._context.wake.set()

    def is_proposed_on(self, worker: WorkerId) -> bool:
        """Return whether an uncommitted start is proposed for a worker."""
        return any(
            start.worker == worker for _, start in self._uncommitted_starts()
        )

    def refresh_ready_tasks(self, job_id: JobId) -> None:
        """Recompute which tasks of a job are ready to start."""
        job = self._context.state.jobs.get(job_id)
        ready = ready_tasks(job, wall_now()) if job is not None else []
        if job is not None and job.status is JobStatus.ACTIVE:
            ready += self._tasks_to_copy(job)
        if ready:
            self._ready[job_id] = ready
        else:
            self._ready.pop(job_id, None)

    def _tasks_to_copy(self, job: Job) -> list[TaskKey]:
        """Return tasks that need a speculative copy."""
        return [
            run.key
            for run in self._context.runs.runs_of(job.id)
            if run.step.is_speculative
            and not run.step.is_gang
            and not job.tasks[run.key].is_done
            and len(job.tasks[run.key].runs) == 1
            and self._needs_copy(run)
        ]

    def _needs_copy(self, run: TrackedRun) -> bool:
        session = self._context.session_of(run)
        limit = monotonic_now() - SPECULATION_SILENCE_SECONDS
        if session is None or session.answered_at < limit:
            return True
        return run.is_slow and run.phase is Phase.RUNNING

    def _place(self) -> None:
        candidates = self._candidates()
        available, quotas = self._available_workers(), self._quotas()
        placements = place_tasks(candidates, available, quotas)
        placed = {(p.candidate.job, p.candidate.key) for p in placements}
        unplaced = [c for c in candidates if (c.job, c.key) not in placed]
        self.unplaced = {}
        for candidate in unplaced:
            steps = self.unplaced.setdefault(candidate.pool, [])
            steps.append(candidate.step)
        self._preemptor.preempt(unplaced, available, quotas)
        if placements:
            commands = [
                self._propose(placement, len(candidates))
                for placement in placements
            ]
            future = self._context.propose(*commands)
            future.add_done_callback(lambda _: self._clear_proposed(placed))

    def _propose(self, placement: Placement, waiting: int) -> StartRun:
        candidate = placement.candidate
        job = self._context.state.jobs[candidate.job]
        task = job.tasks.get(candidate.key)
        number = (task.last_run if task else 0) + 1
        if not job.has_started:
            _FIRST_START_SECONDS.record(max(0.0, wall_now() - job.accepted_at))
        self._proposed[candidate.job, candidate.key] = [
            _ProposedStart(
                incarnation.worker,
                candidate.step,
                candidate.tenant,
                (task_name(candidate.job, candidate.key, member), number),
            )
            for member, incarnation in placement.members
        ]
        logger.info(
            "task placed",
            extra={
                "job": candidate.job,
                "task": list(candidate.key),
                "run": number,
                "workers": [
                    incarnation.worker for _, incarnation in placement.members
                ],
                "waiting": waiting,
            },
        )
        members = tuple(
            (member, incarnation.worker, incarnation.born)
            for member, incarnation in placement.members
        )
        return StartRun(candidate.job, *candidate.key, number, members)

    def _clear_proposed(self, task_ids: set) -> None:
        for task_id in task_ids:
            self._proposed.pop(task_id, None)
        self._context.wake.set()

    def _uncommitted_starts(
        self,
    ) -> Iterator[tuple[tuple[JobId, TaskKey], _ProposedStart]]:
        """Yield the proposed starts that are not in the state yet."""
        for task_id, starts in self._proposed.items():
            for start in starts:
                if start.run not in self._context.runs.by_name:
                    yield task_id, start

    def _candidates(self) -> list[Candidate]:
        """Return ready tasks, most urgent first."""
        wall_time = wall_now()
        ranked = []
        for job_id, keys in self._ready.items():
            job = self._context.state.jobs[job_id]
            queue = self._context.state.routing.queue(job.queue)
            if queue is None:
                continue
            for key in keys:
                if (job_id, key) not in self._proposed:
                    order = task_sort_key(job, key, queue, wall_time)
                    ranked.append((order, job_id, key, queue))
        ranked.sort(key=lambda entry: entry[:3])
        # Number of tasks on each worker, by job, occurrence and step.
        step_tasks_by_worker: dict[tuple, dict[WorkerId, int]] = {}
        candidates: list[Candidate] = []
        used, weights, total = self._tenant_usage()
        for _, group in itertools.groupby(ranked, lambda entry: entry[0][:2]):
            entries = []
            for _, job_id, key, queue in group:
                candidate = self._candidate(
                    job_id, key, queue, step_tasks_by_worker
                )
                entries.append(
                    (candidate.tenant, candidate.step.need, candidate)
                )
            for candidate in order_by_fair_share(entries, used, weights, total):
                candidates.append(candidate)
                _add(used, candidate.tenant, candidate.step.need)
        return candidates

    def _tenant_usage(self) -> tuple[dict, dict, Resources]:
        """Return resources used and weight by tenant, and total capacity."""
        total = Resources()
        for session in self._context.sessions.values():
            total = total.plus(session.report.capacity)
        weights = {
            tenant.name: tenant.weight
            for tenant in self._context.state.routing.configuration.tenants
        }
        return dict(self._context.runs.used_by_tenant), weights, total

    def _candidate(
        self,
        job_id: JobId,
        key: TaskKey,
        queue: Queue,
        step_tasks_by_worker: dict,
    ) -> Candidate:
        job = self._context.state.jobs[job_id]
        step = job.spec.steps[key.step]
        step_key = (job_id, *key[:2])
        if step.max_per_worker and step_key not in step_tasks_by_worker:
            step_tasks_by_worker[step_key] = self._count_step_tasks_by_worker(
                job_id, key
            )
        return Candidate(
            job_id,
            key,
            step,
            queue.pool,
            job.tenant,
            self._workers_to_avoid(job, key),
            step_tasks_by_worker.get(step_key, {}),
            self._advisor.tickets_for(job_id, key, queue.pool)
            if queue.advice is not None
            else None,
        )

    def _workers_to_avoid(self, job: Job, key: TaskKey) -> frozenset[WorkerId]:
        """Return the workers where a task failed or already has a run."""
        avoid = self._progress_monitor.workers_failed_on(job.id, key)
        task = job.tasks.get(key)
        for run in task.runs if task is not None else ():
            avoid.update(
                incarnation.worker for incarnation in run.members.values()
            )
        return frozenset(avoid)

    def _count_step_tasks_by_worker(
        self, job: JobId, key: TaskKey
    ) -> dict[WorkerId, int]:
        """Return the number of tasks of a step on each worker."""
        counts: dict[WorkerId, int] = {}
        for run in self._context.runs.runs_of(job):
            if run.key[:2] == key[:2]:
                worker = run.incarnation.worker
                counts[worker] = counts.get(worker, 0) + 1
        for (other_job, other_key), start in self._uncommitted_starts():
            if other_job == job and other_key[:2] == key[:2]:
                counts[start.worker] = counts.get(start.worker, 0) + 1
        return counts

    def _available_workers(self) -> dict[PoolId, list[AvailableWorker]]:
        now = monotonic_now()
        proposed: dict[WorkerId, Resources] = {}
        for _, start in self._uncommitted_starts():
            _add(proposed, start.worker, start.step.reserved)
        available: dict[PoolId, list[AvailableWorker]] = {}
        for worker, session in self._context.sessions.items():
            if not self._accepts_starts(session, now):
                continue
            report = session.report
            free = report.capacity.minus(
                self._context.runs.reserved_by_worker.get(worker, Resources())
            ).minus(proposed.get(worker, Resources()))
            is_suspect = self._progress_monitor.health.is_quarantined(
                worker, now
            )
            available.setdefault(report.pool, []).append(
                AvailableWorker(report, free, is_suspect)
            )
        return available

    def _accepts_starts(self, session: WorkerSession, now: float) -> bool:
        report = session.report
        return (
            session.is_synced
            and not session.is_provisional
            and self._context.is_answering(session)
            and not self._context.is_draining(session)
            and report.worker not in self._cordoned
            and not self._run_orders.has_recently_refused(report.worker, now)
        )

    def _quotas(self) -> dict[TeamId, Quota]:
        used = dict(self._context.runs.used_by_tenant)
        for _, start in self._uncommitted_starts():
            _add(used, start.tenant, start.step.need)
        return {
            tenant.name: Quota(
                tenant.upper_limit, used.get(tenant.name, Resources())
            )
            for tenant in self._context.state.routing.configuration.tenants
        }


def _add(amounts: dict, key, amount: Resources) -> None:
    amounts[key] = amounts.get(key, Resources()).plus(amount)
