"""Organisations, their API keys, and the identification of callers by key."""

import collections.abc
import dataclasses

_SCHEME = "bearer"


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """An organisation with the keys that its clients present."""

    name: str
    keys: tuple[str, ...] = dataclasses.field(repr=False)
    priority: int | None
    """Overrides the priority of a route; None if the organisation has no priority."""


@dataclasses.dataclass(slots=True, frozen=True)
class Caller:
    """The identity and priority of the caller of a request."""

    organisation: str = ""
    """Empty for calls that are allowed without a key."""
    priority: int | None = None
    hides_credentials: bool = False
    """
    Whether the Authorization header is removed before the request goes to a server.

    It is removed if the configuration has organisations, since it may then hold one of their keys.
    """


@dataclasses.dataclass(slots=True, frozen=True)
class UnknownKey:
    """The presented key belongs to no organisation in this process's configuration."""

    is_definitive: bool
    """Whether the configuration is the newest; if False, another entry may know the key."""


class KeyRing:
    """The keys of all organisations of one configuration, indexed for constant-time lookup."""

    def __init__(self, organisations: collections.abc.Iterable[Organisation]) -> None:
        self._organisations = tuple(organisations)
        self._organisations_by_key = {
            key: item for item in self._organisations for key in item.keys
        }
        self._organisations_by_name = {item.name: item for item in self._organisations}

    @property
    def count(self) -> int:
        """The number of organisations."""
        return len(self._organisations)

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that a key belongs to, or None if the key is unknown."""
        return self._organisations_by_key.get(key)

    def find_by_name(self, name: str) -> Organisation | None:
        """Return the organisation with a name, or None if it is unknown."""
        return self._organisations_by_name.get(name)


def read_key(authorization: str) -> str:
    """Return the bearer token of an Authorization header, or an empty string if it has none."""
    scheme, _, key = authorization.strip().partition(" ")
    return key.strip() if scheme.lower() == _SCHEME else ""


def identify_caller(
    keys: KeyRing | None, authorization: str, is_public: bool, is_current: bool
) -> Caller | UnknownKey:
    """
    Return the caller that an Authorization header identifies in this process's configuration.

    A configuration without organisations requires no key, and the client's Authorization header
    is passed on to the server. `is_current` states that no newer configuration can be in force.
    Otherwise this process may not know a key that was just added, and the key's owner must not
    be told that it is invalid.
    """
    if keys is None:
        return Caller()
    holder = keys.find_organisation(read_key(authorization))
    if holder is not None:
        return Caller(holder.name, holder.priority, True)
    if is_public:
        return Caller(hides_credentials=True)
    return UnknownKey(is_current)
