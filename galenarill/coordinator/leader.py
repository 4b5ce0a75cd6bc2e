"""The scheduler of one term."""

import asyncio
import logging
from collections.abc import Callable

from galenarill.coordinator.advisor import Advisor
from galenarill.coordinator.endings import Endings
from galenarill.coordinator.orders import RunOrders
from galenarill.coordinator.placing import Placer
from galenarill.coordinator.progress import ProgressWatch
from galenarill.coordinator.renewals import Renewals
from galenarill.coordinator.runs import Phase, RunIndex, TrackedRun
from galenarill.coordinator.sharing import Sharing
from galenarill.coordinator.term import Term
from galenarill.jobs import (
    ClusterState,
    ForgetJobs,
    Incarnation,
    Job,
    JobStatus,
    Step,
)
from galenarill.placement import estimated_seconds
from galenarill.pools import PoolLoad
from galenarill.routing import Resources
from galenarill.telemetry import meter
from galenarill.upkeep import StepPresence
from galenarill.workers import (
    AdviceClient,
    Contact,
    WorkerClient,
    WorkerRegistry,
    WorkerReport,
)
from galenarill.world import JobId, PoolId, WorkerId, steady_now, wall_now

__all__ = ["Leader"]

logger = logging.getLogger(__name__)

_TERMS = meter().create_counter("galenarill_terms_led")
# Whether this coordinator leads: only then are its other gauges up to date.
_LEADS = meter().create_gauge("galenarill_leads")
_VERSION = meter().create_gauge("galenarill_configuration_version")
_TENANT_CPU = meter().create_gauge("galenarill_tenant_running_cpu")

TICK_SECONDS = 0.1
GAUGE_SECONDS = 1.0
# How long an ended job is kept, in seconds, beyond the platform's bound.
KEEP_MARGIN_SECONDS = 30.0
# From the decision to move a machine until its worker takes starts, in
# seconds; the platform's move takes most of it.
ARRIVAL_SECONDS = 2.0


class Leader:
    """Schedules while this coordinator leads the log.

    Every order goes out only while leadership is confirmed, and carries the
    term as its fencing token. Intents to start and ends of runs are committed
    before they have an effect outside.
    """

    def __init__(
        self,
        term: int,
        state: ClusterState,
        registry: WorkerRegistry,
        client: WorkerClient,
        propose: Callable[..., asyncio.Future],
        is_confirmed: Callable[[], bool],
        keep_seconds: float,
        advice_client: AdviceClient | None = None,
    ):
        """Make the scheduler of a term; see `start`.

        Args:
            term: Term, which is also the fencing token.
            state: Replicated state, with everything of earlier terms applied.
            registry: Workers.
            client: Sends orders to workers.
            propose: Proposes commands, and returns a future of their commit.
            is_confirmed: Tells whether this coordinator surely leads.
            keep_seconds: How long the status of ended jobs is kept.
            advice_client: Asks the policy service, or None without one.
        """
        self._state = state
        self._registry = registry
        self._keep_seconds = keep_seconds + KEEP_MARGIN_SECONDS
        self._term = Term(term, state, client, propose, is_confirmed)
        self._progress = ProgressWatch(self._term)
        self._endings = Endings(self._term, self._progress)
        self._advisor = Advisor(self._term, advice_client)
        self._orders = RunOrders(self._term, self._endings, self._advisor)
        self._renewals = Renewals(
            self._term,
            self._orders,
            self._endings,
            self._progress,
            Sharing(self._term),
        )
        self._placer = Placer(
            self._term, self._orders, self._progress, self._advisor
        )

    def start(self) -> None:
        """Take over what the state holds, and begin to schedule."""
        _TERMS.add(1)
        _LEADS.set(1)
        logger.info("leading", extra={"term": self.term})
        now = steady_now()
        for job in self._state.jobs:
            self.runs.update(self._state, job, Phase.INHERITED, now)
            self._placer.refresh(job)
        for known in self._registry.workers.values():
            self.note_report(known.report)
        self._term.spawn(self._placer.run())
        self._term.spawn(self._tick_forever())
        self._term.spawn(self._set_gauges_forever())

    def stop(self) -> None:
        """Stop scheduling, since another coordinator may lead."""
        _LEADS.set(0)
        logger.info("no longer leading", extra={"term": self.term})
        self._term.stop()

    @property
    def term(self) -> int:
        """Term that it schedules in."""
        return self._term.number

    @property
    def runs(self) -> RunIndex:
        """The runs that may be in progress."""
        return self._term.runs

    @property
    def contacts(self) -> dict[WorkerId, Contact]:
        """What is known of each worker."""
        return self._term.contacts

    def note_report(self, report: WorkerReport) -> None:
        """Take in the latest report of a worker."""
        self._renewals.note_report(report)

    def note_left(self, report: WorkerReport) -> None:
        """Take in that a worker has left."""
        contact = self.contacts.get(report.worker)
        if contact is None or contact.report.born != report.born:
            return
        self._renewals.end_life(contact, "it has left")
        self._term.spawn(self._endings.lose_later(report))

    def note_applied(self, touched: set[JobId]) -> None:
        """Take in that the state of jobs has changed."""
        now = steady_now()
        for job_id in touched:
            added = self.runs.update(self._state, job_id, Phase.STARTING, now)
            for run in added:
                self._term.spawn(self._orders.start(run))
            job = self._state.jobs.get(job_id)
            for run in self.runs.runs_of(job_id) if job else ():
                # Cancelled and failed jobs, and copies that lost the race.
                if job.status is not JobStatus.ACTIVE or (
                    run.step.is_speculative and job.tasks[run.key].is_done
                ):
                    self._orders.stop_soon(run)
            if job is None or job.status is not JobStatus.ACTIVE:
                self._progress.forget_job(job_id)
                self._advisor.forget_job(job_id)
            self._placer.refresh(job_id)
        if touched:
            self._term.wake.set()

    def is_idle(self, worker: WorkerId) -> bool:
        """Tell whether nothing runs or is about to run on a worker."""
        return not (
            self.runs.by_worker.get(worker)
            or self._placer.is_proposed_on(worker)
        )

    def cordon(self, worker: WorkerId) -> None:
        """Start nothing more on a worker."""
        self._placer.cordon(worker)

    def uncordon(self, worker: WorkerId) -> None:
        """Let a worker take starts again."""
        self._placer.uncordon(worker)

    def life_of(self, worker: WorkerId) -> Incarnation | None:
        """Return the present life of a worker, or None if none is known."""
        contact = self.contacts.get(worker)
        return contact and Incarnation(worker, contact.report.born)

    def end_worker(self, life: Incarnation | None, why: str) -> None:
        """Take in that a worker's life was ended by an order of ours."""
        if life is None or self.life_of(life.worker) != life:
            return
        contact = self.contacts[life.worker]
        self._registry.note_left(life.worker)
        self._renewals.end_life(contact, why)
        self._term.spawn(self._endings.lose_later(contact.report))

    def evacuate(self, worker: WorkerId, place: tuple) -> None:
        """Stop one task of a step on a worker, so that it starts elsewhere."""
        for run in self.runs.on_worker(worker):
            if (run.job, run.key.occurrence, run.key.step) == place:
                self._orders.stop_soon(run)
                return

    def waiting_in(self, pool: PoolId) -> int:
        """Return how many ready tasks of a pool found no worker."""
        return len(self._placer.unplaced.get(pool, ()))

    def add_load(self, loads: dict[PoolId, PoolLoad]) -> None:
        """Add what runs and waits to the load of each pool."""
        routing = self._state.routing
        for job_id, job in self._state.jobs.items():
            queue = routing.queue(job.queue)
            load = loads.get(queue.pool) if queue is not None else None
            if load is None:
                continue
            for run in self.runs.runs_of(job_id):
                load.running = load.running.plus(run.step.reserved)
            if job.status is JobStatus.ACTIVE:
                load.least = max(load.least, _least_workers(job))
                load.floor = max(load.floor, load.least)
        for pool, steps in self._placer.unplaced.items():
            if pool in loads:
                load = loads[pool]
                load.unplaced = len(steps)
                for step in steps:
                    load.waiting = load.waiting.plus(_by_arrival(step))

    def lasting_steps(
        self, leaving: frozenset[WorkerId] = frozenset()
    ) -> dict[tuple, StepPresence]:
        """Return how many tasks of each step that lasts are not at work.

        Args:
            leaving: Workers whose tasks count as away already.
        """
        steps: dict[tuple, StepPresence] = {}
        for job_id, job in self._state.jobs.items():
            if job.status is not JobStatus.ACTIVE:
                continue
            present: dict[tuple[int, int], set] = {}
            for run in self.runs.runs_of(job_id):
                if run.incarnation.worker in leaving:
                    continue
                if run.step.lasts and self._is_at_work(run):
                    members = present.setdefault(run.key[:2], set())
                    members.add((run.key.index, run.member))
            for number, step in enumerate(job.spec.steps):
                for occurrence in range(job.spec.occurrences):
                    if step.lasts:
                        at_work = len(present.get((occurrence, number), ()))
                        steps[job_id, occurrence, number] = StepPresence(
                            step.may_miss, step.count - at_work
                        )
        return steps

    def _is_at_work(self, run: TrackedRun) -> bool:
        """Tell whether a task that lasts is surely at work now."""
        contact = self._term.contact_of(run)
        return (
            contact is not None
            and self._term.is_answering(contact)
            and run.phase is Phase.RUNNING
            and run.row is not None
            and run.row.percent >= 100
        )

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if not self._term.is_confirmed():
                continue
            self._endings.lose_lapsed(steady_now())
            for job_id, job in self._state.jobs.items():
                if job.status is JobStatus.ACTIVE and (
                    job.spec.repeat_count
                    or any(step.is_speculative for step in job.spec.steps)
                ):
                    self._placer.refresh(job_id)
            self._forget_old_jobs()
            self._term.wake.set()

    async def _set_gauges_forever(self) -> None:
        while True:
            _VERSION.set(self._state.routing.configuration.version)
            for tenant, used in self.runs.used.items():
                _TENANT_CPU.set(used.cpu, {"tenant": tenant})
            await asyncio.sleep(GAUGE_SECONDS)

    def _forget_old_jobs(self) -> None:
        limit = wall_now() - self._keep_seconds
        old = tuple(
            job_id
            for job_id, job in self._state.jobs.items()
            if job.ended_at
            and job.ended_at < limit
            and not self.runs.runs_of(job_id)
        )
        if old:
            self._term.propose(ForgetJobs(old))


def _by_arrival(step: Step) -> Resources:
    """Return what a waiting task will still ask for when a machine arrives."""
    share = min(1.0, estimated_seconds(step) / ARRIVAL_SECONDS)
    if step.lasts:
        share = 1.0
    need = step.reserved
    return Resources(int(need.cpu * share), int(need.mem_mb * share), need.gpu)


def _least_workers(job: Job) -> int:
    """Return how many workers a job's tasks that last need at least."""
    return max(
        (
            -(-step.count // step.max_per_worker)
            for step in job.spec.steps
            if step.lasts and step.max_per_worker
        ),
        default=0,
    )
