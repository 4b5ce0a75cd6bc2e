"""Weighted fair sharing of slot time between teams."""

import dataclasses
from collections.abc import Iterable

from galenarill.world import TeamId

__all__ = ["ShareAccount", "TeamUsage"]

# Longest time for which a team that could not use its share is owed it.
CREDIT_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class TeamUsage:
    """Slot time of one team in one pool.

    Attributes:
        weight: Share of the team.
        running: Permits out.
        since_sum: Sum of the times at which those were given, in seconds.
        virtual: Slot seconds used so far, divided by the weight.
    """

    weight: float
    running: int = 0
    since_sum: float = 0.0
    virtual: float = 0.0


class ShareAccount:
    """Slot time that the teams of one pool have used.

    Start-time fair queueing: the next slot goes to the team with the smallest
    virtual time, which is slot seconds divided by weight. The time of permits
    still out counts as it passes. A team that was away resumes at the virtual
    time of the others, less a bounded credit.

    Choosing costs one comparison for each candidate team.

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
        self._floor = 0.0

    def set_weight(self, team: TeamId, weight: float) -> None:
        """Set the share of `team`; virtual time used so far stays."""
        usage = self._usage.get(team)
        if usage is None:
            self._usage[team] = TeamUsage(weight, virtual=self._floor)
        else:
            usage.weight = weight

    def next_team(
        self, teams: Iterable[TeamId], now: float, slots: int
    ) -> TeamId:
        """Return the team that the next slot belongs to.

        Args:
            teams: Teams that wait and may run more; at least one.
            now: Time in seconds.
            slots: Slots of the pool, which scale the credit.

        Returns:
            The team furthest behind its share.
        """
        credit = CREDIT_SECONDS * slots / self._active_weight()
        best = None
        best_virtual = 0.0
        for team in teams:
            virtual = max(
                self._virtual_at(team, now),
                self._floor - credit,
            )
            if best is None or (virtual, team) < (best_virtual, best):
                best, best_virtual = team, virtual
        usage = self._usage[best]
        lag = best_virtual - self._virtual_at(best, now)
        usage.virtual += lag
        self._floor = max(self._floor, best_virtual)
        return best

    def start(self, team: TeamId, now: float) -> None:
        """Count a permit given to `team` at `now`."""
        usage = self._usage[team]
        usage.running += 1
        usage.since_sum += now

    def finish(self, team: TeamId, since: float, now: float) -> None:
        """Charge a permit of `team` that was out from `since` to `now`."""
        usage = self._usage[team]
        usage.running -= 1
        usage.since_sum -= since
        usage.virtual += (now - since) / usage.weight

    def _virtual_at(self, team: TeamId, now: float) -> float:
        usage = self._usage[team]
        accrued = usage.running * now - usage.since_sum
        return usage.virtual + accrued / usage.weight

    def _active_weight(self) -> float:
        active = sum(
            usage.weight for usage in self._usage.values() if usage.running
        )
        return active or 1.0
