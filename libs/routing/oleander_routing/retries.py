"""Retry budgets and backoff."""

import collections
import random
import threading

_RETRY_COST = 100
"""Credit that a retry costs; a first attempt earns a credit of `percent`."""
_MAX_CUSTOMERS = 1000
"""Bounds the memory; the budget that was not used for longest is dropped first."""
_MAX_DOUBLINGS = 30
"""Bounds the power of two, because the attempt number is unbounded."""


class RetryBudget:
    """
    Limits retries to a percentage of first attempts; thread-safe.

    Without a limit a backend that begins to fail would get each request several times, and the
    retries would keep it overloaded after the cause is gone. The budget starts with one retry and
    saves up at most `max_retries`; credit beyond that is lost.
    """

    def __init__(self, percent: int, max_retries: int) -> None:
        self._percent = percent
        self._max_credit = max_retries * _RETRY_COST
        self._credit = min(_RETRY_COST, self._max_credit)
        self._lock = threading.Lock()

    @property
    def percent(self) -> int:
        """Retries that a hundred first attempts earn."""
        return self._percent

    def record_first_attempt(self) -> None:
        """Add the credit that a first attempt earns."""
        with self._lock:
            self._credit = min(self._max_credit, self._credit + self._percent)

    def try_spend(self) -> bool:
        """Spend the credit of one retry; return False if there is too little."""
        with self._lock:
            if self._credit < _RETRY_COST:
                return False
            self._credit -= _RETRY_COST
            return True


class RetryBudgets:
    """
    One retry budget per customer; thread-safe.

    At most 1000 budgets are kept; beyond that the one that was not used for longest is dropped,
    and its customer starts again with a single retry.
    """

    def __init__(self, max_retries: int) -> None:
        self._max_retries = max_retries
        self._budgets: collections.OrderedDict[str, RetryBudget] = collections.OrderedDict()
        self._lock = threading.Lock()

    def find_budget(self, customer: str, percent: int) -> RetryBudget:
        """Return a customer's budget; a new one if the contract's percentage has changed."""
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
    Return the milliseconds to wait before a retry; the first retry is attempt 0.

    Exponential backoff with full jitter: the wait is drawn from 0 to `base_ms` doubled for each
    attempt, at most `max_ms`. With less jitter, requests that failed together would be retried
    together.
    """
    bound_ms = min(max_ms, base_ms * 2 ** min(attempt, _MAX_DOUBLINGS))
    return random_source.randint(0, max(0, bound_ms))
