"""Access control by bearer token, for customers and operators."""

import collections.abc
import enum
import hmac

from oleanderdeal import setting_values

OPERATOR = "operator"
_BEARER_PREFIX = "Bearer "


class Access(enum.Enum):
    """Result of checking a request's Authorization header."""

    ALLOWED = "allowed"
    NO_TOKEN = "no-token"
    FORBIDDEN = "forbidden"


class AccessTable:
    """
    Tokens of all customers and operators; compares them in constant time.

    A customer without a token is denied access. One customer may have several tokens, so that a
    new token can be added before the old one is removed.
    """

    def __init__(self, tokens: collections.abc.Iterable[setting_values.CustomerToken]) -> None:
        self._tokens = tuple(tokens)

    def check(self, customer: str, authorization: str) -> Access:
        """Check whether the header's token belongs to this customer or to an operator."""
        if not authorization.startswith(_BEARER_PREFIX):
            return Access.NO_TOKEN
        presented = authorization[len(_BEARER_PREFIX) :]
        matches = [
            hmac.compare_digest(presented.encode(), item.token.encode())
            for item in self._tokens
            if item.customer in (customer, OPERATOR)
        ]
        return Access.ALLOWED if any(matches) else Access.FORBIDDEN
