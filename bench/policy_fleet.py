"""A simulated fleet of entries and backend servers under Poisson arrivals."""

import collections
import collections.abc
import dataclasses
import random

import policy_choosers
import policy_simulation


@dataclasses.dataclass(slots=True)
class Request:
    """A request; times are simulated seconds, `peer` is the server that ran it."""

    prefix: str
    service_ms: float
    started_at: float
    peer: str = ""
    was_cached: bool = False
    ended_at: float = 0.0

    @property
    def latency_ms(self) -> float:
        """Time from start to end, in milliseconds."""
        return (self.ended_at - self.started_at) * 1000


class Server:
    """A simulated backend server with slots, a FIFO queue and a prefix cache."""

    def __init__(
        self,
        name: str,
        simulation: policy_simulation.Simulation,
        cached_prefixes: int,
        prefill_ms: float,
    ) -> None:
        self.name = name
        self.running = 0
        self.slowdown = 1.0
        self.failing_part = 0.0
        self.waiting: collections.deque[tuple[Request, collections.abc.Callable[[bool], None]]]
        self.waiting = collections.deque()
        self._simulation = simulation
        self._source = random.Random(name)
        self._cached_prefixes = cached_prefixes
        self._prefill_ms = prefill_ms
        self._cache: collections.OrderedDict[str, None] = collections.OrderedDict()

    @property
    def outstanding(self) -> int:
        """Number of requests queued or running."""
        return self.running + len(self.waiting)

    def accept(self, request: Request, ended: collections.abc.Callable[[bool], None]) -> None:
        """Queue a request, or fail it after 1 ms with the probability `failing_part`."""
        request.peer = self.name
        if self._source.random() < self.failing_part:
            self._simulation.schedule(0.001, lambda: self._end(request, ended, False))
            self.running += 1
            return
        self.waiting.append((request, ended))
        self._start_next()

    def _start_next(self) -> None:
        while self.waiting and self.running < policy_choosers.SLOTS:
            request, ended = self.waiting.popleft()
            self.running += 1
            service_ms = (request.service_ms + self._prefill(request)) * self.slowdown
            self._schedule_end(request, ended, service_ms)

    def _schedule_end(
        self, request: Request, ended: collections.abc.Callable[[bool], None], service_ms: float
    ) -> None:
        self._simulation.schedule(service_ms / 1000, lambda: self._end(request, ended, True))

    def _end(
        self, request: Request, ended: collections.abc.Callable[[bool], None], succeeded: bool
    ) -> None:
        self.running -= 1
        request.ended_at = self._simulation.now
        ended(succeeded)
        self._start_next()

    def _prefill(self, request: Request) -> float:
        if not request.prefix:
            return 0.0
        request.was_cached = request.prefix in self._cache
        self._cache[request.prefix] = None
        self._cache.move_to_end(request.prefix)
        while len(self._cache) > self._cached_prefixes:
            self._cache.popitem(last=False)
        return 0.0 if request.was_cached else self._prefill_ms


@dataclasses.dataclass(slots=True, frozen=True)
class Traffic:
    """The size of a fleet and its load."""

    servers: int
    entries: int
    rate: float
    """Requests per second of all entries together."""
    service_ms: float
    report_seconds: float
    prefixes: int = 0
    prefill_ms: float = 0.0
    cached_prefixes: int = 0
    lognormal_sigma: float = 0.5


class Fleet:
    """Entries that send requests to servers, which send load reports at intervals."""

    def __init__(
        self,
        simulation: policy_simulation.Simulation,
        traffic: Traffic,
        choosers: list[policy_choosers.Chooser],
        seed: int,
    ) -> None:
        self.ended: list[Request] = []
        self.failed: list[Request] = []
        self._simulation = simulation
        self._traffic = traffic
        self._choosers = choosers
        self._source = random.Random(seed)
        self._weights = [1.0 / (rank + 1) for rank in range(traffic.prefixes)]
        self.servers = {
            name: Server(name, simulation, traffic.cached_prefixes, traffic.prefill_ms)
            for name in (f"server-{number}" for number in range(traffic.servers))
        }
        for server in self.servers.values():
            self._send_report(server)
            simulation.schedule(
                self._source.uniform(0, traffic.report_seconds), self._create_reporter(server)
            )
        self._schedule_arrival()

    def _create_reporter(self, server: Server) -> collections.abc.Callable[[], None]:
        def report() -> None:
            self._send_report(server)
            self._simulation.schedule(self._traffic.report_seconds, report)

        return report

    def _send_report(self, server: Server) -> None:
        for chooser in self._choosers:
            chooser.report(server.name, server.outstanding)

    def _schedule_arrival(self) -> None:
        self._simulation.schedule(self._source.expovariate(self._traffic.rate), self._arrive)

    def _arrive(self) -> None:
        self._schedule_arrival()
        sigma = self._traffic.lognormal_sigma
        factor = self._source.lognormvariate(-sigma * sigma / 2, sigma)
        request = Request(
            self._pick_prefix(), self._traffic.service_ms * factor, self._simulation.now
        )
        chooser = self._source.choice(self._choosers)
        name = chooser.choose(request.prefix)
        chooser.record_started(name)

        def ended(succeeded: bool) -> None:
            (self.ended if succeeded else self.failed).append(request)
            chooser.record_finished(name, succeeded, request.latency_ms)

        self.servers[name].accept(request, ended)

    def _pick_prefix(self) -> str:
        if not self._weights:
            return ""
        rank = self._source.choices(range(len(self._weights)), self._weights)[0]
        return f"prefix-{rank}"
