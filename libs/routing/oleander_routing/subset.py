"""Which sidecars an entry connects to when there are too many for all."""

import collections
import dataclasses

from oleander_base import identifiers


@dataclasses.dataclass(slots=True, frozen=True)
class SubsetHost:
    """A host that may be chosen."""

    name: str
    failure_domain: str
    backend: str = ""
    """The group of backend servers, where it is known."""


def choose_subset(entry_name: str, hosts: list[SubsetHost], size: int) -> list[str]:
    """
    Return the names of at most so many hosts, evenly from backends and failure domains.

    Rendezvous hashing: each entry ranks all hosts by a hash of both names and takes the first of
    each domain. A host that comes or goes changes one choice at most, unless it is the first or
    last of its domain or backend. Nothing is agreed between entries, so the number of entries that
    choose one host varies as independent draws do.
    """
    if len(hosts) <= size:
        return sorted(host.name for host in hosts)
    chosen: list[str] = []
    by_backend = _group_hosts(hosts, by_domain=False)
    backend_sizes = _divide_evenly(entry_name, by_backend, size)
    for backend, members in by_backend.items():
        by_domain = _group_hosts(members, by_domain=True)
        domain_sizes = _divide_evenly(entry_name, by_domain, backend_sizes[backend])
        for domain, items in by_domain.items():
            ranked = sorted(items, key=lambda host: _rank(entry_name, host.name))
            chosen.extend(host.name for host in ranked[: domain_sizes[domain]])
    return sorted(chosen)


def _group_hosts(hosts: list[SubsetHost], by_domain: bool) -> dict[str, list[SubsetHost]]:
    groups: dict[str, list[SubsetHost]] = collections.defaultdict(list)
    for host in hosts:
        groups[host.failure_domain if by_domain else host.backend].append(host)
    return groups


def _divide_evenly(
    entry_name: str, groups: dict[str, list[SubsetHost]], size: int
) -> dict[str, int]:
    """Share out places: the same for each group, more where others are too small to use theirs."""
    sizes = dict.fromkeys(groups, 0)
    ranked = sorted(groups, key=lambda name: _rank(entry_name, name))
    remaining = min(size, sum(len(members) for members in groups.values()))
    while remaining:
        for name in ranked:
            if remaining and sizes[name] < len(groups[name]):
                sizes[name] += 1
                remaining -= 1
    return sizes


def _rank(entry_name: str, name: str) -> int:
    return identifiers.hash_text(f"{entry_name}\n{name}")
