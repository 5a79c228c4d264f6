"""
A stand-in for a model engine.

It simulates continuous batching, a prefix cache and weight changes, and generates tokens that
follow from the prompt instead of running a model.
"""

import collections
import dataclasses
import itertools
import threading
import typing

from oleander_standins import batch, generations, server, weights

_MAX_KEPT_GENERATIONS = 20_000
_MAX_WAITING = 10_000
_SLOWDOWN_PER_GENERATION = 0.02
"""Fraction of `token_ms` that each other running generation adds to the time of a token."""


@dataclasses.dataclass(slots=True)
class Settings(server.Settings):
    """The engine's capacity, speed and faults; values ending in `_ms` are in milliseconds."""

    slots: int = 8
    token_ms: float = 5.0
    prefill_ms: float = 20.0
    """Time before the first token; skipped if the request's prefix is cached."""
    piece_tokens: int = 4
    """Number of tokens in each line of the stream; the last line may have fewer."""
    cache_entries: int = 16
    load_lag_ms: int = 300
    """How old the load is that `GET /v1/load` reports."""
    initial_version: int = 1
    """The version of the weights loaded at the start; a negative number for none."""
    load_ms: int = 50
    """How long a load of weights takes, without fetching them."""
    states_version: bool = True
    """Each line of a stream names the version of the weights that generated it."""
    marks_version: bool = False
    """The text of each token names the version that generated it, to check labels against."""
    checks_fencing: bool = False
    """Orders with a lower fencing number than the last one accepted are answered 409."""
    weights_url: str = ""
    """URL of the weight store to fetch weights from before a load; empty to fetch nothing."""
    fail_load: int = 0
    """How many of the next loads fail midway, which leaves no usable version loaded."""
    lose_load_answer: int = 0
    """How many of the next loads take effect but get no answer: the connection is closed."""
    late_load: int = 0
    """How many of the next loads get no answer and are carried out after `late_load_ms`."""
    late_load_ms: int = 1000
    hold_load: bool = False
    """Loads pause halfway until this is cleared."""
    cut: int = 0
    """How many of the next generations end after their first line, before they are complete."""
    pause_after: int = 0
    """Generations pause once they have this many tokens, until this is changed; 0 disables it."""
    pause_start: bool = False
    """Generations with a slot generate no tokens until this is cleared."""
    slow_factor: float = 1.0
    """Multiplies the time of prefills and tokens."""
    refuse: bool = False
    """New generations are refused with 503."""


class Engine(server.StandIn[Settings]):
    """
    Serves generations and loads of weights.

    Keeps the actual labels of the newest twenty thousand generations, which tests read through
    the control endpoint. If a request id is reused, as a resumed request may do, the later
    generations are listed as `ID#2`, `ID#3` and so on.
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
        """Handle a request to generate, cancel, load weights, or read the load or version."""
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
        """Return the counters, and the generations unless the query has `generations=no`."""
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
    """Run the engine stand-in."""
    server.run_program(Settings(), Engine)


if __name__ == "__main__":
    main()
