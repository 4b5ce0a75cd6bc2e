"""Places ready tasks: what waits, where there is room, what is proposed."""

import asyncio
import dataclasses
import itertools
import logging
from collections.abc import Iterator

from galenarill.coordinator.advisor import Advisor
from galenarill.coordinator.orders import RunOrders
from galenarill.coordinator.preempting import Preemptor
from galenarill.coordinator.progress import ProgressWatch
from galenarill.coordinator.runs import Phase, TrackedRun, ready_tasks
from galenarill.coordinator.term import Term
from galenarill.jobs import (
    Job,
    JobStatus,
    StartRun,
    Step,
    TaskKey,
    task_name,
)
from galenarill.placement import (
    Budget,
    Candidate,
    Placement,
    Room,
    plan,
    rank,
    take_turns,
)
from galenarill.routing import Queue, Resources
from galenarill.telemetry import meter
from galenarill.workers import Contact
from galenarill.world import (
    JobId,
    PoolId,
    TeamId,
    WorkerId,
    steady_now,
    wall_now,
)

__all__ = ["Placer"]

logger = logging.getLogger(__name__)

_FIRST_START = meter().create_histogram(
    "galenarill_first_start_seconds", unit="s"
)

# Pause between two rounds of placement, in seconds: starts of one burst share
# a sync of the log.
PLACE_SECONDS = 0.01
# Silence of a worker after which tasks that may have copies get one, in
# seconds: longer than a renewal that is held open.
DOUBT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Start:
    """A member's start that is proposed; `run` is its name and number."""

    worker: WorkerId
    step: Step
    tenant: TeamId
    run: tuple[str, int]


class Placer:
    """Fits ready tasks onto workers, and proposes their starts."""

    def __init__(
        self,
        term: Term,
        orders: RunOrders,
        progress: ProgressWatch,
        advisor: Advisor,
    ):
        """Place tasks in `term`."""
        self._term = term
        self._advisor = advisor
        self._orders = orders
        self._progress = progress
        self._preemptor = Preemptor(term, orders)
        self._ready: dict[JobId, list[TaskKey]] = {}
        # Starts that are proposed, by task, until their commit is known.
        self._proposed: dict[tuple[JobId, TaskKey], list[_Start]] = {}
        self._cordoned: set[WorkerId] = set()
        self.unplaced: dict[PoolId, list[Step]] = {}

    async def run(self) -> None:
        """Place tasks whenever something has changed, until cancelled."""
        while True:
            await self._term.wake.wait()
            self._term.wake.clear()
            if self._term.is_confirmed():
                self._place()
            await asyncio.sleep(PLACE_SECONDS)

    def cordon(self, worker: WorkerId) -> None:
        """Start nothing more on a worker."""
        self._cordoned.add(worker)

    def uncordon(self, worker: WorkerId) -> None:
        """Let a worker take starts again."""
        self._cordoned.discard(worker)
        self._term.wake.set()

    def is_proposed_on(self, worker: WorkerId) -> bool:
        """Tell whether a start on a worker is proposed."""
        return any(start.worker == worker for _, start in self._open_starts())

    def refresh(self, job_id: JobId) -> None:
        """Find anew which tasks of a job are ready."""
        job = self._term.state.jobs.get(job_id)
        ready = ready_tasks(job, wall_now()) if job is not None else []
        if job is not None and job.status is JobStatus.ACTIVE:
            ready += self._doubtful_tasks(job)
        if ready:
            self._ready[job_id] = ready
        else:
            self._ready.pop(job_id, None)

    def _doubtful_tasks(self, job: Job) -> list[TaskKey]:
        """Return tasks that may have a second copy, and should."""
        return [
            run.key
            for run in self._term.runs.runs_of(job.id)
            if run.step.is_speculative
            and not run.step.is_gang
            and not job.tasks[run.key].is_done
            and len(job.tasks[run.key].runs) == 1
            and self._is_doubtful(run)
        ]

    def _is_doubtful(self, run: TrackedRun) -> bool:
        contact = self._term.contact_of(run)
        limit = steady_now() - DOUBT_SECONDS
        if contact is None or contact.answered_at < limit:
            return True
        return run.is_slow and run.phase is Phase.RUNNING

    def _place(self) -> None:
        candidates = self._candidates()
        rooms, budgets = self._rooms(), self._budgets()
        placements = plan(candidates, rooms, budgets)
        placed = {(p.candidate.job, p.candidate.key) for p in placements}
        unplaced = [c for c in candidates if (c.job, c.key) not in placed]
        self.unplaced = {}
        for candidate in unplaced:
            steps = self.unplaced.setdefault(candidate.pool, [])
            steps.append(candidate.step)
        self._preemptor.step(unplaced, rooms, budgets)
        if placements:
            commands = [
                self._propose(placement, len(candidates))
                for placement in placements
            ]
            future = self._term.propose(*commands)
            future.add_done_callback(lambda _: self._settle(placed))

    def _propose(self, placement: Placement, waiting: int) -> StartRun:
        candidate = placement.candidate
        job = self._term.state.jobs[candidate.job]
        task = job.tasks.get(candidate.key)
        number = (task.last_run if task else 0) + 1
        if not job.has_started:
            _FIRST_START.record(max(0.0, wall_now() - job.accepted_at))
        self._proposed[candidate.job, candidate.key] = [
            _Start(
                life.worker,
                candidate.step,
                candidate.tenant,
                (task_name(candidate.job, candidate.key, member), number),
            )
            for member, life in placement.members
        ]
        logger.info(
            "task placed",
            extra={
                "job": candidate.job,
                "task": list(candidate.key),
                "run": number,
                "workers": [life.worker for _, life in placement.members],
                "waiting": waiting,
            },
        )
        members = tuple(
            (member, life.worker, life.born)
            for member, life in placement.members
        )
        return StartRun(candidate.job, *candidate.key, number, members)

    def _settle(self, places: set) -> None:
        for place in places:
            self._proposed.pop(place, None)
        self._term.wake.set()

    def _open_starts(self) -> Iterator[tuple[tuple[JobId, TaskKey], _Start]]:
        """Yield the proposed starts that the state does not hold yet."""
        for place, starts in self._proposed.items():
            for start in starts:
                if start.run not in self._term.runs.by_name:
                    yield place, start

    def _candidates(self) -> list[Candidate]:
        """Return ready tasks, the most urgent first."""
        wall = wall_now()
        ranked = []
        for job_id, keys in self._ready.items():
            job = self._term.state.jobs[job_id]
            queue = self._term.state.routing.queue(job.queue)
            if queue is None:
                continue
            for key in keys:
                if (job_id, key) not in self._proposed:
                    order = rank(job, key, queue, wall)
                    ranked.append((order, job_id, key, queue))
        ranked.sort(key=lambda entry: entry[:3])
        # Tasks of one step and occurrence count together.
        beside: dict[tuple, dict[WorkerId, int]] = {}
        candidates: list[Candidate] = []
        used, weights, total = self._shares()
        for _, group in itertools.groupby(ranked, lambda entry: entry[0][:2]):
            entries = []
            for _, job_id, key, queue in group:
                candidate = self._candidate(job_id, key, queue, beside)
                entries.append(
                    (candidate.tenant, candidate.step.need, candidate)
                )
            for candidate in take_turns(entries, used, weights, total):
                candidates.append(candidate)
                _add(used, candidate.tenant, candidate.step.need)
        return candidates

    def _shares(self) -> tuple[dict, dict, Resources]:
        """Return what tenants use, their weights, and all capacity."""
        total = Resources()
        for contact in self._term.contacts.values():
            total = total.plus(contact.report.capacity)
        weights = {
            tenant.name: tenant.weight
            for tenant in self._term.state.routing.configuration.tenants
        }
        return dict(self._term.runs.used), weights, total

    def _candidate(
        self, job_id: JobId, key: TaskKey, queue: Queue, beside: dict
    ) -> Candidate:
        job = self._term.state.jobs[job_id]
        step = job.spec.steps[key.step]
        place = (job_id, *key[:2])
        if step.max_per_worker and place not in beside:
            beside[place] = self._beside(job_id, key)
        return Candidate(
            job_id,
            key,
            step,
            queue.pool,
            job.tenant,
            self._workers_to_avoid(job, key),
            beside.get(place, {}),
            self._advisor.tickets(job_id, key, queue.pool)
            if queue.advice is not None
            else None,
        )

    def _workers_to_avoid(self, job: Job, key: TaskKey) -> frozenset[WorkerId]:
        """Return where a task has failed, or has a copy already."""
        avoid = self._progress.failed_on(job.id, key)
        task = job.tasks.get(key)
        for run in task.runs if task is not None else ():
            avoid.update(life.worker for life in run.members.values())
        return frozenset(avoid)

    def _beside(self, job: JobId, key: TaskKey) -> dict[WorkerId, int]:
        """Return how many tasks of a step each worker has."""
        counts: dict[WorkerId, int] = {}
        for run in self._term.runs.runs_of(job):
            if run.key[:2] == key[:2]:
                worker = run.incarnation.worker
                counts[worker] = counts.get(worker, 0) + 1
        for (other, place), start in self._open_starts():
            if other == job and place[:2] == key[:2]:
                counts[start.worker] = counts.get(start.worker, 0) + 1
        return counts

    def _rooms(self) -> dict[PoolId, list[Room]]:
        now = steady_now()
        proposed: dict[WorkerId, Resources] = {}
        for _, start in self._open_starts():
            _add(proposed, start.worker, start.step.reserved)
        rooms: dict[PoolId, list[Room]] = {}
        for worker, contact in self._term.contacts.items():
            if not self._takes_starts(contact, now):
                continue
            report = contact.report
            free = report.capacity.minus(
                self._term.runs.reserved.get(worker, Resources())
            ).minus(proposed.get(worker, Resources()))
            is_suspect = self._progress.health.is_quarantined(worker, now)
            rooms.setdefault(report.pool, []).append(
                Room(report, free, is_suspect)
            )
        return rooms

    def _takes_starts(self, contact: Contact, now: float) -> bool:
        report = contact.report
        return (
            contact.is_read
            and self._term.is_answering(contact)
            and not self._term.is_draining(contact)
            and report.worker not in self._cordoned
            and not self._orders.has_refused(report.worker, now)
        )

    def _budgets(self) -> dict[TeamId, Budget]:
        used = dict(self._term.runs.used)
        for _, start in self._open_starts():
            _add(used, start.tenant, start.step.need)
        return {
            tenant.name: Budget(
                tenant.upper_limit, used.get(tenant.name, Resources())
            )
            for tenant in self._term.state.routing.configuration.tenants
        }


def _add(amounts: dict, key, amount: Resources) -> None:
    amounts[key] = amounts.get(key, Resources()).plus(amount)
