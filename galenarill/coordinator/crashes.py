"""Which tasks may have crashed the workers that were lost under them."""

import enum
import logging
from collections.abc import Collection

from galenarill.common import JobId, WorkerId, monotonic_now, wall_now
from galenarill.coordinator.runs import TrackedRun
from galenarill.coordinator.term import TermContext
from galenarill.jobs import (
    MAX_SUSPECT_MS,
    PROBATION_MS,
    Blame,
    Crash,
    EndRun,
    Incarnation,
    JobStatus,
    RunOutcome,
    Task,
    TaskKey,
)
from galenarill.telemetry import meter

__all__ = ["CrashMonitor", "LossCause"]

logger = logging.getLogger(__name__)

_SUSPECTED_RUNS = meter().create_counter("galenarill_runs_suspected")
_CRASHING_JOBS = meter().create_counter("galenarill_jobs_failed_for_crashes")

# Time after which a silent worker counts as crashed, in seconds. Longer than
# partitions and restarts usually take.
SILENCE_SECONDS = 10.0
# A task is not started while this many workers may have crashed under it and
# it is not known of all of them.
MAX_UNRESOLVED_CRASHES = 3


class LossCause(enum.Enum):
    """How the loss of a worker with runs was noticed."""

    RESTARTED = "an earlier life is over"
    REPLACED = "a later worker has its machine"
    # The worker may be partitioned or frozen, and still run.
    LEASE_ENDED = "its lease has ended"
    LEFT = "it has left"


class CrashMonitor:
    """Attributes crashes of workers to tasks, and tells which are suspect.

    A task that crashes its workers does so some time after its start, not
    always the same. When a worker is lost, all runs that have not survived for
    `MAX_SUSPECT_MS` are suspect. A task is started alone once it has lost two
    workers, or one during the probation period after its start, so that the
    next crash or the survival of its worker tells whether it is the cause. The
    replicated state holds the crashes, so a new leader continues with them.
    """

    def __init__(self, context: TermContext):
        """Create a monitor for the term of `context`."""
        self._context = context
        # Tasks that may be suspect.
        self._tasks: set[tuple[JobId, TaskKey]] = set()
        # When a silent worker counts as crashed, on the monotonic clock, by
        # the run that may have crashed it.
        self._deadlines: dict[tuple[JobId, TaskKey, int, int], float] = {}
        # Runs whose blame is being revised.
        self._proposed: set[tuple[JobId, TaskKey, int, int]] = set()

    def adopt_job(self, job_id: JobId) -> None:
        """Continue with the crashes that earlier leaders recorded."""
        job = self._context.state.jobs[job_id]
        if job.status is not JobStatus.ACTIVE:
            return
        for key, task in job.tasks.items():
            if task.crashes:
                self._tasks.add((job_id, key))

    def forget_job(self, job_id: JobId) -> None:
        """Drop the records of a job that has ended, and log why it failed."""
        task_ids = {task_id for task_id in self._tasks if task_id[0] == job_id}
        self._tasks -= task_ids
        job = self._context.state.jobs.get(job_id)
        if job is None or job.status is not JobStatus.FAILED:
            return
        crashing = [
            [list(key), [_row(crash) for crash in task.crashes]]
            for _, key in sorted(task_ids)
            if (task := job.tasks.get(key)) is not None and task.crashes_workers
        ]
        if crashing:
            _CRASHING_JOBS.add(1)
            logger.warning(
                "job failed, a task crashes its workers",
                extra={"job": job_id, "tasks": crashing},
            )

    def assign_blame(
        self, lost: Collection[TrackedRun], cause: LossCause
    ) -> None:
        """Record which of the runs lost with a worker may have crashed it."""
        if cause is LossCause.LEFT:
            return
        is_silent = cause is LossCause.LEASE_ENDED
        started = [
            run
            for run in lost
            if run.start_sent_at is not None
            and not self._is_draining(run.incarnation)
            and not (is_silent and self._has_answered(run))
        ]
        jobs_on_probation = {
            run.job for run in started if self._is_on_probation(run)
        }
        now = monotonic_now()
        for run in started:
            if run.survived_ms >= MAX_SUSPECT_MS:
                continue
            silent_since = run.silent_since or now
            run.lost_within_ms = min(
                1000 * max(0.0, silent_since - run.start_sent_at),
                MAX_SUSPECT_MS,
            )
            run.blame = Blame.SUSPECTED if is_silent else Blame.CONFIRMED
            # A start without an answer may have come after the crash.
            run.is_sole_suspect = (
                (run.is_confirmed or run.is_start_acknowledged)
                and self._is_on_probation(run)
                and len(jobs_on_probation) == 1
            )
            if self._context.is_wanted(run):
                self._tasks.add((run.job, run.key))
            _SUSPECTED_RUNS.add(1, {"sole": run.is_sole_suspect})

    def note_silent(self, worker: WorkerId, now: float) -> None:
        """Record for a worker's runs that a renewal got no answer."""
        for run in self._context.runs.on_worker(worker):
            if run.silent_since is None:
                run.silent_since = now

    def note_answering(self, worker: WorkerId) -> None:
        """Record for a worker's runs that it answers again."""
        for run in self._context.runs.on_worker(worker):
            run.silent_since = None

    def note_listed(self, run: TrackedRun) -> None:
        """Withdraw the blame for crashes of a task that has worked for long.

        A run that has merely outlasted an earlier crash may still crash its
        worker, since a task need not do so at the same time in each run.
        """
        if (
            run.survived_ms < MAX_SUSPECT_MS
            or (run.job, run.key) not in self._tasks
        ):
            return
        task = self._task_of(run)
        for crash in task.crashes if task is not None else ():
            self._revise(run.job, run.key, crash, Blame.NONE, "it survived")

    def note_replaced(self, incarnation: Incarnation) -> None:
        """Handle a later worker in place of an incarnation."""
        self._resolve(incarnation, Blame.CONFIRMED, "its machine has another")

    def note_left(self, incarnation: Incarnation) -> None:
        """Handle an incarnation that has left, or that an order has ended."""
        self._resolve(incarnation, Blame.NONE, "its worker has left")

    def resolve_open_crashes(self, now: float) -> None:
        """Decide on workers that answer again, or stay silent for too long."""
        open_crashes = {
            (*task_id, crash.run, crash.member): crash
            for task_id in self._tasks
            if (task := self._task(*task_id)) is not None
            for crash in task.crashes
            if not crash.is_confirmed
        }
        self._deadlines = {
            run_id: self._deadlines.get(run_id, now + SILENCE_SECONDS)
            for run_id in open_crashes
        }
        for (job, key, *_), crash in open_crashes.items():
            worker, born = crash.incarnation
            session = self._context.sessions.get(worker)
            deadline = self._deadlines[job, key, crash.run, crash.member]
            if session is not None and session.report.born > born:
                self._revise(job, key, crash, Blame.CONFIRMED, "it restarted")
            elif session is not None and session.is_synced:
                self._revise(job, key, crash, Blame.NONE, "its worker answers")
            elif now >= deadline:
                self._revise(job, key, crash, Blame.CONFIRMED, "it is silent")

    def needs_trial(self, job: JobId, key: TaskKey) -> bool:
        """Return whether a task has to be started alone on a worker."""
        task = self._task(job, key)
        return task is not None and (
            task.is_suspect
            or any(run.is_start_known for run in self._doubtful_runs(job, key))
        )

    def may_start(self, job: JobId, key: TaskKey) -> bool:
        """Return whether a suspect may be started before more is known."""
        task = self._task(job, key)
        if task is None:
            return True
        doubtful = len(self._doubtful_runs(job, key))
        return not (doubtful or task.has_open_crash) or (
            len(task.crashes) + doubtful < MAX_UNRESOLVED_CRASHES
        )

    def note_trial(self, job: JobId, key: TaskKey) -> None:
        """Record that a suspect is being started."""
        self._tasks.add((job, key))

    def is_on_trial(self, run: TrackedRun) -> bool:
        """Return whether a run is to show whether its task is the cause."""
        return (
            (run.job, run.key) in self._tasks
            and self._is_on_probation(run)
            and self.needs_trial(run.job, run.key)
        )

    def suspect_workers(self, job: JobId, key: TaskKey) -> set[WorkerId]:
        """Return the workers of the machine that may crash in a task's place.

        Once a task has been lost on two machines, neither is suspect.
        """
        task = self._task(job, key)
        crashes = task.crashes if task is not None else []
        lost = {crash.machine or crash.incarnation.worker for crash in crashes}
        if len(lost) != 1:
            return set()
        return {
            worker
            for worker, session in self._context.sessions.items()
            if worker in lost or session.report.machine in lost
        }

    def trial_workers(self) -> set[WorkerId]:
        """Return the workers with a run that is on trial."""
        return {
            run.incarnation.worker
            for job in {job for job, _ in self._tasks}
            for run in self._context.runs.runs_of(job)
            if self.is_on_trial(run)
        }

    def runs_on_probation(self, worker: WorkerId) -> int:
        """Return how many runs on a worker may still crash it."""
        return sum(
            self._is_on_probation(run)
            for run in self._context.runs.on_worker(worker)
        )

    def _task(self, job_id: JobId, key: TaskKey) -> Task | None:
        job = self._context.state.jobs.get(job_id)
        return job and job.tasks.get(key)

    def _task_of(self, run: TrackedRun) -> Task | None:
        return self._task(run.job, run.key)

    def _is_on_probation(self, run: TrackedRun) -> bool:
        # Asked for every run of a pool in each round with suspects, so most
        # answers need no lookup.
        if run.survived_ms < PROBATION_MS:
            return True
        if (run.job, run.key) not in self._tasks:
            return False
        task = self._task_of(run)
        return task is not None and run.survived_ms < task.probation_ms

    def _is_draining(self, incarnation: Incarnation) -> bool:
        worker, born = incarnation
        return self._context.state.draining.get(worker) == born

    def _doubtful_runs(self, job: JobId, key: TaskKey) -> list[TrackedRun]:
        """Return a task's runs that may have silenced their worker."""
        task = self._task(job, key)
        if task is None or not task.runs:
            return []
        return [
            run
            for run in self._context.runs.runs_of(job)
            if run.key == key
            and run.start_sent_at is not None
            and self._is_on_probation(run)
            and self._is_silent(run)
        ]

    def _is_silent(self, run: TrackedRun) -> bool:
        session = self._context.session_of(run)
        return session is None or not self._context.is_answering(session)

    def _has_answered(self, run: TrackedRun) -> bool:
        """Return whether a worker's lease ended for want of renewals by us."""
        return (
            self._context.session_of(run) is not None
            and run.silent_since is None
        )

    def _resolve(
        self, incarnation: Incarnation, blame: Blame, why: str
    ) -> None:
        """Decide the open crashes of a worker up to an incarnation."""
        for job, key in self._tasks:
            task = self._task(job, key)
            for crash in task.crashes if task is not None else ():
                if (
                    not crash.is_confirmed
                    and crash.incarnation.worker == incarnation.worker
                    and crash.incarnation.born <= incarnation.born
                ):
                    self._revise(job, key, crash, blame, why)

    def _revise(
        self, job: JobId, key: TaskKey, crash: Crash, blame: Blame, why: str
    ) -> None:
        """Propose to confirm or withdraw the blame for a crash."""
        revision = (job, key, crash.run, crash.member)
        if revision in self._proposed:
            return
        self._proposed.add(revision)
        logger.info(
            "blame revised",
            extra={
                "job": job,
                "task": list(key),
                "run": crash.run,
                "worker": crash.incarnation.worker,
                "blame": blame.name.lower(),
                "why": why,
            },
        )
        future = self._context.propose(
            EndRun(
                job,
                *key,
                crash.run,
                crash.member,
                RunOutcome.LOST.value,
                "",
                wall_now(),
                blame,
            )
        )
        future.add_done_callback(lambda _: self._proposed.discard(revision))


def _row(crash: Crash) -> list:
    """Return a crash as it is logged.

    Run, worker, milliseconds survived and lost within, whether it is sole and
    whether it is confirmed.
    """
    return [
        crash.run,
        crash.incarnation.worker,
        round(crash.survived_ms),
        round(crash.lost_within_ms),
        crash.is_sole,
        crash.is_confirmed,
    ]
