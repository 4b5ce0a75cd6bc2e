"""Replay of tasks on the workers of one pool, in virtual time."""

import dataclasses
import math
import random

from galenarill.jobs import Step, TaskKey
from galenarill.placement import (
    AvailableWorker,
    Candidate,
    Horizon,
    Packer,
    Reservation,
    ReservationBook,
    choose_reservations,
)
from galenarill.routing import Resources
from galenarill.workers import WorkerReport

CPU = 16
ROUND_SECONDS = 0.05
# Time without a worker after which a task gets a reservation, in seconds.
DELAY_SECONDS = 0.5


def worker(name, cpu=CPU, free=None, **options):
    report = WorkerReport(
        name, 1, 1, "p", "", "h:1", "a", "r1", (), Resources(cpu)
    )
    return AvailableWorker(
        report, Resources(cpu if free is None else free), **options
    )


@dataclasses.dataclass(slots=True)
class Task:
    """A task; `seconds` is its duration, `expected` the expected one."""

    arrives_at: float
    cpu: int
    seconds: float
    expected: float | None = None
    started_at: float = math.inf
    worker: str = ""

    @property
    def latest_start_at(self):
        """Latest start for an objective of 1.5 times the duration and 0.6 s."""
        return self.arrives_at + 0.5 * (self.expected or self.seconds) + 0.6

    @property
    def ends_at(self):
        return self.started_at + self.seconds

    def expected_end(self, now):
        end = self.started_at + (self.expected or self.seconds)
        return max(end, now + 0.25)


def mixed_load(seed, rate, until, is_rough=False):
    """Return small tasks, and a tenth that need most of a worker.

    With `is_rough`, expected durations are off by up to 40%, and a twentieth of
    the tasks run seven times as long.
    """
    rng = random.Random(seed)
    tasks, now = [], 0.0
    while now < until:
        now += rng.expovariate(rate)
        is_large = rng.random() < 0.1
        cpu = rng.choice((12, 13, 14, 15) if is_large else (2, 3, 4))
        seconds = expected = (
            rng.uniform(1, 4) if is_large else rng.choice((0.6, 1.0, 1.5, 2.5))
        )
        if is_rough:
            expected *= rng.uniform(0.7, 1.4)
            seconds *= 7 if rng.random() < 0.05 else 1
        tasks.append(Task(now, cpu, seconds, expected))
    return tasks


class Replay:
    """Plays tasks on a pool in the order of their arrival.

    At most `limit` tasks have a reservation. With `holds`, each of them holds a
    whole worker instead, the one on which the least is missing.
    """

    def __init__(
        self, tasks, workers=8, looks_ahead=True, limit=0, holds=False
    ):
        self.limit, self.holds = limit, holds
        self.reserved = []
        self.tasks = sorted(tasks, key=lambda task: task.arrives_at)
        self.workers = [f"w{number:02}" for number in range(workers)]
        self.looks_ahead = looks_ahead
        self.now = 0.0
        # Core-seconds of capacity used, and workers idle, at each round.
        self.used, self.idle = [], []

    def share_in_time(self, is_large):
        """Return the share of large or other tasks that started in time."""
        tasks = [task for task in self.tasks if (task.cpu >= 12) == is_large]
        return sum(t.started_at <= t.latest_start_at for t in tasks) / len(
            tasks
        )

    @property
    def use(self):
        """Mean share of the capacity in use."""
        return sum(self.used) / len(self.used) / CPU / len(self.workers)

    def running(self):
        return [t for t in self.tasks if t.started_at <= self.now < t.ends_at]

    def waiting(self):
        """Return the tasks in order: late ones last, by age."""
        return sorted(
            (
                (number, task)
                for number, task in enumerate(self.tasks)
                if task.arrives_at <= self.now and task.started_at == math.inf
            ),
            key=lambda entry: (
                self.now > entry[1].latest_start_at,
                entry[1].latest_start_at,
            ),
        )

    def candidate(self, number):
        task = self.tasks[number]
        step = Step(1, Resources(task.cpu))
        ends_at = self.now + (task.expected or task.seconds)
        return Candidate(
            f"j{number:04}",
            TaskKey(0, 0, 0),
            step,
            "p",
            "t",
            ends_at=ends_at if self.looks_ahead else -math.inf,
        )

    def available(self, running):
        members = []
        for name in self.workers:
            here = [task for task in running if task.worker == name]
            members.append(
                worker(
                    name,
                    free=CPU - sum(task.cpu for task in here),
                    idle_at=max(
                        (t.expected_end(self.now) for t in here),
                        default=self.now,
                    ),
                )
            )
        return members

    def reserve(self, available, running):
        owners = {r.owner for r in self.reserved}
        overdue = [
            (self.now > task.latest_start_at, self.candidate(number))
            for number, task in self.waiting()
            if self.now >= task.arrives_at + DELAY_SECONDS
        ]
        # Late ones last, and in a class those that have a reservation first.
        overdue.sort(
            key=lambda entry: (entry[0], entry[1].step_id not in owners)
        )
        waiting = [candidate for _, candidate in overdue[: self.limit]]
        if self.holds:
            previous = {r.owner: r.worker for r in self.reserved}
            return self.hold(waiting, available, previous)
        return choose_reservations(
            waiting,
            {"p": available},
            Horizon(
                self.now,
                lambda name: [
                    (task.expected_end(self.now), Resources(task.cpu))
                    for task in running
                    if task.worker == name
                ],
            ),
            [(r.owner, r.worker) for r in self.reserved],
        )

    def hold(self, waiting, available, previous):
        held = []
        for candidate in waiting:
            free = [
                w
                for w in available
                if w.report.worker not in {r.worker for r in held}
            ]
            kept = previous.get(candidate.step_id)
            best = max(
                free,
                key=lambda w: (w.report.worker == kept, w.free.cpu),
                default=None,
            )
            if best is not None:
                held.append(
                    Reservation(
                        candidate.step_id,
                        best.report.worker,
                        candidate.step.need,
                        -math.inf,
                        Resources(),
                    )
                )
        return held

    def play(self, until):
        while self.now < until:
            running = self.running()
            available = self.available(running)
            self.reserved = self.reserve(available, running)
            packer = Packer(
                {"p": available}, {}, (), ReservationBook(self.reserved)
            )
            for number, task in self.waiting():
                placement = packer.place(self.candidate(number))
                if placement is not None:
                    task.started_at = self.now
                    task.worker = placement.members[0][1].worker
            running = self.running()
            self.used.append(sum(task.cpu for task in running))
            self.idle.append(
                len(self.workers) - len({task.worker for task in running})
            )
            self.now += ROUND_SECONDS
        return self
