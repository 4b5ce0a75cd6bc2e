"""Turns for waiting tasks when only some of them can be looked at."""

from collections.abc import Hashable, Iterable

__all__ = ["Turns"]


class Turns:
    """Chooses a few of many waiting tasks, so that each gets its turn.

    A task for which nothing can be done would otherwise keep those behind it
    from being looked at for good.

    Example:
        >>> turns = Turns(2)
        >>> turns.take(["a", "b", "c"])
        ['a', 'b']
        >>> turns.take(["a", "b", "c"])
        ['c', 'a']
    """

    def __init__(self, most: int):
        """Create turns of at most `most` tasks each."""
        self._most = most
        self._taken: dict[Hashable, int] = {}

    def take(self, waiting: Iterable[Hashable]) -> list:
        """Return the tasks with the fewest turns, in order of `waiting`.

        Tasks that no longer wait are forgotten. A new task starts with the
        turns of the one that has had the fewest.
        """
        waiting = list(waiting)
        known = [self._taken[task] for task in waiting if task in self._taken]
        fewest = min(known, default=0)
        self._taken = {task: self._taken.get(task, fewest) for task in waiting}
        chosen = sorted(waiting, key=self._taken.__getitem__)[: self._most]
        for task in chosen:
            self._taken[task] += 1
        return chosen
