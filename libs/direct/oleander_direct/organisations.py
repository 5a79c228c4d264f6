"""Organisations, the keys that their clients present, and who may call."""

import collections.abc
import dataclasses

_SCHEME = "bearer"


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """A customer of the platform whose clients share keys."""

    name: str
    keys: tuple[str, ...] = dataclasses.field(repr=False)
    priority: int | None
    """Goes before the priority of a route; nothing where the organisation has none."""


@dataclasses.dataclass(slots=True, frozen=True)
class Caller:
    """Who makes a call."""

    organisation: str = ""
    """Empty for a call without a key, where that is allowed."""
    priority: int | None = None
    hides_credentials: bool = False
    """Whether the call's credentials are ours to check, and are hidden from servers."""


@dataclasses.dataclass(slots=True, frozen=True)
class UnknownKey:
    """No organisation is known here that holds the presented key."""

    is_definitive: bool
    """Whether the newest configuration has none; else another entry may know one."""


class KeyRing:
    """The keys of all organisations of one configuration, however many there are."""

    def __init__(self, organisations: collections.abc.Iterable[Organisation]) -> None:
        self._organisations = tuple(organisations)
        self._organisations_by_key = {
            key: item for item in self._organisations for key in item.keys
        }

    @property
    def count(self) -> int:
        """How many organisations there are."""
        return len(self._organisations)

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key."""
        return self._organisations_by_key.get(key)


def read_key(authorization: str) -> str:
    """Return the key of an Authorization header, or an empty text where it has none."""
    scheme, _, key = authorization.strip().partition(" ")
    return key.strip() if scheme.lower() == _SCHEME else ""


def identify_caller(
    keys: KeyRing | None, authorization: str, is_public: bool, is_current: bool
) -> Caller | UnknownKey:
    """
    Return who calls, by the keys of the configuration known here.

    A configuration without organisations asks for no key, and what a client sends in its place
    is passed on. `is_current` tells whether no newer configuration can be in force: a key that
    was just added may be unknown here, and its holder must not be told that there is none.
    """
    if keys is None:
        return Caller()
    holder = keys.find_organisation(read_key(authorization))
    if holder is not None:
        return Caller(holder.name, holder.priority, True)
    if is_public:
        return Caller(hides_credentials=True)
    return UnknownKey(is_current)
