"""How often and how soon a request may be tried again."""

import collections
import random
import threading

_TOKEN = 100
"""A retry costs this; fresh work earns its percentage."""
_MOST_CUSTOMERS = 1000
_MOST_DOUBLINGS = 30


class RetryBudget:
    """
    Retries as a part of fresh work; safe to use from several threads.

    Without it a backend that begins to fail gets each request several times over, and the retries
    keep it down after the cause has gone. With it the extra work is bounded whatever fails. One
    retry is there from the start; at most `most_tokens` are saved, and further ones are lost.
    """

    def __init__(self, percent: int, most_tokens: int) -> None:
        self._percent = percent
        self._most_earned = most_tokens * _TOKEN
        self._earned = min(_TOKEN, self._most_earned)
        self._lock = threading.Lock()

    @property
    def percent(self) -> int:
        """How many retries a hundred fresh requests earn."""
        return self._percent

    def note_fresh(self) -> None:
        """Count a request that is no retry."""
        with self._lock:
            self._earned = min(self._most_earned, self._earned + self._percent)

    def try_take(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        with self._lock:
            if self._earned < _TOKEN:
                return False
            self._earned -= _TOKEN
            return True


class RetryBudgets:
    """
    One budget for each customer; safe to use from several threads.

    At most 1000 customers have one; past that the one not used for longest starts anew when it
    comes back, with a single retry.
    """

    def __init__(self, most_tokens: int) -> None:
        self._most_tokens = most_tokens
        self._budgets: collections.OrderedDict[str, RetryBudget] = collections.OrderedDict()
        self._lock = threading.Lock()

    def find_budget(self, customer: str, percent: int) -> RetryBudget:
        """Return a customer's budget; it starts anew when the contract's percentage changes."""
        with self._lock:
            budget = self._budgets.get(customer)
            if budget is None or budget.percent != percent:
                budget = self._budgets[customer] = RetryBudget(percent, self._most_tokens)
            self._budgets.move_to_end(customer)
            while len(self._budgets) > _MOST_CUSTOMERS:
                self._budgets.popitem(last=False)
            return budget


def compute_backoff(attempt: int, base_ms: int, most_ms: int, source: random.Random) -> int:
    """
    Return how long to wait before a retry, the first being attempt 0.

    The wait is drawn from the whole range up to the doubled bound ("full jitter"), since with less
    jitter those that failed together come back together.
    """
    bound_ms = min(most_ms, base_ms * 2 ** min(attempt, _MOST_DOUBLINGS))
    return source.randint(0, max(0, bound_ms))
