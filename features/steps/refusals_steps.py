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
_TRIAL_SECONDS = 0.4
_EVENT_MS = 40
_SLOWER = 10
_ANSWERS_TO_EJECT = 20


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
            self.router.record_finished(server.name, router.RouteOutcome.OK, 80)
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
            self.router.record_accepted(server.name, started_at)
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
            self.router.record_started(server.name, is_windowed=True)
            is_full = len(server.queued) + len(server.running) >= _SLOTS + _QUEUE
            if server.is_loading(self.now) or is_full:
                refused.append(server)
            else:
                server.queued.append(self.now)
        self.refused = refused

    def _refuse(self, server):
        server.refused += 1
        self.waiting += 1
        self.router.record_finished(server.name, router.RouteOutcome.REFUSED, 1)


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
    context.router.record_started("p1", is_windowed=True)
    context.routing_now += 1.0
    context.router.record_started("p1", is_windowed=True)
    context.router.record_finished("p1", router.RouteOutcome.REFUSED, 1)


@behave.when("the long one ends well")
def end_long(context):
    context.router.record_accepted("p1", context.began_at)
    context.router.record_finished("p1", router.RouteOutcome.OK, 80)


@behave.then("p1 takes no windowed request yet")
def check_closed(context):
    assert _choose(context).error.reason == router.WINDOWS_FULL


@behave.when("a trial after {seconds:g} s {taken} there")
def begin_trial(context, seconds, taken):
    context.routing_now += seconds
    assert _choose(context).is_ok()
    context.router.record_started("p1", is_windowed=True)
    assert _choose(context).error.reason == router.WINDOWS_FULL
    if taken == "begins":
        context.router.record_accepted("p1", context.routing_now)
    else:
        context.routing_now += 0.08


@behave.then("p1 takes windowed requests again")
def check_open(context):
    assert _choose(context).is_ok()


class SteppedRunner:
    """Hands out steps of texts to four servers; the first is the one that matters."""

    def __init__(self):
        self.now = 100.0
        self.router = router.Router(7, lambda: self.now)
        self.given = []
        for name in ("s0", "s1", "s2", "s3"):
            report = peers.PeerReport(
                "z", "engines", "1", 0, 0, _SLOTS, 0, None, in_rotation=True, leaving=False
            )
            self.router.update(name, report)

    def refuse(self, texts, seconds):
        """Let the first server refuse texts at once, and trials for some time."""
        for _ in range(texts):
            self.router.record_started("s0", is_windowed=True)
        for _ in range(texts):
            self._end("s0", router.RouteOutcome.REFUSED)
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + _TRIAL_SECONDS)
            self.router.record_started("s0", is_windowed=True)
            self._end("s0", router.RouteOutcome.REFUSED)

    def eject(self):
        """Let the first server answer, but ten times slower than the others."""
        for _ in range(_ANSWERS_TO_EJECT):
            for name in ("s0", "s1", "s2", "s3"):
                self.router.record_started(name, is_windowed=True)
                slower = _SLOWER if name == "s0" else 1
                self._end(name, router.RouteOutcome.OK, _EVENT_MS * slower)

    def hand_out(self, texts):
        """Hand out a step at once; return whom its texts were given to."""
        request = dataclasses.replace(routing_steps.build_request("any"), is_windowed=True)
        given = []
        for _ in range(texts):
            chosen = self.router.choose(request)
            if chosen.is_ok():
                self.router.record_started(chosen.ok, is_windowed=True)
                given.append(chosen.ok)
        self.given.append(given.count("s0"))
        return given

    def play_step(self, texts):
        """Hand out a step and let all of it be done."""
        given = self.hand_out(texts)
        self.now += _TEXT_SECONDS
        for name in given:
            self._end(name, router.RouteOutcome.OK, _EVENT_MS)

    def _end(self, name, outcome, milliseconds=1):
        self.router.record_finished(name, outcome, milliseconds)


@behave.given(
    "4 servers of 12 slots, of which one refused {texts:d} texts at once and then trials for"
    " {seconds:g} s"
)
def refuse_texts(context, texts, seconds):
    context.stepped = SteppedRunner()
    context.stepped.refuse(texts, seconds)


@behave.given("4 servers of 12 slots, of which one is ejected for being slow")
def eject_slow(context):
    context.stepped = SteppedRunner()
    context.stepped.eject()


@behave.when("a step of {texts:d} texts is handed out {pause:g} s later")
def hand_out_later(context, texts, pause):
    context.stepped.now += pause
    context.stepped.hand_out(texts)


@behave.when(
    "steps of {texts:d} texts are handed out each {gap:d} s for {seconds:d} s, and all are done at"
    " the same speed"
)
def hand_out_steps(context, texts, gap, seconds):
    for _ in range(seconds // gap):
        context.stepped.play_step(texts)
        context.stepped.now += gap - _TEXT_SECONDS


@behave.then("that server is given {least:d} to {most:d} of them")
@behave.then("that server is given {least:d} to {most:d} of the last step's")
def check_given(context, least, most):
    assert least <= context.stepped.given[-1] <= most, context.stepped.given


@behave.then("it was given {most:d} at most in the first")
def check_first_given(context, most):
    assert context.stepped.given[0] <= most, context.stepped.given


def _list_spare(context):
    """Return the peers with a spare place, found by giving each a queued request in turn."""
    request = dataclasses.replace(routing_steps.build_request("any"), is_windowed=True)
    found = []
    while (spare := context.router.find_free_peer(request)) is not None:
        found.append(spare.name)
        context.router.add_pending_stream(spare.name)
    for name in found:
        context.router.remove_pending_stream(name)
    return sorted(found)


@behave.then("only {name} has a spare place")
def check_only_spare(context, name):
    assert _list_spare(context) == [name], _list_spare(context)


@behave.then("p1 and p2 have spare places")
def check_all_spare(context):
    assert _list_spare(context) == ["p1", "p2"], _list_spare(context)
