"""Who may do what: one token a customer, one for operators."""

import enum
import hmac

OPERATOR = "operator"
_SCHEME = "Bearer "


class Access(enum.Enum):
    """What a request's token allows."""

    ALLOWED = "allowed"
    NO_TOKEN = "no-token"
    FORBIDDEN = "forbidden"


class AccessTable:
    """Compares tokens in constant time."""

    def __init__(self, tokens: dict[str, str]) -> None:
        self._tokens = tokens

    def check(self, customer: str, authorization: str) -> Access:
        """Return whether the header's token is this customer's or an operator's."""
        if not self._tokens:
            return Access.ALLOWED
        if not authorization.startswith(_SCHEME):
            return Access.NO_TOKEN
        presented = authorization[len(_SCHEME) :]
        matches = [self._matches(name, presented) for name in (customer, OPERATOR)]
        return Access.ALLOWED if any(matches) else Access.FORBIDDEN

    def _matches(self, name: str, presented: str) -> bool:
        expected = self._tokens.get(name, "")
        return bool(expected) and hmac.compare_digest(presented.encode(), expected.encode())
