"""Steps for servers that refuse for a while; time is simulated."""

import dataclasses

import behave
import routing_steps

from oleander_routing import peers, router

_TICK_SECONDS = 0.005
"""Also how long a refusal takes to come back; what is handed out meanwhile meets the same."""
_SLOTS = 12
_QUEUE = 12
_TEXT_SECONDS = 1.0
_LOAD_AT = 0.5
_FULL_SECONDS = 0.1


@dataclasses.dataclass(slots=True)
class LoadingServer:
    """A server that refuses all that has not begun while it loads."""

    name: str
    loads_until: float = 0.0
    running: list = dataclasses.field(default_factory=list)
    queued: list = dataclasses.field(default_factory=list)
    refused: int = 0
    free_at: float = 0.0
    worked_at: float = 0.0
    full_at: float = 0.0

    def is_loading(self, now):
        return _LOAD_AT <= now < self.loads_until


class Simulation:
    """A runner that hands out texts as often as windows allow."""

    def __init__(self, texts):
        self.now = 0.0
        self.router = router.Router(5, lambda: self.now)
        self.servers = [LoadingServer(f"s{number}") for number in range(4)]
        self.waiting = texts
        self.done = 0
        self.refused = []
        for server in self.servers:
            report = peers.PeerReport(
                "z", "engines", "1", 0, 0, _SLOTS, 0, None, in_rotation=True, leaving=False
            )
            self.router.update(server.name, report)

    def run(self, until):
        while self.now < until:
            self.now += _TICK_SECONDS
            for server in self.refused:
                self._refuse(server)
            for server in self.servers:
                self._advance(server)
            self._hand_out()

    def _advance(self, server):
        ended = [item for item in server.running if item[1] <= self.now]
        server.running = [item for item in server.running if item[1] > self.now]
        for _ in ended:
            self.done += 1
            self.router.note_finished(server.name, router.RouteOutcome.OK, 80)
        if server.is_loading(self.now):
            for _ in server.queued:
                self._refuse(server)
            server.queued = []
            return
        if self.now >= server.loads_until > 0.0 and len(server.running) < _SLOTS:
            server.free_at = server.free_at or self.now
        while server.queued and len(server.running) < _SLOTS:
            started_at = server.queued.pop(0)
            server.running.append((started_at, self.now + _TEXT_SECONDS))
            self.router.note_accepted(server.name, started_at)
            self._note_work(server)

    def _note_work(self, server):
        if not server.free_at:
            return
        server.worked_at = server.worked_at or self.now
        if len(server.running) == _SLOTS:
            server.full_at = server.full_at or self.now

    def _hand_out(self):
        request = dataclasses.replace(routing_steps.build_request("any"), is_windowed=True)
        refused = []
        while self.waiting:
            chosen = self.router.choose(request)
            if chosen.is_error():
                break
            server = next(item for item in self.servers if item.name == chosen.ok)
            self.waiting -= 1
            self.router.note_started(server.name, is_windowed=True)
            is_full = len(server.queued) + len(server.running) >= _SLOTS + _QUEUE
            if server.is_loading(self.now) or is_full:
                refused.append(server)
            else:
                server.queued.append(self.now)
        self.refused = refused

    def _refuse(self, server):
        server.refused += 1
        self.waiting += 1
        self.router.note_finished(server.name, router.RouteOutcome.REFUSED, 1)


@behave.given("a runner with {texts:d} texts before 4 servers")
def create_runner(context, texts):
    context.simulation = Simulation(texts)


@behave.when("{count:d} of them load weights for {seconds:g} s")
def load_weights(context, count, seconds):
    context.loading = context.simulation.servers[:count]
    context.seconds = seconds
    for server in context.loading:
        server.loads_until = _LOAD_AT + seconds
    context.simulation.run(_LOAD_AT + seconds * 1.4 + 1.0)


@behave.then("a server that loads refuses at most {most:d} trials")
def check_trials(context, most):
    counts = [server.refused for server in context.loading]
    assert max(counts) <= most, counts


@behave.then(
    "a server that has loaded and has a place gets work within {idle:g} s, and is full within "
    "another 0.1 s"
)
def check_idle(context, idle):
    for server in context.loading:
        assert server.worked_at, f"{server.name} got nothing"
        assert server.worked_at - server.free_at <= idle, server.worked_at - server.free_at
        assert server.full_at - server.worked_at <= _FULL_SECONDS, server


@behave.then("texts were done at no less than {part:g} of what the others can do")
def check_done(context, part):
    simulation = context.simulation
    others = len(simulation.servers) - len(context.loading)
    could = (simulation.now - 2 * _TEXT_SECONDS) * others * _SLOTS / _TEXT_SECONDS
    assert simulation.done >= part * could, (simulation.done, could)


def _choose(context):
    request = dataclasses.replace(routing_steps.build_request("any"), is_windowed=True)
    excluded = dataclasses.replace(request, excluded=frozenset(["p2"]))
    return context.router.choose(excluded)


@behave.when("p1 refuses a windowed request after a long one began")
def refuse_after_start(context):
    context.began_at = context.routing_now
    context.router.note_started("p1", is_windowed=True)
    context.routing_now += 1.0
    context.router.note_started("p1", is_windowed=True)
    context.router.note_finished("p1", router.RouteOutcome.REFUSED, 1)


@behave.when("the long one ends well")
def end_long(context):
    context.router.note_accepted("p1", context.began_at)
    context.router.note_finished("p1", router.RouteOutcome.OK, 80)


@behave.then("p1 takes no windowed request yet")
def check_closed(context):
    assert _choose(context).error.reason == router.WINDOWS_FULL


@behave.when("a trial after {seconds:d} s {taken} there")
def begin_trial(context, seconds, taken):
    context.routing_now += seconds
    assert _choose(context).is_ok()
    context.router.note_started("p1", is_windowed=True)
    assert _choose(context).error.reason == router.WINDOWS_FULL
    if taken == "begins":
        context.router.note_accepted("p1", context.routing_now)
    else:
        context.routing_now += 0.08


@behave.then("p1 takes windowed requests again")
def check_open(context):
    assert _choose(context).is_ok()
