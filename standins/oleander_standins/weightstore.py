"""A stand-in for a weight store: weights in memory, with a limit on the read rate."""

import collections
import dataclasses
import time
import typing

from oleander_standins import server

_MAX_VERSIONS = 200
_WeightsKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class Settings(server.Settings):
    """Settings of the weight store."""

    reads_per_second: int = 0
    """Reads above this rate are answered 429; 0 sets no limit."""


class WeightStore(server.StandIn[Settings]):
    """Keeps the two hundred most recently written weights."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self._weights: dict[_WeightsKey, bytes] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._read_times: collections.deque[float] = collections.deque()

    def answer(self, exchange: server.Exchange) -> None:
        """Route a request to write or read weights."""
        match exchange.route:
            case ("PUT", "weights", model, version):
                self._store((model, version), exchange.body)
                exchange.send_json(200, {"bytes": len(exchange.body)})
            case ("GET", "weights", model, version):
                self._answer_read(exchange, (model, version))
            case _:
                exchange.send_json(404, {"reason": "no such path"})

    def count(self, query: dict[str, str]) -> dict[str, typing.Any]:
        """Return the numbers of reads, writes and refused reads, and the versions kept."""
        versions = [f"{model}/{version}" for model, version in self._weights]
        return {name: self._counts[name] for name in ("reads", "writes", "limited")} | {
            "versions": versions
        }

    def _store(self, name: _WeightsKey, body: bytes) -> None:
        with self.changed:
            self._counts["writes"] += 1
            self._weights.pop(name, None)
            self._weights[name] = body
            if len(self._weights) > _MAX_VERSIONS:
                self._weights.pop(next(iter(self._weights)))

    def _answer_read(self, exchange: server.Exchange, name: _WeightsKey) -> None:
        if not self._admit_read():
            exchange.send_json(429, {"reason": "rate"}, retry_after_seconds=1)
            return
        with self.changed:
            body = self._weights.get(name)
        if body is None:
            exchange.send_json(404, {"reason": "no such version"})
            return
        exchange.send_bytes(200, body, {"Content-Type": "application/octet-stream"})

    def _admit_read(self) -> bool:
        now = time.monotonic()
        rate = self.settings.reads_per_second
        with self.changed:
            while self._read_times and self._read_times[0] <= now - 1.0:
                self._read_times.popleft()
            if rate and len(self._read_times) >= rate:
                self._counts["limited"] += 1
                return False
            if rate:
                self._read_times.append(now)
            self._counts["reads"] += 1
            return True


def main() -> None:
    """Run the weight store stand-in."""
    server.run_program(Settings(), WeightStore)


if __name__ == "__main__":
    main()
