"""Weighted fair sharing of slot time between teams."""

import dataclasses
from collections.abc import Collection

from galenarill.common import TeamId

__all__ = ["ShareAccount", "TeamUsage"]

# Maximum time for which a team is credited with slots that it didn't use.
MAX_CREDIT_SECONDS = 1.0
# Initial value of the mean holding time of a permit, and the gain with which
# the mean follows the observed holding times.
INITIAL_HOLD_SECONDS = 0.25
HOLD_GAIN = 1 / 8


@dataclasses.dataclass(slots=True)
class TeamUsage:
    """Slot time used by one team in one pool.

    Attributes:
        weight: Share of the team.
        running: Number of permits granted and not returned.
        start_time_sum: Sum of the times at which these were granted, in
            seconds.
        virtual_time: Slot seconds charged so far, divided by the weight.
    """

    weight: float
    running: int = 0
    start_time_sum: float = 0.0
    virtual_time: float = 0.0


class ShareAccount:
    """Weighted fair queueing of the slots of one pool between teams.

    A team's virtual time is its slot seconds divided by its weight. The next
    slot goes to the team with the smallest expected virtual time at the end of
    the permit. Outstanding permits count with their elapsed time plus the mean
    holding time, so that slots that become free together are divided by share.
    A team that was idle resumes at the virtual time of the others, less a
    bounded credit.

    Choosing a team takes time linear in the number of candidate teams.

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
        """Initialize an account without teams."""
        self._usage: dict[TeamId, TeamUsage] = {}
        # Smallest virtual time of the active teams; never decreases.
        self._min_virtual_time = 0.0
        self._hold_seconds = INITIAL_HOLD_SECONDS

    def set_weight(self, team: TeamId, weight: float) -> None:
        """Set the share of `team`, keeping its virtual time."""
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
        """Return the team that gets the next slot.

        Args:
            teams: Teams with waiting requests below their allotment; not
                empty.
            now: Monotonic time in seconds.
            slots: Number of slots of the pool, which scales the credit.

        Returns:
            The team with the smallest expected virtual time.
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
        """Record that `team` was granted a permit at `now`."""
        usage = self._usage[team]
        usage.running += 1
        usage.start_time_sum += now

    def finish(self, team: TeamId, since: float, now: float) -> None:
        """Charge `team` for a permit held from `since` to `now`."""
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
        """Return the virtual time of the permits held and one more.

        Each of them counts with the mean holding time.
        """
        usage = self._usage[team]
        return (usage.running + 1) * self._hold_seconds / usage.weight

    def _active_weight(self, teams: Collection[TeamId]) -> float:
        """Return the sum of the weights of waiting and running teams."""
        return sum(
            usage.weight
            for team, usage in self._usage.items()
            if usage.running or team in teams
        )
