"""The scheduler of one term: leases, starts, stops and ends of runs."""

import asyncio
import itertools
import logging
import statistics
from collections.abc import Callable

from galenarill.coordinator.runs import (
    Phase,
    RunIndex,
    TrackedRun,
    ready_tasks,
)
from galenarill.errors import NotLeaderError
from galenarill.jobs import (
    ClusterState,
    End,
    EndRun,
    ForgetJobs,
    Incarnation,
    Job,
    JobStatus,
    StartRun,
    Step,
    TaskKey,
)
from galenarill.placement import (
    Budget,
    Candidate,
    Room,
    estimated_seconds,
    plan,
    rank,
    take_turns,
)
from galenarill.pools import PoolLoad
from galenarill.routing import Resources
from galenarill.telemetry import meter
from galenarill.upkeep import StepPresence
from galenarill.workers import (
    Contact,
    OrderAnswer,
    Progress,
    RunningRow,
    StartOrder,
    Verdict,
    WorkerClient,
    WorkerHealth,
    WorkerLists,
    WorkerRegistry,
    WorkerReport,
)
from galenarill.world import JobId, PoolId, WorkerId, steady_now, wall_now

__all__ = ["Leader"]

logger = logging.getLogger(__name__)

_STARTS = meter().create_counter("galenarill_starts")
_ENDS = meter().create_counter("galenarill_runs_ended")
_LAPSES = meter().create_counter("galenarill_leases_lapsed")
_TERMS = meter().create_counter("galenarill_terms_led")
_FIRST_START = meter().create_histogram(
    "galenarill_first_start_seconds", unit="s"
)

# How long a worker may hold a renewal open for an end, in milliseconds: a
# fifth of the lease, so that several renewals can be lost.
RENEW_WAIT_MS = 600
# A worker that has not answered for this long gets no starts, in seconds.
ANSWER_SECONDS = 1.6
# Pause between two rounds of placement, in seconds: starts of one burst share
# a sync of the log.
PLACE_SECONDS = 0.01
TICK_SECONDS = 0.1
RETRY_SECONDS = 0.15
# Silence of a worker after which tasks that may have copies get one, in
# seconds: longer than a renewal that is held open.
DOUBT_SECONDS = 1.0
# A worker that refused a start gets none for this long, in seconds.
REFUSED_SECONDS = 0.3
# How long an ended job is kept, in seconds, beyond the platform's bound.
KEEP_MARGIN_SECONDS = 30.0
# From the decision to move a machine until its worker takes starts, in
# seconds; the platform's move takes most of it.
ARRIVAL_SECONDS = 2.0
# A run whose progress stands still for this long is moved, in seconds: longer
# than a renewal, a restore and the start of a task take together.
STALL_SECONDS = 2.0
# A run is slow if it takes this many times as long as its like elsewhere; tasks
# of one step differ by a third.
SLOW_FACTOR = 2.5
# Runs of the same step on other workers that are compared with, at least.
MIN_SIBLINGS = 2
# What it costs to stop a run and to start it elsewhere, in seconds.
RESTART_SECONDS = 0.5
# A worker that has left may still be ending what it ran, in seconds.
LEFT_SECONDS = 0.3


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
        """
        self._term = term
        self._state = state
        self._registry = registry
        self._client = client
        self._propose = propose
        self._is_confirmed = is_confirmed
        self._keep_seconds = keep_seconds + KEEP_MARGIN_SECONDS
        self._since = steady_now()
        self._runs = RunIndex()
        self._contacts: dict[WorkerId, Contact] = {}
        self._renewals: dict[WorkerId, asyncio.Task] = {}
        self._tasks: set[asyncio.Task] = set()
        self._wake = asyncio.Event()
        # Tasks whose start is proposed but not applied yet, with its members.
        self._proposed: dict[tuple[JobId, TaskKey], list] = {}
        self._ready: dict[JobId, list[TaskKey]] = {}
        self._refused_until: dict[WorkerId, float] = {}
        # Workers on which a task has failed, so that it is tried elsewhere.
        self._failed_on: dict[tuple[JobId, TaskKey], set[WorkerId]] = {}
        self._ending: set[tuple[str, int, int]] = set()
        self._cordoned: set[WorkerId] = set()
        self._health = WorkerHealth()
        # How long tasks of each step have taken, and on which worker.
        self._durations: dict[tuple, list[tuple[WorkerId, float]]] = {}
        # Ready tasks that the latest placement left over, by pool.
        self._unplaced: dict[PoolId, list[Step]] = {}

    def start(self) -> None:
        """Take over what the state holds, and begin to schedule."""
        _TERMS.add(1)
        logger.info("leading", extra={"term": self._term})
        now = steady_now()
        for job in self._state.jobs:
            self._runs.update(self._state, job, Phase.INHERITED, now)
            self._refresh_ready(job)
        for known in self._registry.workers.values():
            self.note_report(known.report)
        self._spawn(self._place_forever())
        self._spawn(self._tick_forever())

    def stop(self) -> None:
        """Stop scheduling, since another coordinator may lead."""
        logger.info("no longer leading", extra={"term": self._term})
        for task in [*self._tasks, *self._renewals.values()]:
            task.cancel()

    @property
    def term(self) -> int:
        """Term that it schedules in."""
        return self._term

    @property
    def runs(self) -> RunIndex:
        """The runs that may be in progress."""
        return self._runs

    @property
    def contacts(self) -> dict[WorkerId, Contact]:
        """What is known of each worker."""
        return self._contacts

    def note_report(self, report: WorkerReport) -> None:
        """Take in the latest report of a worker."""
        contact = self._contacts.get(report.worker)
        if contact is not None and contact.report.born == report.born:
            contact.report = report
            self._wake.set()
            return
        if contact is not None:
            self._end_life(contact, "a later life has begun")
        for other in list(self._contacts.values()):
            if report.machine and other.report.machine == report.machine:
                if other.report.born > report.born:
                    # A late report of a life that is over.
                    return
                self._end_life(other, "a later worker has its machine")
                self._lose(
                    other.report.worker,
                    "a later worker has its machine",
                    _ANY_LIFE,
                )
        contact = Contact(report, self._since)
        self._contacts[report.worker] = contact
        # Runs noted for an earlier life of this worker are dead.
        self._lose(report.worker, "an earlier life is over", report.born)
        task = asyncio.create_task(self._renew_forever(contact))
        self._renewals[report.worker] = task
        logger.info(
            "worker found",
            extra={
                "worker": report.worker,
                "born": report.born,
                "pool": report.pool,
                "machine": report.machine,
                "address": report.address,
            },
        )

    def note_left(self, report: WorkerReport) -> None:
        """Take in that a worker has left."""
        contact = self._contacts.get(report.worker)
        if contact is None or contact.report.born != report.born:
            return
        self._end_life(contact, "it has left")
        self._spawn(self._lose_later(report))

    def note_applied(self, touched: set[JobId]) -> None:
        """Take in that the state of jobs has changed."""
        now = steady_now()
        for job_id in touched:
            added, _ = self._runs.update(
                self._state, job_id, Phase.STARTING, now
            )
            for run in added:
                self._spawn(self._start_run(run))
            job = self._state.jobs.get(job_id)
            for run in self._runs.runs_of(job_id) if job else ():
                # Cancelled and failed jobs, and copies that lost the race.
                if job.status is not JobStatus.ACTIVE or (
                    run.step.is_speculative and job.tasks[run.key].is_done
                ):
                    self._stop_soon(run)
            if job is None or job.status is not JobStatus.ACTIVE:
                self._forget_job(job_id)
            self._refresh_ready(job_id)
        if touched:
            self._wake.set()

    def is_idle(self, worker: WorkerId) -> bool:
        """Tell whether nothing runs or is about to run on a worker."""
        if self._runs.by_worker.get(worker):
            return False
        return not any(
            worker == member
            for members in self._proposed.values()
            for member, _, _ in members
        )

    def cordon(self, worker: WorkerId) -> None:
        """Start nothing more on a worker."""
        self._cordoned.add(worker)

    def uncordon(self, worker: WorkerId) -> None:
        """Let a worker take starts again."""
        self._cordoned.discard(worker)
        self._wake.set()

    def life_of(self, worker: WorkerId) -> Incarnation | None:
        """Return the present life of a worker, or None if none is known."""
        contact = self._contacts.get(worker)
        return contact and Incarnation(worker, contact.report.born)

    def end_worker(self, life: Incarnation | None, why: str) -> None:
        """Take in that a worker's life was ended by an order of ours."""
        if life is None or self.life_of(life.worker) != life:
            return
        worker = life.worker
        contact = self._contacts[worker]
        self._registry.note_left(worker)
        self._end_life(contact, why)
        self._spawn(self._lose_later(contact.report))

    def evacuate(self, worker: WorkerId, place: tuple) -> None:
        """Stop one task of a step on a worker, so that it starts elsewhere."""
        for run in self._runs.on_worker(worker):
            if (run.job, run.key.occurrence, run.key.step) == place:
                self._stop_soon(run)
                return

    def waiting_in(self, pool: PoolId) -> int:
        """Return how many ready tasks of a pool found no worker."""
        return len(self._unplaced.get(pool, ()))

    def add_load(self, loads: dict[PoolId, PoolLoad]) -> None:
        """Add what runs and waits to the load of each pool."""
        routing = self._state.routing
        for job_id, job in self._state.jobs.items():
            queue = routing.queue(job.queue)
            load = loads.get(queue.pool) if queue is not None else None
            if load is None:
                continue
            for run in self._runs.runs_of(job_id):
                load.running = load.running.plus(run.step.reserved)
            if job.status is JobStatus.ACTIVE:
                load.floor = max(load.floor, _least_workers(job))
        for pool, steps in self._unplaced.items():
            if pool in loads:
                load = loads[pool]
                load.unplaced = len(steps)
                for step in steps:
                    load.waiting = load.waiting.plus(_by_arrival(step))

    def lasting_steps(self) -> dict[tuple, StepPresence]:
        """Return how many tasks of each step that lasts are not at work."""
        steps: dict[tuple, StepPresence] = {}
        for job_id, job in self._state.jobs.items():
            if job.status is not JobStatus.ACTIVE:
                continue
            for number, step in enumerate(job.spec.steps):
                if not step.lasts:
                    continue
                at_work: dict[int, set] = {}
                for run in self._runs.runs_of(job_id):
                    if run.key.step == number and self._is_at_work(run):
                        at_work.setdefault(run.key.occurrence, set()).add(
                            (run.key.index, run.member)
                        )
                for occurrence in range(job.spec.occurrences):
                    present = len(at_work.get(occurrence, ()))
                    steps[job_id, occurrence, number] = StepPresence(
                        step.may_miss, step.count - present
                    )
        return steps

    def _is_at_work(self, run: TrackedRun) -> bool:
        """Tell whether a task that lasts is surely at work now."""
        contact = self._contact_of(run)
        return (
            contact is not None
            and contact.answered_at > steady_now() - ANSWER_SECONDS
            and run.phase is Phase.RUNNING
            and run.row is not None
            and run.row.percent >= 100
        )

    def _forget_job(self, job_id: JobId) -> None:
        """Drop what was learned about a job that is over."""
        for known in (self._durations, self._failed_on):
            for place in [place for place in known if place[0] == job_id]:
                del known[place]

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        if isinstance(task.exception(), NotLeaderError):
            return
        logger.error("scheduler step failed", exc_info=task.exception())

    def _refresh_ready(self, job_id: JobId) -> None:
        job = self._state.jobs.get(job_id)
        ready = ready_tasks(job, wall_now()) if job is not None else []
        if job is not None and job.status is JobStatus.ACTIVE:
            ready += self._doubtful_tasks(job)
        if ready:
            self._ready[job_id] = ready
        else:
            self._ready.pop(job_id, None)

    def _doubtful_tasks(self, job: Job) -> list[TaskKey]:
        """Return tasks that may have a second copy, and should."""
        now = steady_now()
        return [
            run.key
            for run in self._runs.runs_of(job.id)
            if run.step.is_speculative
            and not run.step.is_gang
            and not job.tasks[run.key].is_done
            and len(job.tasks[run.key].runs) == 1
            and self._is_doubtful(run, now)
        ]

    def _is_doubtful(self, run: TrackedRun, now: float) -> bool:
        contact = self._contact_of(run)
        if contact is None or contact.answered_at < now - DOUBT_SECONDS:
            return True
        return run.is_slow and run.phase is Phase.RUNNING

    # Placement.

    async def _place_forever(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            if self._is_confirmed():
                self._place()
            await asyncio.sleep(PLACE_SECONDS)

    def _place(self) -> None:
        candidates = self._candidates()
        self._unplaced = {}
        if not candidates:
            return
        commands, chosen = [], []
        placements = plan(candidates, self._rooms(), self._budgets())
        placed = {(p.candidate.job, p.candidate.key) for p in placements}
        for candidate in candidates:
            if (candidate.job, candidate.key) not in placed:
                self._unplaced.setdefault(candidate.pool, []).append(
                    candidate.step
                )
        for placement in placements:
            candidate = placement.candidate
            place = (candidate.job, candidate.key)
            job = self._state.jobs[candidate.job]
            task = job.tasks.get(candidate.key)
            number = (task.last_run if task else 0) + 1
            members = tuple(
                (member, incarnation.worker, incarnation.born)
                for member, incarnation in placement.members
            )
            if not job.has_started:
                _FIRST_START.record(max(0.0, wall_now() - job.accepted_at))
            commands.append(
                StartRun(candidate.job, *candidate.key, number, members)
            )
            self._proposed[place] = [
                (incarnation.worker, candidate.step, candidate.tenant)
                for _, incarnation in placement.members
            ]
            chosen.append(place)
            logger.info(
                "task placed",
                extra={
                    "job": candidate.job,
                    "task": list(candidate.key),
                    "run": number,
                    "workers": [worker for _, worker, _ in members],
                    "waiting": len(candidates),
                },
            )
        if commands:
            future = self._propose(*commands)
            future.add_done_callback(lambda _: self._settle(chosen))

    def _settle(self, places: list) -> None:
        for place in places:
            self._proposed.pop(place, None)
        self._wake.set()

    def _candidates(self) -> list[Candidate]:
        wall = wall_now()
        ranked = []
        for job_id, keys in self._ready.items():
            job = self._state.jobs[job_id]
            queue = self._state.routing.queue(job.queue)
            if queue is None:
                continue
            for key in keys:
                if (job_id, key) not in self._proposed:
                    order = rank(job, key, queue, wall)
                    ranked.append((order, job_id, key, queue.pool))
        ranked.sort(key=lambda entry: entry[:3])
        # Tasks of one step and occurrence count together.
        beside: dict[tuple, dict[WorkerId, int]] = {}
        candidates = []
        used, weights, total = self._shares()
        for _, group in itertools.groupby(ranked, lambda entry: entry[0][:2]):
            entries = [
                (candidate.tenant, candidate.step.need, candidate)
                for _, job_id, key, pool in group
                if (candidate := self._candidate(job_id, key, pool, beside))
            ]
            ordered = take_turns(entries, used, weights, total)
            for candidate in ordered:
                tenant = candidate.tenant
                used[tenant] = used.get(tenant, Resources()).plus(
                    candidate.step.need
                )
            candidates += ordered
        return candidates

    def _shares(self) -> tuple[dict, dict, Resources]:
        """Return what tenants use, their weights, and all capacity."""
        total = Resources()
        for contact in self._contacts.values():
            total = total.plus(contact.report.capacity)
        weights = {
            tenant.name: tenant.weight
            for tenant in self._state.routing.configuration.tenants
        }
        return dict(self._runs.used), weights, total

    def _candidate(
        self, job_id: JobId, key: TaskKey, pool: PoolId, beside: dict
    ) -> Candidate:
        job = self._state.jobs[job_id]
        step = job.spec.steps[key.step]
        place = (job_id, *key[:2])
        if step.max_per_worker and place not in beside:
            beside[place] = self._beside(job_id, key)
        return Candidate(
            job_id,
            key,
            step,
            pool,
            job.tenant,
            self._workers_to_avoid(job_id, key),
            beside.get(place, {}),
        )

    def _workers_to_avoid(
        self, job_id: JobId, key: TaskKey
    ) -> frozenset[WorkerId]:
        """Return where a task has failed, or has a copy already."""
        avoid = set(self._failed_on.get((job_id, key), ()))
        task = self._state.jobs[job_id].tasks.get(key)
        for run in task.runs if task is not None else ():
            avoid.update(life.worker for life in run.members.values())
        return frozenset(avoid)

    def _beside(self, job: JobId, key: TaskKey) -> dict[WorkerId, int]:
        counts: dict[WorkerId, int] = {}
        for run in self._runs.runs_of(job):
            if run.key[:2] == key[:2]:
                worker = run.incarnation.worker
                counts[worker] = counts.get(worker, 0) + 1
        for (other, place), members in self._proposed.items():
            if other == job and place[:2] == key[:2]:
                for worker, _, _ in members:
                    counts[worker] = counts.get(worker, 0) + 1
        return counts

    def _rooms(self) -> dict:
        now = steady_now()
        rooms: dict = {}
        proposed: dict[WorkerId, Resources] = {}
        for members in self._proposed.values():
            for worker, step, _ in members:
                proposed[worker] = proposed.get(worker, Resources()).plus(
                    step.reserved
                )
        for worker, contact in self._contacts.items():
            if not self._takes_starts(contact, now):
                continue
            report = contact.report
            free = report.capacity.minus(
                self._runs.reserved.get(worker, Resources())
            ).minus(proposed.get(worker, Resources()))
            rooms.setdefault(report.pool, []).append(
                Room(report, free, self._health.is_quarantined(worker, now))
            )
        return rooms

    def _takes_starts(self, contact: Contact, now: float) -> bool:
        report = contact.report
        return (
            contact.is_read
            and contact.answered_at > now - ANSWER_SECONDS
            and not report.is_draining
            and report.worker not in self._cordoned
            and self._state.draining.get(report.worker) != report.born
            and self._refused_until.get(report.worker, 0) <= now
        )

    def _budgets(self) -> dict:
        used = dict(self._runs.used)
        for members in self._proposed.values():
            for _, step, tenant in members:
                used[tenant] = used.get(tenant, Resources()).plus(step.need)
        return {
            tenant.name: Budget(
                tenant.upper_limit, used.get(tenant.name, Resources())
            )
            for tenant in self._state.routing.configuration.tenants
        }

    # Starts and stops.

    async def _start_run(self, run: TrackedRun) -> None:
        """Tell the worker, until it is known what became of the run."""
        run.phase = Phase.STARTING
        while self._is_wanted(run) and run.phase is Phase.STARTING:
            contact = self._contact_of(run)
            if contact is None:
                return
            now = steady_now()
            is_answering = contact.answered_at > now - ANSWER_SECONDS
            if not self._is_confirmed() or not is_answering:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            until_ms = contact.next_until_ms(now)
            job = self._state.jobs[run.job]
            task = job.tasks[run.key]
            answer = await self._client.start(
                contact.report,
                StartOrder(
                    run.name,
                    run.number,
                    job.spec.payload,
                    until_ms,
                    self._term,
                    task.checkpoint,
                ),
            )
            self._note_clock(contact, answer)
            if await self._note_start(run, answer, task.checkpoint):
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def _note_start(
        self, run: TrackedRun, answer: OrderAnswer, checkpoint: str
    ) -> bool:
        """Act on the answer to a start; tell whether no more are needed."""
        verdict = answer.verdict
        _STARTS.add(1, {"verdict": verdict.value})
        log = logger.debug if verdict is Verdict.DONE else logger.info
        log(
            "start answered",
            extra={
                "job": run.job,
                "task": run.name,
                "run": run.number,
                "worker": run.incarnation.worker,
                "verdict": verdict.value,
            },
        )
        match verdict:
            case Verdict.DONE:
                if run.phase is Phase.STARTING:
                    run.is_whole = not run.was_unanswered and not checkpoint
                    run.phase, run.since = Phase.RUNNING, steady_now()
                return True
            case Verdict.NO_ANSWER:
                run.was_unanswered = True
                return False
            case Verdict.FENCED | Verdict.OTHER_LIFE:
                return False
            case Verdict.OLD:
                # Its end is in the worker's list; without one it never ran.
                run.phase, run.since = Phase.STOPPED, steady_now()
                return True
        self._refused_until[run.incarnation.worker] = (
            steady_now() + REFUSED_SECONDS
        )
        if run.was_unanswered:
            # An earlier order may still be carried out.
            self._stop_soon(run)
            return True
        await self._end(run, End.REJECTED)
        return True

    def _stop_soon(self, run: TrackedRun) -> None:
        if run.phase not in (Phase.STOPPING, Phase.STOPPED):
            run.phase, run.since = Phase.STOPPING, steady_now()
            self._spawn(self._stop_run(run))

    async def _stop_run(self, run: TrackedRun) -> None:
        while self._is_tracked(run) and run.phase is Phase.STOPPING:
            contact = self._contact_of(run)
            if contact is None:
                return
            if self._is_confirmed():
                answer = await self._client.stop(
                    contact.report, run.name, run.number, self._term
                )
                self._note_clock(contact, answer)
                if answer.verdict in (Verdict.DONE, Verdict.OLD):
                    run.phase, run.since = Phase.STOPPED, steady_now()
                    return
            await asyncio.sleep(RETRY_SECONDS)

    async def _stop_orphan(self, contact: Contact, task: str, run: int) -> None:
        logger.warning(
            "unknown run stopped",
            extra={"task": task, "run": run, "worker": contact.report.worker},
        )
        await self._client.stop(contact.report, task, run, self._term)

    def _is_tracked(self, run: TrackedRun) -> bool:
        return self._runs.by_name.get((run.name, run.number)) is run

    def _is_wanted(self, run: TrackedRun) -> bool:
        job = self._state.jobs.get(run.job)
        return (
            self._is_tracked(run)
            and job is not None
            and job.status is JobStatus.ACTIVE
        )

    def _contact_of(self, run: TrackedRun) -> Contact | None:
        contact = self._contacts.get(run.incarnation.worker)
        if contact is None or contact.report.born != run.incarnation.born:
            return None
        return contact

    # Leases and lists.

    async def _renew_forever(self, contact: Contact) -> None:
        is_answering = True
        while self._contacts.get(contact.report.worker) is contact:
            if not self._is_confirmed():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            sent_at = steady_now()
            # A silent worker's lease must be left to end.
            until_ms = contact.next_until_ms(sent_at) if is_answering else None
            answer = await self._client.renew(
                contact.report,
                self._term,
                contact.noted_end,
                until_ms,
                RENEW_WAIT_MS if contact.is_read and is_answering else 0,
            )
            self._note_clock(contact, answer)
            was_answering = is_answering
            is_answering = answer.verdict is Verdict.DONE
            if is_answering:
                await self._note_lists(contact, answer.lists, sent_at)
            if is_answering != was_answering:
                logger.warning(
                    "worker answers again"
                    if is_answering
                    else "worker does not answer",
                    extra={
                        "worker": contact.report.worker,
                        "verdict": answer.verdict.value,
                        "term": self._term,
                    },
                )
            if not is_answering:
                await asyncio.sleep(RETRY_SECONDS)

    def _note_clock(self, contact: Contact, answer: OrderAnswer) -> None:
        if answer.clock_ms is not None:
            contact.note_clock(answer.clock_ms, steady_now())

    async def _note_lists(
        self, contact: Contact, lists: WorkerLists, sent_at: float
    ) -> None:
        report = contact.report
        if lists.born is not None and lists.born != report.born:
            # The new life will report itself.
            self._end_life(contact, "a later life answers")
            self._lose(report.worker, "a later life answers", lists.born)
            return
        futures = []
        listed = {(row.task, row.run) for row in lists.running}
        for row in lists.ended:
            listed.add((row.task, row.run))
            run = self._run_on(contact, row.task, row.run)
            if run is not None and row.number > contact.noted_end:
                futures.append(self._end(run, End(row.how), row.checkpoint))
        for row in lists.running:
            run = self._run_on(contact, row.task, row.run)
            if run is None:
                self._spawn(self._stop_orphan(contact, row.task, row.run))
                continue
            run.row = row
            self._note_progress(run, row)
            if run.phase is Phase.INHERITED:
                run.phase, run.since = Phase.RUNNING, steady_now()
                if not self._is_wanted(run):
                    self._stop_soon(run)
        self._check_unlisted(contact, listed, sent_at)
        contact.is_read = True
        self._wake.set()
        if futures:
            await asyncio.gather(*futures)
        if lists.ended:
            last = max(row.number for row in lists.ended)
            contact.noted_end = max(contact.noted_end, last)

    def _note_progress(self, run: TrackedRun, row: RunningRow) -> None:
        """Move a run that stands still to another worker."""
        now = steady_now()
        if run.progress is None:
            run.progress = Progress(row.percent, now)
        run.progress.note(row.percent, now)
        if run.phase is not Phase.RUNNING or run.step.is_gang:
            return
        if run.step.lasts and row.percent >= 100:
            run.progress.note_well(now)
        if run.progress.stalled_seconds() < STALL_SECONDS:
            if not run.is_slow and self._is_slow(run):
                run.is_slow = True
                self._note_bad(run)
            if run.is_slow and self._would_gain(run, now):
                self._stop_soon(run)
            return
        logger.info(
            "run stands still",
            extra={
                "job": run.job,
                "task": run.name,
                "run": run.number,
                "worker": run.incarnation.worker,
                "percent": row.percent,
                "seconds": round(run.progress.stalled_seconds(), 3),
            },
        )
        self._note_bad(run)
        self._stop_soon(run)

    def _is_slow(self, run: TrackedRun) -> bool:
        """Tell whether a run takes much longer than its like elsewhere."""
        seconds = run.progress.projected_seconds()
        if run.step.lasts or seconds is None:
            return False
        usual = self._usual_seconds(run)
        return usual is not None and seconds > SLOW_FACTOR * usual

    def _would_gain(self, run: TrackedRun, now: float) -> bool:
        """Tell whether a run on a quarantined worker ends sooner elsewhere."""
        if not self._health.is_quarantined(run.incarnation.worker, now):
            return False
        usual = self._usual_seconds(run)
        left = run.progress.remaining_seconds()
        if usual is None or left is None:
            return False
        return left > usual + RESTART_SECONDS

    def _usual_seconds(self, run: TrackedRun) -> float | None:
        """Return how long tasks of the same step take on other workers.

        Estimates are no measure: on some queues they are off by a factor.
        """
        worker = run.incarnation.worker
        place = (run.job, *run.key[:2])
        seconds = [
            duration
            for other, duration in self._durations.get(place, ())
            if other != worker
        ]
        for sibling in self._runs.runs_of(run.job):
            if (
                sibling.key[:2] == run.key[:2]
                and sibling.incarnation.worker != worker
                and sibling.progress is not None
                and (projected := sibling.progress.projected_seconds())
            ):
                seconds.append(projected)
        if len(seconds) < MIN_SIBLINGS:
            return None
        return statistics.median(seconds)

    def _note_bad(self, run: TrackedRun) -> None:
        """Take in that a run has failed or stalled where it was placed."""
        worker = run.incarnation.worker
        self._failed_on.setdefault((run.job, run.key), set()).add(worker)
        if self._health.note_bad(worker, run.job, steady_now()):
            logger.warning(
                "worker quarantined",
                extra={"worker": worker, "job": run.job, "task": run.name},
            )

    def _check_unlisted(
        self, contact: Contact, listed: set, sent_at: float
    ) -> None:
        """Deal with runs that the worker neither runs nor has ended."""
        for run in self._runs.on_worker(contact.report.worker):
            if (run.name, run.number) in listed:
                continue
            if run.incarnation.born != contact.report.born:
                continue
            if run.phase is Phase.INHERITED:
                if self._is_wanted(run):
                    run.was_unanswered = True
                    self._spawn(self._start_run(run))
                else:
                    self._stop_soon(run)
            elif run.phase is Phase.STOPPED and run.since < sent_at:
                self._spawn(self._end(run, End.LOST))
            elif run.phase is Phase.RUNNING and run.since < sent_at:
                self._spawn(self._start_run(run))

    def _run_on(
        self, contact: Contact, task: str, number: int
    ) -> TrackedRun | None:
        run = self._runs.by_name.get((task, number))
        if run is None or self._contact_of(run) is not contact:
            return None
        return run

    def _end_life(self, contact: Contact, why: str) -> None:
        report = contact.report
        logger.info(
            "worker's life is over",
            extra={"worker": report.worker, "born": report.born, "why": why},
        )
        if self._contacts.get(report.worker) is contact:
            del self._contacts[report.worker]
            self._health.forget(report.worker)
        renewal = self._renewals.pop(report.worker, None)
        if renewal is not None and renewal is not asyncio.current_task():
            renewal.cancel()

    async def _lose_later(self, report: WorkerReport) -> None:
        await asyncio.sleep(LEFT_SECONDS)
        self._lose(report.worker, "it has left", report.born + 1)

    def _lose(self, worker: WorkerId, why: str, born: int) -> None:
        """Give up runs on lives of a worker that began before `born`."""
        for run in self._runs.on_worker(worker):
            if run.incarnation.born < born:
                logger.info(
                    "run lost",
                    extra={
                        "job": run.job,
                        "task": run.name,
                        "run": run.number,
                        "worker": worker,
                        "why": why,
                    },
                )
                self._spawn(self._end(run, End.LOST))

    async def _end(
        self, run: TrackedRun, how: End, checkpoint: str = ""
    ) -> None:
        """Commit that a run has ended."""
        place = (run.name, run.number, run.member)
        if place in self._ending or not self._is_tracked(run):
            return
        self._ending.add(place)
        _ENDS.add(1, {"how": how.value})
        if not checkpoint and run.row is not None and how is not End.DONE:
            checkpoint = run.row.checkpoint
        if how is End.FAILED:
            self._note_bad(run)
        elif how is End.DONE:
            self._health.note_done(run.incarnation.worker)
            if run.is_whole:
                self._durations.setdefault((run.job, *run.key[:2]), []).append(
                    (run.incarnation.worker, steady_now() - run.since)
                )
        logger.info(
            "run ended",
            extra={
                "job": run.job,
                "task": run.name,
                "run": run.number,
                "worker": run.incarnation.worker,
                "how": how.value,
                "seconds": round(steady_now() - run.begun_at, 3),
            },
        )
        try:
            await self._propose(
                EndRun(
                    run.job,
                    *run.key,
                    run.number,
                    run.member,
                    how.value,
                    checkpoint,
                    wall_now(),
                )
            )
        finally:
            self._ending.discard(place)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if not self._is_confirmed():
                continue
            now = steady_now()
            self._lose_lapsed(now)
            wall = wall_now()
            for job_id, job in self._state.jobs.items():
                if job.status is JobStatus.ACTIVE and (
                    job.spec.repeat_count
                    or any(step.is_speculative for step in job.spec.steps)
                ):
                    self._refresh_ready(job_id)
            self._forget(wall)
            self._wake.set()

    def _lose_lapsed(self, now: float) -> None:
        for worker in list(self._runs.by_worker):
            runs = self._runs.on_worker(worker)
            if not runs:
                continue
            contact = self._contacts.get(worker)
            if contact is None:
                # Not heard of in this term: what it ran ends with the lease
                # that an earlier leader may have given.
                lapses_at = Contact(_UNKNOWN, self._since).lapses_at()
            else:
                lapses_at = contact.lapses_at()
            if now > lapses_at:
                _LAPSES.add(1)
                if contact is not None:
                    contact.is_read = False
                self._lose(worker, "its lease has ended", _ANY_LIFE)

    def _forget(self, wall: float) -> None:
        old = tuple(
            job_id
            for job_id, job in self._state.jobs.items()
            if job.ended_at
            and job.ended_at < wall - self._keep_seconds
            and not self._runs.runs_of(job_id)
        )
        if old:
            self._propose(ForgetJobs(old))


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


_ANY_LIFE = 1 << 62
_UNKNOWN = WorkerReport(WorkerId(""), 0, 0, "", "", "", "", "", (), Resources())
