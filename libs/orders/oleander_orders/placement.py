"""Which servers load which model where not every server can load them all."""

import collections
import collections.abc

from oleander_base import identifiers

MAX_MODELS_PER_SERVER = 2
"""Models that share a server at most."""
_MIN_SERVERS_PER_MODEL = 4
"""Of a model; some skip a version, and so serve while the others load it."""


def choose_placement(
    server_ids: collections.abc.Iterable[str],
    models: collections.abc.Iterable[str],
    models_per_server: int = MAX_MODELS_PER_SERVER,
) -> dict[str, frozenset[str]]:
    """
    Return the servers of each model, shared out evenly; the same wherever the lists are the same.

    So many models share a server, more where there are fewer servers than each model needs.

    Each model takes those that fewest have taken before it, by a rank of its own, so that not many
    change their models when a server comes or goes.
    """
    servers = sorted(set(server_ids))
    ordered = sorted(set(models))
    wanted = _count_servers(len(servers), len(ordered), models_per_server)
    assigned_counts: collections.Counter[str] = collections.Counter()
    placement = {}
    for model, count in zip(ordered, wanted, strict=True):
        ranked = _rank_servers(servers, model)
        ranked.sort(key=lambda name: assigned_counts[name])
        placement[model] = frozenset(ranked[:count])
        assigned_counts.update(placement[model])
    return placement


def _count_servers(servers: int, models: int, models_per_server: int) -> list[int]:
    """Return how many servers each model gets; what is left over goes to the first ones."""
    places = servers * models_per_server
    return [
        min(servers, max(_MIN_SERVERS_PER_MODEL, places // models + (index < places % models)))
        for index in range(models)
    ]


def _rank_servers(server_ids: list[str], model: str) -> list[str]:
    return sorted(server_ids, key=lambda name: identifiers.hash_text(f"{model}\n{name}"))
