"""A stand-in for a plain service, which counts how often each request ran."""

import collections
import dataclasses
import hashlib
import time
import typing

from oleander_standins import server

_MAX_KEYS = 100_000


@dataclasses.dataclass(slots=True)
class Settings(server.Settings):
    """The duration of calls and the faults to inject."""

    service_ms: int = 0
    """How long a call runs, in milliseconds."""
    lose_before: int = 0
    """How many of the next calls do not run and get no answer."""
    lose_after: int = 0
    """How many of the next calls run but get no answer."""
    fail: int = 0
    """How many of the next calls run and are answered 500."""
    hang: bool = False
    """Calls do not run; their connections stay open and are closed once this is cleared."""
    hold: bool = False
    """Calls run but are answered only once this is cleared, also by the `release` command."""


class Service(server.StandIn[Settings]):
    """
    Runs calls and counts them by operation and by idempotency key.

    A run is counted when it starts. The counts of the hundred thousand most recent keys are kept.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self._runs = 0
        self._holding = 0
        self._hanging = 0
        self._runs_by_key: dict[str, int] = {}
        self._runs_by_operation: collections.Counter[str] = collections.Counter()

    def answer(self, exchange: server.Exchange) -> None:
        """Answer a call of an operation."""
        match exchange.route:
            case ("POST", "call", operation):
                self._answer_call(exchange, operation)
            case _:
                exchange.send_json(404, {"reason": "no such path"})

    def count(self, query: dict[str, str]) -> dict[str, typing.Any]:
        """Return the numbers of runs and of calls that are held or hanging."""
        return {
            "runs": self._runs,
            "holding": self._holding,
            "hanging": self._hanging,
            "runs_by_key": self._runs_by_key,
            "runs_by_operation": self._runs_by_operation,
        }

    def command(self, name: str, value: typing.Any) -> bool:
        """Answer the held calls on `release`; return False for other commands."""
        if name != "release":
            return False
        self.settings.hold = False
        return True

    def _answer_call(self, exchange: server.Exchange, operation: str) -> None:
        if self.settings.hang:
            self._hang(exchange)
        elif self.take("lose_before"):
            exchange.drop()
        else:
            key = exchange.headers.get("Idempotency-Key", "")
            answer = self._run(operation, key, exchange.body)
            if self.take("lose_after"):
                exchange.drop()
            else:
                exchange.send_json(500 if self.take("fail") else 200, answer)

    def _hang(self, exchange: server.Exchange) -> None:
        with self.changed:
            self._hanging += 1
        self.wait_while(lambda: self.settings.hang)
        with self.changed:
            self._hanging -= 1
        exchange.drop()

    def _run(self, operation: str, key: str, body: bytes) -> dict[str, typing.Any]:
        with self.changed:
            self._runs += 1
            run = self._runs
            self._runs_by_operation[operation] += 1
            self._runs_by_key[key] = self._runs_by_key.pop(key, 0) + 1
            if len(self._runs_by_key) > _MAX_KEYS:
                self._runs_by_key.pop(next(iter(self._runs_by_key)))
        time.sleep(self.settings.service_ms / 1000)
        with self.changed:
            self._holding += 1
        self.wait_while(lambda: self.settings.hold)
        with self.changed:
            self._holding -= 1
        digest = hashlib.sha256(body).hexdigest()
        return {"key": key, "operation": operation, "run": run, "digest": digest}


def main() -> None:
    """Run the service stand-in."""
    server.run_program(Settings(), Service)


if __name__ == "__main__":
    main()
