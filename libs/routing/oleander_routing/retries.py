"""How often and how soon a request may be tried again."""

import collections
import random
import threading

_RETRY_COST = 100
"""A retry costs this; fresh work earns its percentage."""
_MAX_CUSTOMERS = 1000
_MAX_DOUBLINGS = 30


class RetryBudget:
    """
    Retries as a part of fresh work; safe to use from several threads.

    Without it a backend that begins to fail gets each request several times over, and the retries
    keep it down after the cause has gone. With it the extra work is bounded whatever fails. One
    retry is there from the start; at most `most_tokens` are saved, and further ones are lost.
    """

    def __init__(self, percent: int, max_retries: int) -> None:
        self._percent = percent
        self._max_credit = max_retries * _RETRY_COST
        self._credit = min(_RETRY_COST, self._max_credit)
        self._lock = threading.Lock()

    @property
    def percent(self) -> int:
        """How many retries a hundred fresh requests earn."""
        return self._percent

    def record_first_attempt(self) -> None:
        """Count a request that is no retry."""
        with self._lock:
            self._credit = min(self._max_credit, self._credit + self._percent)

    def try_spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        with self._lock:
            if self._credit < _RETRY_COST:
                return False
            self._credit -= _RETRY_COST
            return True


class RetryBudgets:
    """
    One budget for each customer; safe to use from several threads.

    At most 1000 customers have one; past that the one not used for longest starts anew when it
    comes back, with a single retry.
    """

    def __init__(self, max_retries: int) -> None:
        self._max_retries = max_retries
        self._budgets: collections.OrderedDict[str, RetryBudget] = collections.OrderedDict()
        self._lock = threading.Lock()

    def find_budget(self, customer: str, percent: int) -> RetryBudget:
        """Return a customer's budget; it starts anew when the contract's percentage changes."""
        with self._lock:
            budget = self._budgets.get(customer)
            if budget is None or budget.percent != percent:
                budget = self._budgets[customer] = RetryBudget(percent, self._max_retries)
            self._budgets.move_to_end(customer)
            while len(self._budgets) > _MAX_CUSTOMERS:
                self._budgets.popitem(last=False)
            return budget


def compute_backoff(attempt: int, base_ms: int, max_ms: int, random_source: random.Random) -> int:
    """
    Return how long to wait before a retry, the first being attempt 0.

    The wait is drawn from the whole range up to the doubled bound ("full jitter"), since with less
    jitter those that failed together come back together.
    """
    bound_ms = min(max_ms, base_ms * 2 ** min(attempt, _MAX_DOUBLINGS))
    return random_source.randint(0, max(0, bound_ms))
