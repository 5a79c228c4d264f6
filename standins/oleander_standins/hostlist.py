"""A stand-in for the platform's host list, which shows changes after a delay."""

import collections
import dataclasses
import time
import typing

from oleander_standins import server

_MAX_CHANGES = 1000
_LEAVING = "leaving"

_Host = dict[str, str]


@dataclasses.dataclass(slots=True)
class Settings(server.Settings):
    """Settings of the host list."""

    lag_ms: int = 0
    """Delay in milliseconds until a change shows in the list."""


class HostList(server.StandIn[Settings]):
    """
    Serves the list of hosts as it was `lag_ms` ago.

    Control commands: `set` replaces the list, `add` adds or replaces a host, `remove` removes the
    host of a name, `leaving` marks it as leaving. The newest thousand changes are kept, so with
    more of them within `lag_ms` the oldest are lost.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self._changes: collections.deque[tuple[float, list[_Host]]] = collections.deque(
            [(0.0, [])], _MAX_CHANGES
        )
        self._reads = 0

    def answer(self, exchange: server.Exchange) -> None:
        """Answer a request for the list of hosts."""
        if exchange.route != ("GET", "hosts"):
            exchange.send_json(404, {"reason": "no such path"})
            return
        with self.changed:
            self._reads += 1
            hosts = self._read_shown()
        exchange.send_json(200, {"hosts": hosts})

    def count(self, query: dict[str, str]) -> dict[str, typing.Any]:
        """Return the number of reads, the current list and the list that is shown."""
        return {"reads": self._reads, "hosts": self._changes[-1][1], "shown": self._read_shown()}

    def command(self, name: str, value: typing.Any) -> bool:
        """Run a control command on the list; return False if the command is unknown."""
        current = self._changes[-1][1]
        match name:
            case "set":
                hosts = list({host["name"]: host for host in value}.values())
            case "add":
                hosts = list({host["name"]: host for host in [*current, value]}.values())
            case "remove":
                hosts = [host for host in current if host["name"] != value]
            case "leaving":
                hosts = [
                    host | {"state": _LEAVING} if host["name"] == value else host
                    for host in current
                ]
            case _:
                return False
        self._changes.append((time.monotonic(), hosts))
        return True

    def _read_shown(self) -> list[_Host]:
        newest = time.monotonic() - self.settings.lag_ms / 1000
        shown = [hosts for changed_at, hosts in self._changes if changed_at <= newest]
        return shown[-1] if shown else []


def main() -> None:
    """Run the host list stand-in."""
    server.run_program(Settings(), HostList)


if __name__ == "__main__":
    main()
