"""Steps for the fair share of request slots among organisations; time is simulated."""

import collections
import heapq
import random

import behave

from oleander_direct import fair_share

_SECONDS = 10.0
_USUAL_RATE = 5.0
_MAX_WAIT_SECONDS = 0.8
_SEED = 5
_BURST = "o0"


class Entry:
    """
    Simulates the threads of an entry; a request that the limiter refuses uses no thread.

    Requests run in order of arrival.
    """

    def __init__(self, places, service_seconds, has_limiter):
        self._free = places
        self._service_seconds = service_seconds
        self._now = 0.0
        self._limiter = fair_share.FairShareLimiter(places, lambda: self._now)
        self._has_limiter = has_limiter
        self._waiting = collections.deque()
        self._running = []
        self.served = collections.Counter()
        self.asked = collections.Counter()

    def play(self, arrivals):
        for at, organisation in arrivals:
            self._finish_until(at)
            self._now = at
            self.asked[organisation] += 1
            self._waiting.append((at, organisation))
            self._start_waiting()
        self._finish_until(float("inf"))

    def _finish_until(self, at):
        while self._running and self._running[0][0] <= at:
            self._now, organisation = heapq.heappop(self._running)
            self._free += 1
            if self._has_limiter:
                self._limiter.release(organisation)
            self._start_waiting()

    def _start_waiting(self):
        while self._free and self._waiting:
            since, organisation = self._waiting.popleft()
            if self._now - since > _MAX_WAIT_SECONDS:
                continue
            if self._has_limiter and not self._limiter.try_acquire(organisation):
                continue
            self._free -= 1
            self.served[organisation] += 1
            heapq.heappush(self._running, (self._now + self._service_seconds, organisation))

    def find_worst(self, alone):
        """
        Return the lowest percentage of requests served, over all organisations but the burst's.

        100 percent is what the same organisation is served in `alone`, a run without the burst.
        """
        others = [name for name in self.asked if name != _BURST]
        return min(100 * self.served[name] / alone.served[name] for name in others)


def _draw_arrivals(count, times):
    source = random.Random(_SEED)
    arrivals = []
    for number in range(count):
        rate = _USUAL_RATE * (times if number == 0 else 1)
        at = source.expovariate(rate)
        while at < _SECONDS:
            arrivals.append((at, f"o{number}"))
            at += source.expovariate(rate)
    return sorted(arrivals)


@behave.given("an entry with {places:d} slots whose requests take {milliseconds:d} ms")
def create_entry(context, places, milliseconds):
    context.entries = {
        name: Entry(places, milliseconds / 1000, name != "without shares")
        for name in ("shares", "without shares", "alone")
    }


@behave.when(
    "{count:d} organisations send 5 requests a second and one of them {times:d} times as many"
)
def play_burst(context, count, times):
    arrivals = _draw_arrivals(count, times)
    context.entries["shares"].play(arrivals)
    context.entries["without shares"].play(arrivals)
    context.entries["alone"].play([item for item in arrivals if item[1] != _BURST])


@behave.then(
    "each of the others gets at least {percent:d} percent of the answers"
    " that it gets without that one"
)
def check_others(context, percent):
    worst = context.entries["shares"].find_worst(context.entries["alone"])
    assert worst >= percent, worst


@behave.then("without a fair share some of them get less than {percent:d} percent of these")
def check_without(context, percent):
    worst = context.entries["without shares"].find_worst(context.entries["alone"])
    assert worst < percent, worst


@behave.given("an entry with {places:d} slots")
def create_limiter(context, places):
    context.now = 100.0
    context.limiter = fair_share.FairShareLimiter(places, lambda: context.now)


@behave.when("the organisations hold {held} of them and {other} have called {seconds:f} s ago")
def acquire_slots(context, held, other, seconds):
    counts = {name: int(count) for name, count in (item.split("=") for item in held.split())}
    context.now -= seconds
    if other != "none":
        assert context.limiter.try_acquire(other)
        context.limiter.release(other)
    context.now += seconds
    for name, count in counts.items():
        for _ in range(count):
            context.limiter.try_acquire(name)


@behave.then("one more request of red is {verdict}")
def check_verdict(context, verdict):
    assert context.limiter.try_acquire("red") == (verdict == "let in")
