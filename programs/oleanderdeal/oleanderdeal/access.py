"""Who may do what: one token a customer, one for operators."""

import collections.abc
import enum
import hmac

from oleanderdeal import setting_values

OPERATOR = "operator"
_BEARER_PREFIX = "Bearer "


class Access(enum.Enum):
    """What a request's token allows."""

    ALLOWED = "allowed"
    NO_TOKEN = "no-token"
    FORBIDDEN = "forbidden"


class AccessTable:
    """
    Compares tokens in constant time; who has none is not let in.

    A customer may have several, so that a new one is known before the old one goes.
    """

    def __init__(self, tokens: collections.abc.Iterable[setting_values.CustomerToken]) -> None:
        self._tokens = tuple(tokens)

    def check(self, customer: str, authorization: str) -> Access:
        """Return whether the header's token is this customer's or an operator's."""
        if not authorization.startswith(_BEARER_PREFIX):
            return Access.NO_TOKEN
        presented = authorization[len(_BEARER_PREFIX) :]
        matches = [
            hmac.compare_digest(presented.encode(), item.token.encode())
            for item in self._tokens
            if item.customer in (customer, OPERATOR)
        ]
        return Access.ALLOWED if any(matches) else Access.FORBIDDEN
