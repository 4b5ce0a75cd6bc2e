"""The decision whether a submitted job can still be useful."""

import dataclasses
import math
from collections.abc import Callable

from galenarill.admission.backlog import PoolBacklog, Work, WorkAhead
from galenarill.admission.retries import RetrySchedule
from galenarill.common import JobId, TeamId
from galenarill.jobs import JobSpec, Step
from galenarill.placement import critical_path_seconds
from galenarill.routing import Queue, Resources

__all__ = [
    "Admission",
    "Completion",
    "DurationBounds",
    "Submission",
    "decide_admission",
    "earliest_completion",
]

# Chance of a wrong rejection below which a job counts as certainly too late.
MAX_CHANCE = 0.001
# Number of different needs and labels of a job's steps for which its wait is
# computed. The others may wait longer, so that fewer jobs are rejected. A job
# may have 100,000 steps, and each takes 0.1 ms or more of the leader's thread.
MAX_STEP_KINDS = 8

# Shortest and longest duration of a task of a step, in seconds.
DurationBounds = Callable[[Step], tuple[float, float]]


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A job that is submitted, and what limits its tenant.

    Attributes:
        job: Id of the job.
        spec: Specification.
        queue: Queue.
        tenant: Tenant, or "".
        submitted_at: Time of this submission, in Unix seconds.
        limit: Upper limit of the tenant; 0 is no limit.
        unlimited_tenants: Tenants without an upper limit.
        share: Weighted share of the capacity that the tenant uses.
    """

    job: JobId
    spec: JobSpec
    queue: Queue
    tenant: TeamId
    submitted_at: float
    limit: Resources = dataclasses.field(default_factory=Resources)
    unlimited_tenants: frozenset[TeamId] = frozenset()
    share: float = 0.0

    @property
    def objective_seconds(self) -> float:
        """Time from submission to the completion objective."""
        path = critical_path_seconds(self.spec.steps)
        return self.queue.stretch * path + self.queue.objective_ms / 1000

    @property
    def has_completion(self) -> bool:
        """Whether it is to be completed within a time after its submission."""
        return not self.spec.repeat_count and not any(
            step.is_long_running for step in self.spec.steps
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Outcome of the decision on a job.

    Attributes:
        wait_seconds: Least time that the work ahead takes.
        objective_seconds: Time from submission to the objective.
        is_tenant_bound: Whether the upper limit of the tenant, rather than
            the capacity of all workers, makes it wait.
        cpu_seconds_ahead: CPU time of the work ahead, in core-seconds.
        capacity: Capacity that the work ahead was divided by.
        retry_after_seconds: Time after which to submit it again, or None if it
            is accepted.
    """

    wait_seconds: float = 0.0
    objective_seconds: float = 0.0
    is_tenant_bound: bool = False
    cpu_seconds_ahead: float = 0.0
    capacity: Resources = dataclasses.field(default_factory=Resources)
    retry_after_seconds: int | None = None

    @property
    def is_accepted(self) -> bool:
        """Whether the job is accepted."""
        return self.retry_after_seconds is None


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """The earliest possible completion of a job.

    Attributes:
        seconds: Time until it.
        wait_seconds: The part of it that the work ahead takes.
        work: Work ahead.
        capacity: Capacity that the work ahead is divided by.
        is_tenant_bound: Whether the upper limit of the tenant, rather than
            the capacity of all workers, makes the job wait.
    """

    seconds: float
    wait_seconds: float
    work: Work
    capacity: Resources
    is_tenant_bound: bool


def decide_admission(
    submission: Submission,
    backlog: PoolBacklog,
    schedule: RetrySchedule,
    bounds: DurationBounds,
    useful_lateness: float,
    now: float,
) -> Admission:
    """Decide whether a job is accepted.

    Answers the load of a tenant that sends many times what its upper limit, or
    all workers, can do before the results lose their use. A job is rejected
    only if it is useless even if every duration is the shortest possible one
    and all workers join its pool. Jobs of few tasks may be done by chance while
    others turn late, and are rejected only behind much more work. A job that
    could not be useful on an idle fleet either is accepted: submitting it again
    would not help.

    Args:
        submission: The job. It has not been accepted before.
        backlog: Waiting work of its pool.
        schedule: Times at which rejected callers submit again. Updated.
        bounds: Returns bounds of the duration of a step's tasks.
        useful_lateness: Multiple of its objective for which a job is useful.
        now: Monotonic time in seconds.
    """
    objective = submission.objective_seconds
    useful = useful_lateness * objective
    earliest = earliest_completion(submission, backlog, bounds, now)
    excess = earliest.seconds - useful
    is_useful_when_idle = earliest.seconds - earliest.wait_seconds <= useful
    retry_after = None
    if (
        submission.has_completion
        and is_useful_when_idle
        and excess > 0
        and _chance_in_time(submission, earliest.wait_seconds) < MAX_CHANCE
    ):
        own_work = _own_work(submission.spec, bounds)
        retry_after = schedule.assign(
            submission.job,
            (
                backlog.pool,
                submission.tenant if earliest.is_tenant_bound else "",
            ),
            submission.share,
            excess,
            _seconds_for(own_work, earliest.capacity),
            now,
        )
    else:
        schedule.forget(submission.job)
    return Admission(
        earliest.wait_seconds,
        objective,
        earliest.is_tenant_bound,
        earliest.work[0] / 1000,
        earliest.capacity,
        retry_after,
    )


def earliest_completion(
    submission: Submission,
    backlog: PoolBacklog,
    bounds: DurationBounds,
    now: float,
) -> Completion:
    """Return the earliest possible completion of a job.

    Its wait is the longest that one of its steps certainly has. The work ahead
    has started when the step starts, but the last tasks of it may still run, on
    all of the capacity: the longest duration is deducted. So is what the
    capacity may have done since the backlog was read. Work of
    other tenants is counted only if it is of more urgent queues and of tenants
    without a limit: otherwise fair sharing may place the new job first.

    Args:
        submission: The job.
        backlog: Waiting work of its pool.
        bounds: Returns bounds of the duration of a step's tasks.
        now: Monotonic time in seconds.
    """
    maximum = backlog.max_capacity
    priority = submission.queue.priority
    objective_at = submission.submitted_at + submission.objective_seconds
    others = submission.unlimited_tenants - {submission.tenant}
    # Time, work and capacity, and whether the tenant's limit binds.
    waits = []
    for step in _kinds_of_steps(submission.spec):
        own = backlog.work_before(
            submission.tenant,
            step,
            priority,
            objective_at,
            submission.submitted_at,
        )
        urgent = backlog.more_urgent_work(step, priority, others)
        both = own.plus(*urgent)
        limited = _limited(maximum, submission.limit, step.need)
        waits += [
            (_seconds_until_started(both, maximum), both.work, maximum, False),
            (_seconds_until_started(own, limited), own.work, limited, True),
        ]
    seconds, work, capacity, is_tenant_bound = max(
        waits, key=lambda wait: wait[0]
    )
    wait = max(0.0, seconds - (now - backlog.made_at))
    path = _shortest_path_seconds(submission.spec, bounds)
    return Completion(wait + path, wait, work, capacity, is_tenant_bound)


def _chance_in_time(submission: Submission, wait_seconds: float) -> float:
    """Return a bound on the chance that a job overtakes the work ahead.

    Jobs ahead that turn late before they start drop behind those in time. The
    new job starts tasks in time only between the moments when the last of them
    and the job itself turn late. If it gets its part of the starts until then,
    their number is Poisson distributed, and all its tasks have to be among
    them: those left are behind all that waits now. The result is Chernoff's
    bound for this.

    Args:
        submission: The job.
        wait_seconds: Least time that the work ahead takes.
    """
    steps = submission.spec.steps
    window = submission.objective_seconds - critical_path_seconds(steps)
    if window <= 0:
        return 0.0
    ratio = wait_seconds / window
    if ratio <= 1:
        return 1.0
    tasks = max(1 if step.is_gang else step.count for step in steps)
    return (math.exp(1 - 1 / ratio) / ratio) ** tasks


def _shortest_path_seconds(spec: JobSpec, bounds: DurationBounds) -> float:
    ends: list[float] = []
    for index, step in enumerate(spec.steps):
        begin = max((ends[i] for i in step.depends_on if i < index), default=0)
        ends.append(begin + bounds(step)[0])
    return max(ends, default=0.0)


def _own_work(spec: JobSpec, bounds: DurationBounds) -> Work:
    cpu, mem_mb, gpu = 0.0, 0.0, 0.0
    for step in spec.steps:
        seconds = step.count * bounds(step)[0]
        cpu += step.need.cpu * seconds
        mem_mb += step.need.mem_mb * seconds
        gpu += step.need.gpu * seconds
    return cpu, mem_mb, gpu


def _limited(
    capacity: Resources, limit: Resources, need: Resources
) -> Resources:
    """Return the most of a capacity that a tenant may use at a time.

    Args:
        capacity: Capacity.
        limit: Upper limit of the tenant; 0 is no limit.
        need: Need of its largest task. Finite tasks get more than the limit
            only where one takes over half of it: others exceed it only beside
            long-running tasks, which then have more of it than the excess.
    """

    def limited(capacity: int, limit: int, need: int) -> int:
        if not limit:
            return capacity
        excess = need - 1 if 2 * need > limit else 0
        return min(capacity, limit + excess)

    return Resources(
        limited(capacity.cpu, limit.cpu, need.cpu),
        limited(capacity.mem_mb, limit.mem_mb, need.mem_mb),
        limited(capacity.gpu, limit.gpu, need.gpu),
    )


def _kinds_of_steps(spec: JobSpec) -> list[Step]:
    """Return one step for each need and label, up to `MAX_STEP_KINDS`."""
    kinds: dict[tuple[Resources, str], Step] = {}
    for step in spec.steps:
        kinds.setdefault((step.reserved, step.label), step)
        if len(kinds) == MAX_STEP_KINDS:
            break
    return list(kinds.values())


def _seconds_until_started(ahead: WorkAhead, capacity: Resources) -> float:
    """Return the least time until all tasks ahead have started."""
    return _seconds_for(ahead.work, capacity) - ahead.longest_seconds


def _seconds_for(work: Work, capacity: Resources) -> float:
    """Return the time that some work takes at least on some capacity.

    A resource of which there is none is left out: work that needs it waits
    for another reason.
    """
    available = capacity.cpu, capacity.mem_mb, capacity.gpu
    return max(
        (
            amount / total
            for amount, total in zip(work, available, strict=True)
            if total
        ),
        default=0.0,
    )
