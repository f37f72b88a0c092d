"""Retry budget, which bounds retries to a fraction of first attempts."""

RETRIES_PER_FIRST_ATTEMPT = 0.1
# Lets an idle cell recover from the loss of one worker (8 slots) without any first attempts.
MAX_TOKENS = 20.0


class RetryBudget:
    """Token bucket that first attempts fill and retries empty."""

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    def record_first_attempt(self) -> None:
        """Add the fraction of a retry that a first attempt allows."""
        self.tokens = min(MAX_TOKENS, self.tokens + RETRIES_PER_FIRST_ATTEMPT)

    def try_spend(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
