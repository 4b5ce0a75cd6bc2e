"""Replay of tasks on the workers of one pool, in virtual time."""

import dataclasses
import math

from galenarill.jobs import Step, TaskKey
from galenarill.placement import (
    AvailableWorker,
    Candidate,
    Horizon,
    Packer,
    ReservationBook,
    choose_reservations,
)
from galenarill.routing import Resources
from galenarill.workers import WorkerReport

__all__ = [
    "CPU",
    "DELAY_SECONDS",
    "ROUND_SECONDS",
    "Replay",
    "Task",
    "worker",
]

CPU = 16
ROUND_SECONDS = 0.05
# Time without a worker after which a task gets a reservation, in seconds.
DELAY_SECONDS = 0.5


def worker(name, cpu=CPU, free=None, **options):
    """Return a worker of the pool."""
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
        """Actual end."""
        return self.started_at + self.seconds

    def expected_end(self, now):
        """Return the expected end of a run that has not ended."""
        end = self.started_at + (self.expected or self.seconds)
        return max(end, now + 0.25)


class Replay:
    """Plays tasks on a pool in the order of their arrival.

    Late tasks come last. At most `limit` tasks have a reservation.
    """

    def __init__(self, tasks, workers=8, looks_ahead=True, limit=0):
        """Create a replay on idle workers."""
        self.limit = limit
        self.reserved = []
        self.tasks = sorted(tasks, key=lambda task: task.arrives_at)
        self.workers = [f"w{number:02}" for number in range(workers)]
        self.looks_ahead = looks_ahead
        self.now = 0.0
        # Core-seconds of capacity used, and workers idle, at each round.
        self.used, self.idle = [], []

    @property
    def use(self):
        """Mean share of the capacity in use."""
        return sum(self.used) / len(self.used) / CPU / len(self.workers)

    def running(self):
        """Return the tasks that run now."""
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
        """Return the candidate for a task."""
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
        """Return the workers with their free capacity."""
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
        """Return the reservations of a round."""
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
        return self.choose(waiting, available, running)

    def choose(self, waiting, available, running):
        """Return the reservations for tasks that have waited."""
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

    def play(self, until):
        """Play rounds until a time, and return this replay."""
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
