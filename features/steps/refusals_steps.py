"""Steps for servers that refuse requests for a while, with simulated time."""

import dataclasses

import behave
import routing_steps

from oleander_routing import peers, router

_TICK_SECONDS = 0.005
"""
Step of the simulated time, and the time until a refusal arrives.

Texts sent to the refusing server meanwhile are refused too.
"""
_SLOTS = 12
_QUEUE = 12
_TEXT_SECONDS = 1.0
_LOAD_START_SECONDS = 0.5
_FILL_SECONDS = 0.1
_TRIAL_SECONDS = 0.4
_EVENT_MS = 40
_SLOW_FACTOR = 10
_ANSWERS_TO_EJECT = 20


@dataclasses.dataclass(slots=True)
class LoadingServer:
    """A server that, while it loads weights, refuses all texts that it has not started."""

    name: str
    loading_until: float = 0.0
    running: list = dataclasses.field(default_factory=list)
    queued: list = dataclasses.field(default_factory=list)
    refused: int = 0
    free_at: float = 0.0
    busy_at: float = 0.0
    full_at: float = 0.0

    def is_loading(self, now):
        return _LOAD_START_SECONDS <= now < self.loading_until


class RunnerSimulation:
    """A runner that sends texts to four servers as far as the windows allow."""

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
            self._send_texts()

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
        if self.now >= server.loading_until > 0.0 and len(server.running) < _SLOTS:
            server.free_at = server.free_at or self.now
        while server.queued and len(server.running) < _SLOTS:
            started_at = server.queued.pop(0)
            server.running.append((started_at, self.now + _TEXT_SECONDS))
            self.router.record_accepted(server.name, started_at)
            self._record_progress(server)

    def _record_progress(self, server):
        if not server.free_at:
            return
        server.busy_at = server.busy_at or self.now
        if len(server.running) == _SLOTS:
            server.full_at = server.full_at or self.now

    def _send_texts(self):
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


@behave.given("a runner with {texts:d} texts for 4 servers")
def create_runner(context, texts):
    context.simulation = RunnerSimulation(texts)


@behave.when("{count:d} of them load weights for {seconds:g} s")
def load_weights(context, count, seconds):
    context.loading = context.simulation.servers[:count]
    context.seconds = seconds
    for server in context.loading:
        server.loading_until = _LOAD_START_SECONDS + seconds
    context.simulation.run(_LOAD_START_SECONDS + seconds * 1.4 + 1.0)


@behave.then("each loading server refuses at most {maximum:d} trials")
def check_trials(context, maximum):
    counts = [server.refused for server in context.loading]
    assert max(counts) <= maximum, counts


@behave.then(
    "each loaded server with a free slot gets a text within {idle:g} s, and is full within "
    "another 0.1 s"
)
def check_idle(context, idle):
    for server in context.loading:
        assert server.busy_at, f"{server.name} got nothing"
        assert server.busy_at - server.free_at <= idle, server.busy_at - server.free_at
        assert server.full_at - server.busy_at <= _FILL_SECONDS, server


@behave.then("at least {fraction:g} of the texts that the other servers can run have ended")
def check_done(context, fraction):
    simulation = context.simulation
    others = len(simulation.servers) - len(context.loading)
    capacity = (simulation.now - 2 * _TEXT_SECONDS) * others * _SLOTS / _TEXT_SECONDS
    assert simulation.done >= fraction * capacity, (simulation.done, capacity)


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


@behave.then("p1 accepts no windowed request yet")
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


@behave.then("p1 accepts windowed requests again")
def check_open(context):
    assert _choose(context).is_ok()


class SteppedRunner:
    """Sends steps of texts to four servers, of which the first refuses or is slow."""

    def __init__(self):
        self.now = 100.0
        self.router = router.Router(7, lambda: self.now)
        self.first_server_counts = []
        for name in ("s0", "s1", "s2", "s3"):
            report = peers.PeerReport(
                "z", "engines", "1", 0, 0, _SLOTS, 0, None, in_rotation=True, leaving=False
            )
            self.router.update(name, report)

    def refuse(self, texts, seconds):
        """
        Let the first server refuse some texts at once, then trials for some seconds.

        A trial is a single text that tests whether the server still refuses.
        """
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
                slower = _SLOW_FACTOR if name == "s0" else 1
                self._end(name, router.RouteOutcome.OK, _EVENT_MS * slower)

    def send_step(self, texts):
        """Send the texts of a step; return the name of the server of each."""
        request = dataclasses.replace(routing_steps.build_request("any"), is_windowed=True)
        chosen_names = []
        for _ in range(texts):
            chosen = self.router.choose(request)
            if chosen.is_ok():
                self.router.record_started(chosen.ok, is_windowed=True)
                chosen_names.append(chosen.ok)
        self.first_server_counts.append(chosen_names.count("s0"))
        return chosen_names

    def run_step(self, texts):
        """Send the texts of a step and let all of them succeed."""
        chosen_names = self.send_step(texts)
        self.now += _TEXT_SECONDS
        for name in chosen_names:
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


@behave.when("a step of {texts:d} texts is sent {pause:g} s later")
def send_step_later(context, texts, pause):
    context.stepped.now += pause
    context.stepped.send_step(texts)


@behave.when(
    "steps of {texts:d} texts are sent every {gap:d} s for {seconds:d} s, and all servers are "
    "equally fast"
)
def send_steps(context, texts, gap, seconds):
    for _ in range(seconds // gap):
        context.stepped.run_step(texts)
        context.stepped.now += gap - _TEXT_SECONDS


@behave.then("that server gets {minimum:d} to {maximum:d} of them")
@behave.then("that server gets {minimum:d} to {maximum:d} texts of the last step")
def check_last_step(context, minimum, maximum):
    assert minimum <= context.stepped.first_server_counts[-1] <= maximum, (
        context.stepped.first_server_counts
    )


@behave.then("it got at most {maximum:d} texts of the first step")
def check_first_step(context, maximum):
    assert context.stepped.first_server_counts[0] <= maximum, context.stepped.first_server_counts


def _list_free_peers(context):
    """Return the peers with a free slot, found by adding a pending stream to each in turn."""
    request = dataclasses.replace(routing_steps.build_request("any"), is_windowed=True)
    found = []
    while (free := context.router.find_free_peer(request)) is not None:
        found.append(free.name)
        context.router.add_pending_stream(free.name)
    for name in found:
        context.router.remove_pending_stream(name)
    return sorted(found)


@behave.then("only {name} has a free slot to offer")
def check_only_free(context, name):
    assert _list_free_peers(context) == [name], _list_free_peers(context)


@behave.then("p1 and p2 have free slots to offer")
def check_all_free(context):
    assert _list_free_peers(context) == ["p1", "p2"], _list_free_peers(context)
