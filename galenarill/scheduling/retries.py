"""Retry budget of an entry VM."""

import dataclasses

__all__ = ["RetryBudget"]

# Tokens earned by each first attempt; a retry costs one token.
RETRY_RATIO = 0.1
# Capacity of the token bucket.
MAX_TOKENS = 20.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """A token bucket that limits retries to a fraction of first attempts.

    Each first attempt adds `RETRY_RATIO` tokens, up to `MAX_TOKENS`; each
    retry takes one. If all requests fail, retries increase the load on the
    backend servers by that ratio at most, once the saved tokens are used up.

    Attributes:
        tokens: Tokens available.

    Example:
        >>> budget = RetryBudget(tokens=1.0)
        >>> budget.spend(), budget.spend()
        (True, False)
        >>> for _ in range(10):
        ...     budget.earn()
        >>> budget.spend()
        True
    """

    tokens: float = MAX_TOKENS / 2

    def earn(self) -> None:
        """Add the tokens of a first attempt."""
        self.tokens = min(MAX_TOKENS, self.tokens + RETRY_RATIO)

    def spend(self) -> bool:
        """Take one token for a retry, if available.

        Returns:
            Whether the retry is allowed.
        """
        # The tolerance covers the rounding error of ten additions of 0.1.
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens -= 1.0
        return True
