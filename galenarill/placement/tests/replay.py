"""Replay of tasks on the workers of one pool, in virtual time."""

import dataclasses
import math

from galenarill.jobs import Step, TaskKey
from galenarill.placement import AvailableWorker, Candidate, Packer
from galenarill.routing import Resources
from galenarill.workers import WorkerReport

CPU = 16
ROUND_SECONDS = 0.05


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
    def ends_at(self):
        return self.started_at + self.seconds

    def expected_end(self, now):
        end = self.started_at + (self.expected or self.seconds)
        return max(end, now + 0.25)


class Replay:
    """Plays tasks on a pool in the order of their arrival."""

    def __init__(self, tasks, workers=8, looks_ahead=True):
        self.tasks = sorted(tasks, key=lambda task: task.arrives_at)
        self.workers = [f"w{number:02}" for number in range(workers)]
        self.looks_ahead = looks_ahead
        self.now = 0.0
        # Core-seconds of capacity used, and workers idle, at each round.
        self.used, self.idle = [], []

    def running(self):
        return [t for t in self.tasks if t.started_at <= self.now < t.ends_at]

    def waiting(self):
        return [
            (number, task)
            for number, task in enumerate(self.tasks)
            if task.arrives_at <= self.now and task.started_at == math.inf
        ]

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

    def make_packer(self, available, running):
        return Packer({"p": available}, {})

    def play(self, until):
        while self.now < until:
            running = self.running()
            packer = self.make_packer(self.available(running), running)
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
