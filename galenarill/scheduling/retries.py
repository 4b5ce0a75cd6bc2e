"""Retry budget of an entry VM."""

import dataclasses

__all__ = ["RetryBudget"]

# Retries allowed for each request that is not one.
RETRY_RATIO = 0.1
# Retries that can be saved up.
MAX_TOKENS = 20.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """A budget that keeps retries to a fraction of the requests.

    Each first attempt earns `RETRY_RATIO` of a retry, up to
    `MAX_TOKENS`; each retry spends one. Under a general failure, the
    load on the backend servers grows by that ratio at most.

    Example:
        >>> budget = RetryBudget(saved=1.0)
        >>> budget.spend(), budget.spend()
        (True, False)
        >>> for _ in range(10):
        ...     budget.earn()
        >>> budget.spend()
        True
    """

    saved: float = MAX_TOKENS / 2

    def earn(self) -> None:
        """Count a first attempt."""
        self.saved = min(MAX_TOKENS, self.saved + RETRY_RATIO)

    def spend(self) -> bool:
        """Take one retry from the budget.

        Returns:
            Whether there was one.
        """
        # The tolerance absorbs the rounding of ten additions of 0.1.
        if self.saved < 1.0 - 1e-9:
            return False
        self.saved -= 1.0
        return True
