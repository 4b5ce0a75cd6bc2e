"""Turns for waiting tasks when only some of them can be looked at."""

from collections.abc import Hashable, Iterable

__all__ = ["Turns"]


class Turns:
    """Chooses a few of many waiting tasks, so that each gets its turn.

    A task for which nothing could be done goes behind the others. Otherwise it
    would keep them from being looked at for good.

    Example:
        >>> turns = Turns(2)
        >>> turns.take(["a", "b", "c"])
        ['a', 'b']
        >>> turns.pass_over("a")
        >>> turns.take(["a", "b", "c"])
        ['b', 'c']
    """

    def __init__(self, most: int):
        """Create turns of at most `most` tasks each."""
        self._most = most
        # How often each waiting task was looked at in vain.
        self._passes: dict[Hashable, int] = {}

    def take(self, waiting: Iterable[Hashable]) -> list:
        """Return the tasks with the fewest vain turns, in order of `waiting`.

        Tasks that no longer wait are forgotten. A new task starts with the
        turns of the one that has had the fewest.
        """
        waiting = list(waiting)
        known = [self._passes[task] for task in waiting if task in self._passes]
        fewest = min(known, default=0)
        self._passes = {
            task: self._passes.get(task, fewest) for task in waiting
        }
        return sorted(waiting, key=self._passes.__getitem__)[: self._most]

    def pass_over(self, task: Hashable) -> None:
        """Record that nothing could be done for a task that was taken."""
        self._passes[task] += 1
