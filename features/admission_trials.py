"""A simulated server with an admission queue, replays of its arrivals, and random calls to it."""

import collections
import heapq
import itertools
import random

from oleander_admission import admission, work
from oleander_base import clock

SHARES = {"a": 50, "b": 30, "c": 20, "d": 1}
SEED = 20


class SimulatedServer:
    """An admission queue and the slots behind it, in simulated time."""

    def __init__(self, slots, places):
        self.now = 1000.0
        self.slots = slots
        self.places = places
        self.queue = admission.AdmissionQueue(slots, places, lambda: self.now, random.Random(SEED))
        self.answers = []
        self.service_ms = collections.Counter()
        self.ended_at = {}
        self._ends = []
        self._numbers = itertools.count()

    def submit(self, work_id, priority, cost_ms, budget_ms=1e9):
        deadline = clock.Deadline(self.now + budget_ms / 1000)
        customer = work_id[0]
        item = work.Work(work_id, customer, priority, SHARES[customer], cost_ms, deadline)
        result = self.queue.submit(item)
        self.answers.append(result.error if result.is_error() else None)

    def start_all(self, factors=None):
        while (item := self.queue.take(0)) is not None:
            service_ms = item.cost_ms * (factors or {}).get(item.customer, 1.0)
            end = (self.now + service_ms / 1000, next(self._numbers), item, service_ms)
            heapq.heappush(self._ends, end)

    def run_until(self, moment, factors=None):
        self.start_all(factors)
        while self._ends and self._ends[0][0] <= moment:
            self.now, _, item, service_ms = heapq.heappop(self._ends)
            self.queue.finish(item.work_id, service_ms)
            self.service_ms[item.customer, item.priority] += service_ms
            self.ended_at[item.work_id] = self.now
            self.start_all(factors)
            self.queue.take_dropped()
        self.now = moment

    def preempt(self, work_id):
        self._ends = [end for end in self._ends if end[2].work_id != work_id]
        heapq.heapify(self._ends)
        self.queue.finish(work_id, 0.0, completed=False)


def replay(slots, events, is_last_unbounded=False):
    server = SimulatedServer(slots, 1000)
    for number, (gap, work_id, cost_ms, budget_ms) in enumerate(events, start=1):
        server.run_until(server.now + gap)
        is_unbounded = is_last_unbounded and number == len(events)
        server.submit(work_id, 1, cost_ms, 1e9 if is_unbounded else budget_ms)
    return server


def measure_error(slots, events, answer):
    """Return the ms by which the answer to the last event was wrong; 0 if it was right."""
    server = replay(slots, events, is_last_unbounded=True)
    arrived_at = server.now
    server.run_until(arrived_at + 100)
    overrun_ms = (server.ended_at[events[-1][1]] - arrived_at) * 1000 - events[-1][3]
    return max(0.0, overrun_ms if answer is None else -overrun_ms)


class RandomCalls:
    """Makes random calls to an admission queue and counts how often each piece of work ended."""

    def __init__(self, server, source):
        self.server = server
        self.accepted = set()
        self.ends = collections.Counter()
        self.max_queued = 0
        self.max_running = 0
        self._source = source
        self._running = []

    def call(self, number):
        choices = [self._submit] * 4 + [self._take] * 2 + [self._finish, self._cancel]
        self._source.choice(choices)(number)
        if number % 20 == 0:
            self._collect()
        queue = self.server.queue
        self.max_queued = max(self.max_queued, queue.queued)
        self.max_running = max(self.max_running, queue.running)

    def drain(self):
        self.server.queue.close()
        while self._running:
            self._finish(0)
        assert self.server.queue.take(0) is None
        self._collect()

    def _submit(self, number):
        name = f"{self._source.choice('abcd')}{number}"
        cost_ms = self._source.uniform(1, 50)
        budget_ms = self._source.uniform(1, 400)
        self.server.submit(name, self._source.randrange(4), cost_ms, budget_ms)
        if self.server.answers[-1] is None:
            self.accepted.add(name)

    def _take(self, _):
        item = self.server.queue.take(0)
        if item is not None:
            self.ends[item.work_id] += 1
            self._running.append(item)

    def _finish(self, _):
        if self._running:
            item = self._running.pop(self._source.randrange(len(self._running)))
            self.server.queue.finish(item.work_id, item.cost_ms * self._source.uniform(0.2, 3))

    def _cancel(self, _):
        name = self._source.choice(sorted(self.accepted) or ["nothing"])
        if self.server.queue.cancel(name):
            self.ends[name] += 1

    def _collect(self):
        for item in self.server.queue.take_dropped():
            self.ends[item.work.work_id] += 1
