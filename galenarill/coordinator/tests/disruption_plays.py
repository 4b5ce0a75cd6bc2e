"""Random plays of waves, losses and takeovers, judged by an audit."""

import dataclasses
import random

from galenarill.coordinator.tests.machines import start_wave, take_over
from galenarill.pools import MachineState, MachineVerdict

__all__ = ["Play", "play"]

RACK_SIZE = 3
# Time in which the fleet recovers after the last disruption, in seconds.
CALM_SECONDS = 60.0


@dataclasses.dataclass
class Play:
    """A random play.

    Attributes:
        seed: Seed of every choice.
        machines: Number of machines of the pool; a third as many are spare.
        seconds: Time with disruptions, in virtual seconds.
        log: Time and name of each disruption.
        waves: Number of waves so far.
        rng: Generator of every choice.
    """

    seed: int
    machines: int = 9
    seconds: float = 90.0
    log: list = dataclasses.field(default_factory=list)
    waves: int = 0

    def __post_init__(self):
        """Seed the generator."""
        self.rng = random.Random(self.seed)


def play(make, seed, **options):
    """Play a day with several waves at once and random disruptions.

    Returns:
        The simulation, its machines and the play.
    """
    game = Play(seed, **options)
    rng = game.rng
    pools = {f"n{n}": "pool" for n in range(game.machines)}
    pools |= {f"s{n}": "spare" for n in range(game.machines // 3)}
    simulation, platform = make(
        pools,
        seed=seed,
        seconds_of=lambda task, run: (
            (999.0, "done")
            if task.startswith("l")
            else (rng.choice([0.3, 1.0, 2.5]), "done")
        ),
    )
    network = simulation.network
    network.resets_connections = rng.random() < 0.5
    network.startup_seconds = rng.choice([0.0, 0.4])
    for number in range(rng.randint(1, 3)):
        max_per_worker = rng.randint(1, 2)
        simulation.submit(
            f"l{number}",
            count=rng.randint(2, game.machines - 2),
            is_long_running=True,
            max_per_worker=max_per_worker,
            max_unavailable=rng.choice([1, 1, 1, 2]),
        )
    simulation.advance(4)
    disruptions = [
        _start_wave,
        _take_over,
        _lose_rack,
        _lose_machine,
        _cut_workers,
        _submit,
        _delay_orders,
        _delay_machine_orders,
        _refuse_orders,
        _slow_log,
    ]
    ends_at = simulation.loop.time() + game.seconds
    jobs = 0
    while simulation.loop.time() < ends_at:
        disruption = rng.choice([*disruptions, _start_wave, _take_over])
        game.log.append((round(simulation.loop.time(), 2), disruption.__name__))
        jobs += 1
        disruption(game, simulation, platform, jobs)
        simulation.advance(rng.choice([0.05, 0.2, 0.7, 2.0, 5.0]))
    _calm(simulation, platform)
    simulation.advance(CALM_SECONDS)
    return simulation, platform, game


def _calm(simulation, platform):
    network = simulation.network
    network.cut.clear()
    network.loss = network.lateness = 0.0
    platform.loss = platform.lateness = platform.delay_seconds = 0.0
    platform.refusals.clear()
    simulation.commit_seconds = 0.02


def _start_wave(game, simulation, platform, number):
    if sum(not w.is_completed for w in simulation.state.waves.values()) >= 3:
        return
    names = sorted(platform.machines)
    game.waves += 1
    start_wave(
        simulation,
        game.rng.sample(names, game.rng.randint(1, len(names))),
        game.rng.randint(1, 4),
        seconds=game.rng.choice([5.0, 20.0, 40.0]),
        wave=game.waves,
    )


def _take_over(game, simulation, platform, number):
    take_over(simulation, platform)


def _lose_rack(game, simulation, platform, number):
    first = game.rng.randrange(0, game.machines, RACK_SIZE)
    seconds = game.rng.choice([2.0, 6.0, 12.0])
    for n in range(first, min(first + RACK_SIZE, game.machines)):
        simulation.call(platform.lose, f"n{n}", seconds)


def _lose_machine(game, simulation, platform, number):
    up = [m.id for m in platform.machines.values() if m.worker]
    if up:
        simulation.call(
            platform.lose,
            game.rng.choice(sorted(up)),
            game.rng.choice([0.0, 1.0, 8.0]),
        )


def _cut_workers(game, simulation, platform, number):
    addresses = sorted(simulation.network.workers)
    cut = game.rng.sample(addresses, game.rng.randint(1, 3))
    simulation.network.cut.update(cut)
    simulation.call(
        simulation.loop.call_later,
        game.rng.choice([0.5, 2.0, 6.0]),
        simulation.network.cut.difference_update,
        cut,
    )


def _submit(game, simulation, platform, number):
    simulation.submit(f"j{number}", count=game.rng.randint(1, 12))


def _delay_orders(game, simulation, platform, number):
    simulation.network.lateness = game.rng.choice([0.0, 0.0, 0.3])
    simulation.network.loss = game.rng.choice([0.0, 0.0, 0.2])


def _delay_machine_orders(game, simulation, platform, number):
    platform.lateness = game.rng.choice([0.0, 0.5])
    platform.loss = game.rng.choice([0.0, 0.3])
    platform.delay_seconds = game.rng.choice([0.0, 0.0, 0.6, 1.4])


def _refuse_orders(game, simulation, platform, number):
    up = [m for m in platform.machines.values() if m.state is MachineState.UP]
    if up:
        platform.refusals = game.rng.choices(
            [MachineVerdict.BUSY, MachineVerdict.RATE_LIMITED],
            k=game.rng.randint(1, 12),
        )


def _slow_log(game, simulation, platform, number):
    simulation.commit_seconds = game.rng.choice([0.02, 0.02, 0.5, 2.0])
