"""Random plays of a tenant's jobs under limits that change, with checks."""

import asyncio
import random

import msgspec

from galenarill.coordinator.tests.simulation import make_configuration
from galenarill.jobs import Configure, JobStatus, Step
from galenarill.routing import Resources, Tenant

__all__ = ["LimitPlay", "set_limit"]

WORKER = Resources(4, 1000)
# Time without disruptions, and the time for which a job may then be owed a
# start, in seconds.
CALM_SECONDS = 7.0
OWED_SECONDS = 3.0
# Time for which an earlier limit may still be in force, in seconds.
LIMIT_SECONDS = 2.0


def set_limit(simulation, cpu, mem_mb=0):
    """Put a configuration with an upper limit of tenant "t" in force."""
    version = simulation.state.routing.configuration.version + 1
    tenant = Tenant("t", ("key",), 1.0, Resources(cpu, mem_mb))
    configuration = msgspec.structs.replace(
        make_configuration(version), tenants=(tenant,)
    )
    simulation.call(simulation.apply, [Configure(configuration)])


class LimitPlay:
    """A random play.

    Attributes:
        log: Time and name of each event.
        owed: Time and job of each start that was owed for too long.
    """

    def __init__(self, simulation, seed):
        """Prepare a play on a simulation without jobs."""
        self.log = []
        self.owed = []
        self._simulation = simulation
        self._rng = random.Random(seed)
        self._limits = [(0.0, Resources())]
        self._calm_from = 0.0
        self._steps = {}

    def play(self, seconds=90.0, quiet_seconds=60.0):
        """Submit, cancel, change limits and disrupt, then only watch."""
        simulation, rng = self._simulation, self._rng
        watcher = simulation.call(asyncio.ensure_future, self._watch())
        ends_at = simulation.loop.time() + seconds
        while simulation.loop.time() < ends_at:
            events = [self._cancel, self._change_limit, self._disrupt]
            event = rng.choice([*events, *[self._submit] * 4])
            self.log.append((round(simulation.loop.time(), 2), event.__name__))
            event()
            simulation.advance(rng.choice([0.05, 0.3, 1.0, 4.0, 9.0]))
        simulation.network.cut.clear()
        simulation.advance(quiet_seconds)
        simulation.call(watcher.cancel)

    def starts_above_limit(self):
        """Return the starts by a tenant that had reached its limit."""
        history = self._simulation.network.history
        return [
            (begun, used)
            for number, begun in enumerate(history)
            for used in [self._usage(begun.begun_at, history[:number])]
            if any(
                all(
                    limit and need and used >= limit
                    for limit in self._limits_of(name, begun.begun_at)
                )
                for name, need, used in _by_name(self._need(begun), used)
            )
        ]

    def _usage(self, at, records):
        used = Resources()
        for record in records:
            if record.ended_at is None or record.ended_at > at:
                used = used.plus(self._need(record))
        return used

    def _need(self, record):
        return self._steps[record.task.partition(".")[0]].need

    def _limits_of(self, name, at):
        """Return the limits of a resource that may be in force."""
        last = max(
            n for n, (since, _) in enumerate(self._limits) if since <= at
        )
        return [
            getattr(limit, name)
            for number, (_, limit) in enumerate(self._limits[: last + 1])
            if number == last
            or self._limits[number + 1][0] > at - LIMIT_SECONDS
        ]

    async def _watch(self):
        """Record the jobs that are owed a start for too long."""
        loop = asyncio.get_running_loop()
        owed_since = {}
        while True:
            now = loop.time()
            is_calm = now >= self._calm_from + CALM_SECONDS
            owed = self._owed_jobs() if is_calm else ()
            owed_since = {job: owed_since.get(job, now) for job in owed}
            for job, since in owed_since.items():
                if now >= since + OWED_SECONDS:
                    self.owed.append((round(now, 2), job))
            await asyncio.sleep(0.1)

    def _owed_jobs(self):
        """Return the jobs without a run for which there is more than room.

        Gangs are left out: their members could exceed the limit by more than
        one task.
        """
        simulation = self._simulation
        workers = simulation.network.workers.values()
        used = {w: self._usage(0.0, w.records) for w in workers}
        total = Resources()
        for amount in used.values():
            total = total.plus(amount)
        fleet = WORKER.times(len(used))
        (_, limit) = self._limits[-1]
        if any(
            2 * amount >= whole
            for name, amount, whole in _by_name(total, fleet)
        ) or any(
            2 * amount >= most > 0
            for name, amount, most in _by_name(total, limit)
        ):
            return []
        running = {r.task.partition(".")[0] for w in workers for r in w.records}
        return [
            job.id
            for job in simulation.state.jobs.values()
            if job.status is JobStatus.ACTIVE
            and job.id not in running
            and not self._steps[job.id].is_gang
            and sum(
                self._steps[job.id].need.fits(WORKER.minus(amount))
                for amount in used.values()
            )
            >= 2
        ]

    def _submit(self):
        rng = self._rng
        kind = rng.choice(["finite", "finite", "lasting", "gang"])
        need = Resources(rng.randint(1, 4), rng.choice([1, 100, 400]))
        step = Step(
            rng.randint(2, 3) if kind == "gang" else rng.randint(1, 5),
            need,
            is_gang=kind == "gang",
            is_long_running=kind == "lasting",
        )
        job = f"{kind[0]}{len(self._steps)}"
        self._steps[job] = step
        if step.is_gang:
            self._simulation.network.gangs.add(f"{job}.0.0")
        self._simulation.submit_step(job, step, "t")

    def _cancel(self):
        active = [
            job.id
            for job in self._simulation.state.jobs.values()
            if job.status is JobStatus.ACTIVE
        ]
        if active:
            self._simulation.cancel(self._rng.choice(active))

    def _change_limit(self):
        limit = Resources(
            self._rng.choice([0, 1, 2, 3, 5, 8, 12]),
            self._rng.choice([0, 0, 150, 900, 1800]),
        )
        self._limits.append((self._simulation.loop.time(), limit))
        self._calm_from = self._simulation.loop.time()
        set_limit(self._simulation, limit.cpu, limit.mem_mb)

    def _disrupt(self):
        simulation, rng = self._simulation, self._rng
        self._calm_from = simulation.loop.time()
        worker = rng.choice(sorted(simulation.network.workers))
        kind = rng.choice(["takeover", "cut", "crash"])
        if kind == "takeover":
            simulation.take_over()
        elif kind == "cut":
            simulation.network.cut.add(worker)
            simulation.advance(rng.choice([0.5, 2.0, 6.0]))
            simulation.network.cut.clear()
            self._calm_from = simulation.loop.time()
        else:
            simulation.restart_worker(worker.partition(":")[0])


def _by_name(one, other):
    """Return the name of each resource and both amounts of it."""
    return [
        (name, getattr(one, name), getattr(other, name))
        for name in ("cpu", "mem_mb")
    ]
