"""Weighted fair sharing of slot time between teams."""

import dataclasses
from collections.abc import Collection

from galenarill.world import TeamId

__all__ = ["ShareAccount", "TeamUsage"]

# Longest time for which a team that could not use its share is owed it.
MAX_CREDIT_SECONDS = 1.0
# Time for which a permit is expected to be out before any has come back, and
# the gain with which the mean follows.
INITIAL_HOLD_SECONDS = 0.25
HOLD_GAIN = 1 / 8


@dataclasses.dataclass(slots=True)
class TeamUsage:
    """Slot time of one team in one pool.

    Attributes:
        weight: Share of the team.
        running: Permits out.
        start_time_sum: Sum of the times at which those were given, in seconds.
        virtual_time: Slot seconds used so far, divided by the weight.
    """

    weight: float
    running: int = 0
    start_time_sum: float = 0.0
    virtual_time: float = 0.0


class ShareAccount:
    """Slot time that the teams of one pool have used.

    Weighted fair queueing: a team's virtual time is its slot seconds divided by
    its weight, and the next slot goes to the team whose virtual time would be
    smallest at the end of it. Permits still out count for the time that has
    passed and for the mean time that they are out, so that slots that become
    free together are divided by share. A team that was away resumes at the
    virtual time of the others, less a bounded credit.

    Choosing costs one comparison for each candidate team.

    References:
        Demers, Keshav, Shenker. Analysis and Simulation of a Fair Queueing
        Algorithm. SIGCOMM 1989.

    Example:
        >>> account = ShareAccount()
        >>> account.set_weight("a", 2.0)
        >>> account.set_weight("b", 1.0)
        >>> out = []
        >>> for _ in range(6):
        ...     team = account.next_team(["a", "b"], now=0.0, slots=6)
        ...     account.start(team, now=0.0)
        ...     account.finish(team, since=0.0, now=1.0)
        ...     out.append(team)
        >>> out.count("a"), out.count("b")
        (4, 2)
    """

    def __init__(self):
        """Make an account without teams."""
        self._usage: dict[TeamId, TeamUsage] = {}
        # Virtual time of the active team that is furthest behind.
        self._min_virtual_time = 0.0
        self._hold_seconds = INITIAL_HOLD_SECONDS

    def set_weight(self, team: TeamId, weight: float) -> None:
        """Set the share of `team`; virtual time used so far stays."""
        usage = self._usage.get(team)
        if usage is None:
            self._usage[team] = TeamUsage(
                weight, virtual_time=self._min_virtual_time
            )
        else:
            usage.weight = weight

    def next_team(
        self, teams: Collection[TeamId], now: float, slots: int
    ) -> TeamId:
        """Return the team that the next slot belongs to.

        Args:
            teams: Teams that wait and may run more; at least one.
            now: Time in seconds.
            slots: Slots of the pool, which scale the credit.

        Returns:
            The team furthest behind its share.
        """
        credit = MAX_CREDIT_SECONDS * slots / self._active_weight(teams)
        virtual_times = {
            team: max(
                self._virtual_time_at(team, now),
                self._min_virtual_time - credit,
            )
            for team in teams
        }
        self._min_virtual_time = max(
            self._min_virtual_time, min(virtual_times.values())
        )
        best = min(
            teams,
            key=lambda team: (
                virtual_times[team] + self._expected_charge(team),
                team,
            ),
        )
        usage = self._usage[best]
        usage.virtual_time += virtual_times[best] - self._virtual_time_at(
            best, now
        )
        return best

    def start(self, team: TeamId, now: float) -> None:
        """Count a permit given to `team` at `now`."""
        usage = self._usage[team]
        usage.running += 1
        usage.start_time_sum += now

    def finish(self, team: TeamId, since: float, now: float) -> None:
        """Charge a permit of `team` that was out from `since` to `now`."""
        usage = self._usage[team]
        usage.running -= 1
        usage.start_time_sum -= since
        usage.virtual_time += (now - since) / usage.weight
        self._hold_seconds += HOLD_GAIN * (now - since - self._hold_seconds)

    def _virtual_time_at(self, team: TeamId, now: float) -> float:
        usage = self._usage[team]
        accrued = usage.running * now - usage.start_time_sum
        return usage.virtual_time + accrued / usage.weight

    def _expected_charge(self, team: TeamId) -> float:
        """Return the virtual time that one more permit is expected to add."""
        usage = self._usage[team]
        return (usage.running + 1) * self._hold_seconds / usage.weight

    def _active_weight(self, teams: Collection[TeamId]) -> float:
        """Return the shares of the teams that wait or run something."""
        return sum(
            usage.weight
            for team, usage in self._usage.items()
            if usage.running or team in teams
        )
