"""The assignment of models to servers when not every server can load every model."""

import collections
import collections.abc

from oleander_base import identifiers

MAX_MODELS_PER_SERVER = 2
"""The largest number of models that share a server, unless there are few servers."""
_MIN_SERVERS_PER_MODEL = 4
"""
The minimum number of servers of each model, if there are as many servers.

Some of them skip each version, and so can serve requests while the others load it.
"""


def choose_placement(
    server_ids: collections.abc.Iterable[str],
    models: collections.abc.Iterable[str],
    models_per_server: int = MAX_MODELS_PER_SERVER,
) -> dict[str, frozenset[str]]:
    """
    Return the ids of the servers of each model, evenly distributed.

    The result is the same in every process that knows the same servers and models. Up to
    `models_per_server` models share a server; more do if there are fewer servers than the models
    need.

    Each model takes the servers with the fewest models so far, in an order that is hashed from
    the model's name, so that few servers change their models when one joins or leaves.
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
    """Return how many servers each model gets; the remainder goes to the first models."""
    places = servers * models_per_server
    return [
        min(servers, max(_MIN_SERVERS_PER_MODEL, places // models + (index < places % models)))
        for index in range(models)
    ]


def _rank_servers(server_ids: list[str], model: str) -> list[str]:
    return sorted(server_ids, key=lambda name: identifiers.hash_text(f"{model}\n{name}"))
