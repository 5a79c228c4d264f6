"""A model engine that batches, caches prefixes and swaps weights, without a model."""

import collections
import dataclasses
import itertools
import threading
import typing

from oleander_standins import batch, generations, server, weights

_MAX_KEPT_GENERATIONS = 20_000
_MAX_WAITING = 10_000
_SLOWDOWN_PER_GENERATION = 0.02
"""How much slower each token gets for each other generation in the batch."""


@dataclasses.dataclass(slots=True)
class Settings(server.Settings):
    """The engine's size, pace and faults."""

    slots: int = 8
    token_ms: float = 5.0
    prefill_ms: float = 20.0
    """Skipped where the request's prefix is in the cache."""
    piece_tokens: int = 4
    """How many tokens a line of the stream has."""
    cache_entries: int = 16
    load_lag_ms: int = 300
    initial_version: int = 1
    """The version at the start; below 0 for none."""
    load_ms: int = 50
    states_version: bool = True
    marks_version: bool = False
    """Each token's text names the weights that made it, so that a receiver can check labels."""
    checks_fencing: bool = False
    weights_url: str = ""
    fail_load: int = 0
    """So many next loads fail midway and leave no whole version."""
    lose_load_answer: int = 0
    """So many next loads take effect and their answers are dropped."""
    late_load: int = 0
    """So many next loads are dropped at once and carried out after `late_load_ms`."""
    late_load_ms: int = 1000
    hold_load: bool = False
    """Loads stop halfway until this is cleared."""
    cut: int = 0
    """So many next generations break off after their first line."""
    pause_after: int = 0
    """Generations pause after so many tokens until this is changed; 0 for not at all."""
    pause_start: bool = False
    """Generations that got a slot make no token until this is changed."""
    slow_factor: float = 1.0
    refuse: bool = False
    """New generations are answered 503."""


class Engine(server.StandIn[Settings]):
    """
    Keeps the true labels of the newest twenty thousand generations for checks.

    A request that comes again with the same id, as one that is resumed may, stands there as
    `ID#2` and so on.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        initial = settings.initial_version
        self._cache = generations.PrefixCache()
        self._weights = weights.Weights(
            initial if initial >= 0 else None, self.changed, self._cache.clear
        )
        self._batch = batch.Batch()
        self._live: dict[str, generations.Generation] = {}
        self._kept: dict[str, generations.Generation] = {}
        self._counts: collections.Counter[str] = collections.Counter()

    def answer(self, exchange: server.Exchange) -> None:
        """Generate, cancel, load or report."""
        match exchange.route:
            case ("POST", "v1", "generate"):
                self._answer_generate(exchange)
            case ("POST", "v1", "cancel"):
                self._answer_cancel(exchange)
            case ("POST", "v1", "load"):
                self._answer_load(exchange)
            case ("GET", "v1", "load"):
                load = self._batch.read_load(self.settings.load_lag_ms / 1000)
                exchange.send_json(200, dataclasses.asdict(load) | {"slots": self.settings.slots})
            case ("GET", "v1", "version"):
                exchange.send_json(200, self._weights.state)
            case _:
                exchange.send_json(404, {"reason": "no such path"})

    def count(self, query: dict[str, str]) -> dict[str, typing.Any]:
        """Return the counts, and the generations unless the query says `generations=no`."""
        counts: dict[str, typing.Any] = {
            name: self._counts[name]
            for name in ("runs", "runs_without_version", "tokens", "cancels", "refused")
        }
        counts |= {
            "running": self._batch.running,
            "waiting": self._batch.waiting,
            "peak_running": self._batch.peak_running,
            "cache_hits": self._cache.hits,
            "cache_misses": self._cache.misses,
            "loads": self._weights.orders,
        }
        counts |= self._weights.state
        if query.get("generations") != "no":
            kept = self._kept.items()
            counts["generations"] = {name: item.describe() for name, item in kept}
        return counts

    def _answer_generate(self, exchange: server.Exchange) -> None:
        if self.settings.refuse or self._batch.waiting >= _MAX_WAITING:
            with self.changed:
                self._counts["refused"] += 1
            exchange.send_json(503, {"reason": "refused"}, retry_after_seconds=1)
            return
        generation = generations.read_generation(exchange.read_object())
        if generation is None:
            exchange.send_json(400, {"reason": "malformed"})
        elif not self._register(generation):
            exchange.send_json(409, {"reason": "this request runs already"})
        else:
            self._stream(generation, exchange)

    def _register(self, generation: generations.Generation) -> bool:
        with self.changed:
            if generation.request_id in self._live:
                return False
            self._live[generation.request_id] = generation
            self._kept[self._find_free_name(generation.request_id)] = generation
            if len(self._kept) > _MAX_KEPT_GENERATIONS:
                self._kept.pop(next(iter(self._kept)))
            return True

    def _find_free_name(self, request_id: str) -> str:
        name = request_id
        for number in itertools.count(2):
            if name not in self._kept:
                break
            name = f"{request_id}#{number}"
        return name

    def _stream(self, generation: generations.Generation, exchange: server.Exchange) -> None:
        try:
            exchange.start_stream()
            entered = self._batch.enter(
                self.settings.slots, generation.priority, generation.cancelled
            )
            if entered:
                self._generate(generation, exchange)
            exchange.end_stream()
        finally:
            with self.changed:
                self._live.pop(generation.request_id, None)
                if generation.outcome != generations.FINISHED:
                    generation.outcome = generations.CANCELLED

    def _generate(self, generation: generations.Generation, exchange: server.Exchange) -> None:
        try:
            generation.outcome = generations.RUNNING
            cuts = self.take("cut")
            self._prefill(generation)
            self.wait_while(lambda: self._is_start_paused(generation))
            while not generation.cancelled.wait(self._compute_piece_seconds(generation)):
                exchange.send_line(self._make_piece(generation))
                if generation.outcome == generations.FINISHED or cuts:
                    return
                self.wait_while(lambda: self._is_paused(generation))
        finally:
            self._batch.leave()

    def _prefill(self, generation: generations.Generation) -> None:
        with self.changed:
            self._counts["runs"] += 1
            self._counts["runs_without_version"] += self._weights.version is None
            generation.run = self._counts["runs"]
            hit = bool(generation.prefix) and self._cache.use(
                generation.prefix, self.settings.cache_entries
            )
        if not hit:
            seconds = self.settings.prefill_ms * self.settings.slow_factor / 1000
            generation.cancelled.wait(seconds)

    def _is_paused(self, generation: generations.Generation) -> bool:
        after = self.settings.pause_after
        return 0 < after <= generation.position and not generation.cancelled.is_set()

    def _is_start_paused(self, generation: generations.Generation) -> bool:
        return self.settings.pause_start and not generation.cancelled.is_set()

    def _compute_piece_seconds(self, generation: generations.Generation) -> float:
        count = min(self.settings.piece_tokens, generation.left)
        crowding = 1.0 + _SLOWDOWN_PER_GENERATION * (self._batch.running - 1)
        return count * self.settings.token_ms * crowding * self.settings.slow_factor / 1000

    def _make_piece(self, generation: generations.Generation) -> dict[str, typing.Any]:
        with self.changed:
            count = min(self.settings.piece_tokens, generation.left)
            version = self._weights.version
            text = generation.add_tokens(version, count, self.settings.marks_version)
            self._counts["tokens"] += count
            piece: dict[str, typing.Any] = {"text": text, "tokens": count}
            if self.settings.states_version and version is not None:
                piece["version"] = version
            if generation.left == 0:
                generation.outcome = generations.FINISHED
                piece["last"] = True
            return piece

    def _answer_cancel(self, exchange: server.Exchange) -> None:
        with self.changed:
            generation = self._live.get(str(exchange.read_object().get("request_id")))
            self._counts["cancels"] += 1
            if generation is not None:
                generation.cancelled.set()
                self.changed.notify_all()
        self._batch.wake()
        exchange.send_json(200, {"cancelled": generation is not None})

    def _answer_load(self, exchange: server.Exchange) -> None:
        order = _read_order(exchange.read_object())
        if order is None:
            exchange.send_json(400, {"reason": "malformed"})
            return
        if self.take("late_load"):
            timer = threading.Timer(self.settings.late_load_ms / 1000, self._load, (order,))
            timer.daemon = True
            timer.start()
            exchange.drop()
            return
        status = self._load(order)
        if self.take("lose_load_answer"):
            exchange.drop()
        elif status == 503:
            exchange.send_json(status, {"reason": "weight store"}, retry_after_seconds=1)
        elif status == 409:
            exchange.send_json(status, {"reason": "stale-fencing"})
        else:
            exchange.send_json(status, self._weights.state)

    def _load(self, order: weights.Order) -> int:
        faults = weights.Faults(
            self.settings.checks_fencing,
            self.take("fail_load"),
            self.settings.load_ms / 1000,
            self.settings.weights_url,
            lambda: self.wait_while(lambda: self.settings.hold_load),
        )
        return self._weights.load(order, faults)


def _read_order(content: dict[str, typing.Any]) -> weights.Order | None:
    try:
        return weights.Order(
            str(content["model"]), int(content["version"]), int(content["fencing"])
        )
    except (KeyError, TypeError, ValueError):
        return None


def main() -> None:
    """Serve generations."""
    server.run_program(Settings(), Engine)


if __name__ == "__main__":
    main()
