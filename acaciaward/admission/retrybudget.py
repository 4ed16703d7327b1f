"""
Retry budgets: each organisation earns a fraction of a retry with each request.

A storm of failures then adds a bounded share of load instead of multiplying it,
and one organisation can't spend the budget of another.
"""

MAX_BUDGET_FACTOR = 10


class RetryBudgets:
    """
    The budgets of all organisations at this entry.

    Each admitted request earns ``ratio`` retries; a budget starts at ``minimum``
    and holds at most ten times as much.
    """

    def __init__(self, *, ratio: float, minimum: float):
        self._ratio = ratio
        self._minimum = minimum
        self._budgets: dict[str, float] = {}

    def earn(self, organisation: str) -> None:
        """Credit an admitted request."""
        budget = self._budgets.get(organisation, self._minimum) + self._ratio
        self._budgets[organisation] = min(budget, MAX_BUDGET_FACTOR * self._minimum)

    def spend(self, organisation: str) -> bool:
        """Spend one retry, or return False if there is none."""
        budget = self._budgets.get(organisation, self._minimum)
        if budget < 1:
            return False
        self._budgets[organisation] = budget - 1
        return True
