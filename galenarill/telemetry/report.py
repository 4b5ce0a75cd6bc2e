"""Figures on jobs and machines, computed from the logs of a deployment."""

import bisect
import collections
import dataclasses
import itertools
import math
from collections.abc import Callable, Iterable

import msgspec

from galenarill.telemetry.timeline import LogLine

__all__ = ["GroupFigures", "Overtaken", "PoolFigures", "Report", "make_report"]

# Ends of a run that an order to its worker caused, and those for which its
# lease or its worker was lost. The other ends are the task's own.
_STOP_ENDS = frozenset({"stopped"})
_LEASE_ENDS = frozenset({"lapsed", "lost"})
# Verdict of an order on a machine that was carried out.
_MOVED = "done"


class _JobAccepted(msgspec.Struct):
    job: str
    queue: str
    tenant: str
    tasks: int
    lasts: bool = False
    # The lines of earlier releases lack the fields below.
    pool: str | None = None
    repeats: int = 0
    largest_cpu: int = 0
    core_seconds: float = 0.0
    objective_seconds: float = 0.0


class _TaskPlaced(msgspec.Struct):
    job: str
    workers: list[str]
    pool: str | None = None
    cpu: int = 0


class _RunEnded(msgspec.Struct):
    job: str
    task: str
    run: int
    how: str
    seconds: float
    cpu: int = 0


class _JobNamed(msgspec.Struct):
    job: str


class _MachineMoved(
    msgspec.Struct, rename={"origin": "from", "destination": "to"}
):
    origin: str
    destination: str
    verdict: str


class _PoolState(msgspec.Struct):
    pool: str
    machines: int
    needed: int
    running_cpu: int
    waiting_cpu: int
    late_cpu: int = 0
    is_spare: bool = False

    @property
    def has_work(self) -> bool:
        return any(
            (self.needed, self.running_cpu, self.waiting_cpu, self.late_cpu)
        )


class _LinesLeftOut(msgspec.Struct):
    events: dict[str, int]


class _LinesDropped(msgspec.Struct):
    count: int


@dataclasses.dataclass(slots=True)
class GroupFigures:
    """Figures on the jobs of one group.

    Attributes:
        group: Name of the group.
        jobs: Number of jobs that were accepted.
        started: How many of them had a task placed.
        ended: How many completed all their tasks.
        with_objective: How many have an objective in the log and don't repeat.
        in_objective: How many of these completed within their objective.
        cancelled: How many were cancelled.
        failed: How many failed because they crash workers.
        wait_median: Median time from acceptance to the first placement, of the
            started jobs that do not repeat, in seconds; None without one.
        wait_95: 95th percentile of the same.
        lost_to_stops: Core-seconds of runs that were stopped before their end,
            except by the cancellation of their job.
        lost_to_leases: Core-seconds of runs that ended with a lease or worker.
    """

    group: str
    jobs: int
    started: int
    ended: int
    with_objective: int
    in_objective: int
    cancelled: int
    failed: int
    wait_median: float | None
    wait_95: float | None
    lost_to_stops: float
    lost_to_leases: float

    @property
    def ended_share(self) -> float:
        """Share of the jobs that completed all their tasks."""
        return self.ended / self.jobs if self.jobs else 0.0

    @property
    def in_objective_share(self) -> float | None:
        """Share of the jobs with an objective that met it, or None."""
        if not self.with_objective:
            return None
        return self.in_objective / self.with_objective


@dataclasses.dataclass(slots=True)
class Overtaken:
    """How often smaller tasks were placed while a large job waited.

    Attributes:
        job: Id of the job.
        pool: Pool.
        cpu: CPU of its largest task, in millicores.
        wait_seconds: Time until its first placement, or until the end of the
            log.
        has_started: Whether a task of it was placed.
        smaller_tasks: Smaller tasks of the pool that were placed meanwhile.
    """

    job: str
    pool: str
    cpu: int
    wait_seconds: float
    has_started: bool
    smaller_tasks: int


@dataclasses.dataclass(slots=True)
class PoolFigures:
    """Figures on the machines of one pool.

    Attributes:
        pool: Pool.
        moved_in: Machines that were moved to it.
        moved_out: Machines that were moved away from it.
        machine_seconds: Machines of the pool, summed over time.
        idle_machine_seconds: The same while the pool had no work. Spare pools
            have none, because their machines are switched off.
    """

    pool: str
    moved_in: int = 0
    moved_out: int = 0
    machine_seconds: float = 0.0
    idle_machine_seconds: float = 0.0


@dataclasses.dataclass(slots=True)
class Report:
    """Figures on the jobs and machines that some logs describe.

    Attributes:
        total: All jobs that do not run until they are cancelled, and below
            them by queue, by tenant and by size.
        lasting: The other jobs.
        by_queue: Figures by queue.
        by_tenant: Figures of the tenants with the largest and the smallest
            submitted work, and of those between.
        by_size: Figures by the CPU of a job's largest task.
        overtaken: Jobs of the largest tenth, those overtaken most first.
        machine_orders: Orders to move a machine by verdict.
        pools: Figures by pool.
        unknown_jobs: Jobs that have lines but no `job accepted`.
        unusable_lines: Lines of a known event whose fields are missing or of
            another type.
        lines_left_out: Lines that rate limiters left out, by event.
        lines_dropped: Lines lost because their reader stalled.
    """

    total: GroupFigures
    lasting: GroupFigures
    by_queue: list[GroupFigures]
    by_tenant: list[GroupFigures]
    by_size: list[GroupFigures]
    overtaken: list[Overtaken]
    machine_orders: dict[str, int]
    pools: list[PoolFigures]
    unknown_jobs: int
    unusable_lines: int
    lines_left_out: dict[str, int]
    lines_dropped: int

    @property
    def is_sampled(self) -> bool:
        """Whether lines are missing, so that counts are lower bounds."""
        return bool(self.lines_left_out or self.lines_dropped)


@dataclasses.dataclass(slots=True)
class _Job:
    accepted: _JobAccepted | None = None
    accepted_at: float = math.inf
    placed_at: float = math.inf
    cancelled_at: float = math.inf
    has_failed: bool = False
    # Time of the first end `done` of each task.
    done_at: dict[str, float] = dataclasses.field(default_factory=dict)
    # Runs that did not end by themselves, by task and run.
    lost_runs: dict[tuple[str, int], tuple[float, _RunEnded]] = (
        dataclasses.field(default_factory=dict)
    )

    @property
    def wait_seconds(self) -> float:
        # `job accepted` is written after the commit, when a task may already
        # have been placed.
        return max(0.0, self.placed_at - self.accepted_at)

    @property
    def has_started(self) -> bool:
        return self.placed_at < math.inf

    @property
    def has_ended(self) -> bool:
        expected = self.accepted.tasks * max(1, self.accepted.repeats)
        return len(self.done_at) >= expected

    @property
    def has_objective(self) -> bool:
        return self.accepted.objective_seconds > 0 and not self.accepted.repeats

    @property
    def is_in_objective(self) -> bool:
        return (
            self.has_objective
            and self.has_ended
            and max(self.done_at.values(), default=math.inf)
            <= self.accepted_at + self.accepted.objective_seconds
        )

    def lost_core_seconds(self, ends: frozenset[str]) -> float:
        return sum(
            end.seconds * end.cpu / 1000
            for at, end in self.lost_runs.values()
            if end.how in ends
            and not (end.how in _STOP_ENDS and at >= self.cancelled_at)
        )


def make_report(lines: Iterable[LogLine]) -> Report:
    """Return figures on the jobs and machines that some lines describe.

    Lines of other events are ignored. Lines that the same event repeats for a
    job, as after a change of leader, count once.

    Args:
        lines: Lines of coordinators and gateways, in any order.
    """
    collector = _Collector()
    for line in lines:
        collector.add(line)
    return collector.report()


class _Collector:
    """Collects the lines of a report."""

    def __init__(self):
        self._jobs: dict[str, _Job] = collections.defaultdict(_Job)
        # Time, CPU and number of placed tasks, by pool.
        self._placed: dict[str, list[tuple[float, int, int]]] = (
            collections.defaultdict(list)
        )
        self._states: dict[str, list[tuple[float, _PoolState]]] = (
            collections.defaultdict(list)
        )
        self._moves: list[_MachineMoved] = []
        self._left_out: collections.Counter[str] = collections.Counter()
        self._dropped = 0
        self._unusable = 0
        self._end_at = -math.inf
        self._handlers: dict[str, tuple[type, Callable]] = {
            "job accepted": (_JobAccepted, self._add_job),
            "task placed": (_TaskPlaced, self._add_placement),
            "run ended": (_RunEnded, self._add_end),
            "job cancelled": (_JobNamed, self._add_cancellation),
            "job failed, a task crashes its workers": (
                _JobNamed,
                self._add_failure,
            ),
            "machine moved": (_MachineMoved, self._add_move),
            "pool": (_PoolState, self._add_pool),
            "log lines left out": (_LinesLeftOut, self._add_left_out),
            "log lines dropped": (_LinesDropped, self._add_dropped),
        }

    def add(self, line: LogLine) -> None:
        if not isinstance(line.event, str):
            self._unusable += 1
            return
        if line.event not in self._handlers:
            return
        fields_type, handler = self._handlers[line.event]
        try:
            fields = msgspec.convert(line.fields, fields_type)
        except msgspec.ValidationError:
            self._unusable += 1
            return
        self._end_at = max(self._end_at, line.at)
        handler(line.at, fields)

    def report(self) -> Report:
        known = {i: job for i, job in self._jobs.items() if job.accepted}
        finite = {i: job for i, job in known.items() if not job.accepted.lasts}
        jobs = list(finite.values())
        sizes = _split_by_size(finite)
        return Report(
            _figures("all", jobs),
            _figures(
                "long-running",
                [job for job in known.values() if job.accepted.lasts],
            ),
            [
                _figures(queue, members)
                for queue, members in sorted(
                    _group_by(jobs, lambda job: job.accepted.queue).items()
                )
            ],
            _tenant_figures(jobs),
            [
                _figures(name, [job for _, job in members])
                for name, members in sizes.items()
            ],
            self._overtaken(sizes.get("largest tenth", [])),
            dict(collections.Counter(move.verdict for move in self._moves)),
            self._pool_figures(),
            len(self._jobs) - len(known),
            self._unusable,
            dict(self._left_out),
            self._dropped,
        )

    def _add_job(self, at: float, accepted: _JobAccepted) -> None:
        job = self._jobs[accepted.job]
        if at < job.accepted_at:
            job.accepted, job.accepted_at = accepted, at

    def _add_placement(self, at: float, placed: _TaskPlaced) -> None:
        job = self._jobs[placed.job]
        job.placed_at = min(job.placed_at, at)
        if placed.pool is not None:
            self._placed[placed.pool].append(
                (at, placed.cpu, len(placed.workers))
            )

    def _add_end(self, at: float, end: _RunEnded) -> None:
        job = self._jobs[end.job]
        if end.how == "done":
            job.done_at[end.task] = min(at, job.done_at.get(end.task, at))
        elif end.how in _STOP_ENDS | _LEASE_ENDS:
            job.lost_runs[end.task, end.run] = at, end

    def _add_cancellation(self, at: float, cancelled: _JobNamed) -> None:
        job = self._jobs[cancelled.job]
        job.cancelled_at = min(job.cancelled_at, at)

    def _add_failure(self, at: float, failed: _JobNamed) -> None:
        self._jobs[failed.job].has_failed = True

    def _add_move(self, at: float, move: _MachineMoved) -> None:
        self._moves.append(move)

    def _add_pool(self, at: float, state: _PoolState) -> None:
        self._states[state.pool].append((at, state))

    def _add_left_out(self, at: float, left_out: _LinesLeftOut) -> None:
        self._left_out.update(left_out.events)

    def _add_dropped(self, at: float, dropped: _LinesDropped) -> None:
        self._dropped += dropped.count

    def _overtaken(self, largest: list[tuple[str, _Job]]) -> list[Overtaken]:
        placed = {pool: sorted(rows) for pool, rows in self._placed.items()}
        result = []
        for job_id, job in largest:
            accepted = job.accepted
            until = min(job.placed_at, job.cancelled_at, self._end_at)
            rows = placed.get(accepted.pool, [])
            begin = bisect.bisect_left(rows, (job.accepted_at,))
            end = bisect.bisect_left(rows, (until,))
            result.append(
                Overtaken(
                    job_id,
                    accepted.pool or "",
                    accepted.largest_cpu,
                    max(0.0, until - job.accepted_at),
                    job.has_started,
                    sum(
                        count
                        for _, cpu, count in rows[begin:end]
                        if cpu < accepted.largest_cpu
                    ),
                )
            )
        return sorted(result, key=lambda row: (-row.smaller_tasks, row.job))

    def _pool_figures(self) -> list[PoolFigures]:
        pools: dict[str, PoolFigures] = {}

        def figures(pool: str) -> PoolFigures:
            return pools.setdefault(pool, PoolFigures(pool))

        for move in self._moves:
            if move.verdict == _MOVED:
                figures(move.origin).moved_out += 1
                figures(move.destination).moved_in += 1
        for pool, states in self._states.items():
            ordered = sorted(states, key=lambda entry: entry[0])
            nexts = [at for at, _ in ordered[1:]] + [self._end_at]
            for (at, state), next_at in zip(ordered, nexts, strict=True):
                seconds = state.machines * (next_at - at)
                figures(pool).machine_seconds += seconds
                if not state.has_work and not state.is_spare:
                    figures(pool).idle_machine_seconds += seconds
        return sorted(pools.values(), key=lambda row: row.pool)


def _figures(group: str, jobs: list[_Job]) -> GroupFigures:
    waits = sorted(
        job.wait_seconds
        for job in jobs
        if job.has_started and not job.accepted.repeats
    )
    return GroupFigures(
        group,
        len(jobs),
        sum(job.has_started for job in jobs),
        sum(job.has_ended for job in jobs),
        sum(job.has_objective for job in jobs),
        sum(job.is_in_objective for job in jobs),
        sum(job.cancelled_at < math.inf for job in jobs),
        sum(job.has_failed for job in jobs),
        _quantile(waits, 0.5),
        _quantile(waits, 0.95),
        sum(job.lost_core_seconds(_STOP_ENDS) for job in jobs),
        sum(job.lost_core_seconds(_LEASE_ENDS) for job in jobs),
    )


def _tenant_figures(jobs: list[_Job]) -> list[GroupFigures]:
    by_tenant = _group_by(jobs, lambda job: job.accepted.tenant)
    ranked = sorted(
        by_tenant, key=lambda tenant: (_submitted(by_tenant[tenant]), tenant)
    )[::-1]
    tenth = math.ceil(len(ranked) / 10)
    smallest = ranked[tenth:][-tenth:]
    rest = ranked[tenth : len(ranked) - len(smallest)]
    groups = {
        "largest tenth": ranked[:tenth],
        "rest": rest,
        "smallest tenth": smallest,
    }
    return [
        _figures(name, list(itertools.chain(*(by_tenant[t] for t in tenants))))
        for name, tenants in groups.items()
        if tenants
    ]


def _submitted(jobs: list[_Job]) -> tuple[float, int]:
    """Return the work of some jobs, and their tasks in case it is unknown."""
    return (
        sum(job.accepted.core_seconds for job in jobs),
        sum(job.accepted.tasks for job in jobs),
    )


def _split_by_size(jobs: dict[str, _Job]) -> dict[str, list[tuple[str, _Job]]]:
    """Return jobs by the CPU of their largest task, by name of the group."""
    ranked = sorted(
        ((i, job) for i, job in jobs.items() if job.accepted.largest_cpu),
        key=lambda entry: (-entry[1].accepted.largest_cpu, entry[0]),
    )
    tenth = math.ceil(len(ranked) / 10)
    fifth = tenth + math.ceil(len(ranked) / 5)
    groups = {
        "largest tenth": ranked[:tenth],
        "next fifth": ranked[tenth:fifth],
        "rest": ranked[fifth:],
        "size not in the log": [
            (i, job) for i, job in jobs.items() if not job.accepted.largest_cpu
        ],
    }
    return {name: members for name, members in groups.items() if members}


def _group_by(
    jobs: list[_Job], key: Callable[[_Job], str]
) -> dict[str, list[_Job]]:
    groups: dict[str, list[_Job]] = {}
    for job in jobs:
        groups.setdefault(key(job), []).append(job)
    return groups


def _quantile(ordered: list[float], share: float) -> float | None:
    """Return a quantile by nearest rank, or None of no values."""
    if not ordered:
        return None
    return ordered[math.ceil(share * len(ordered)) - 1]
