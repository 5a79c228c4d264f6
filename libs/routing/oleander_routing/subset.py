"""Deterministic choice of the hosts that an entry connects to."""

import collections
import dataclasses

from oleander_base import identifiers


@dataclasses.dataclass(slots=True, frozen=True)
class SubsetHost:
    """A host that can be chosen, and the groups over which choices are spread."""

    name: str
    failure_domain: str
    backend: str = ""
    """Name of its group of backend servers; empty if unknown."""


def choose_subset(entry_name: str, hosts: list[SubsetHost], size: int) -> list[str]:
    """
    Return the names of at most `size` hosts, spread evenly over backends and failure domains.

    Rendezvous hashing: each entry ranks all hosts by a hash of its own and the host's name, and
    takes the first of each domain. A host that joins or leaves changes at most one choice, unless
    it is the first or last of its domain or backend. Entries don't coordinate, so the number of
    entries per host varies as with independent random choices.
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
    """Divide `size` evenly among the groups; what small groups can't use goes to the others."""
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
