"""Steps for admission to a backend server, with simulated time."""

import collections
import concurrent.futures
import itertools
import random

import behave

import admission_trials
from oleander_admission import admission, work
from oleander_base import clock
from oleander_contracts import contract


def _read_priority(text):
    return int(text) if text.lstrip("-").isdigit() else int(contract.Priority[text.upper()])


def _read_numbers(text):
    return {name: float(number) for name, number in (item.split(":") for item in text.split())}


@behave.given("an admission queue with {slots:d} slots and {places:d} places")
def create_queue(context, slots, places):
    context.server = admission_trials.SimulatedServer(slots, places)


@behave.when("admission receives the work {works}")
def submit_works(context, works):
    for text in works.split():
        work_id, priority, cost_ms, *budget = text.split(":")
        budget_ms = float(budget[0]) if budget else 1e9
        context.server.submit(work_id, _read_priority(priority), float(cost_ms), budget_ms)


@behave.when("admission hands out {count:d} works")
def take_works(context, count):
    for _ in range(count):
        assert context.server.queue.take(0) is not None


@behave.when("admission time passes by {milliseconds:d} ms")
def pass_time(context, milliseconds):
    context.server.now += milliseconds / 1000


@behave.when("admission work {work_id} ends after {milliseconds:d} ms")
def finish_work(context, work_id, milliseconds):
    context.server.queue.finish(work_id, milliseconds)


@behave.when("admission closes")
def close_queue(context):
    context.server.queue.close()


@behave.when("admission drops the waiting work")
def drop_waiting(context):
    context.server.queue.drop_waiting()


@behave.when("admission runs {count:d} works that take {factor:d} times the predicted {cost:d} ms")
def run_slowly(context, count, factor, cost):
    for number in range(count):
        context.server.submit(f"a{number}-slow", 1, cost)
        context.server.run_until(context.server.now + factor * cost / 1000, {"a": factor})


@behave.when("admission preempts {count:d} works of {cost:d} ms at their start")
def preempt_works(context, count, cost):
    for number in range(count):
        context.server.submit(f"a{number}-given-up", 2, cost)
        context.server.preempt(context.server.queue.take(0).work_id)


@behave.then("admission runs in order {order}")
def check_order(context, order):
    taken = []
    while (item := context.server.queue.take(0)) is not None:
        taken.append(item.work_id)
        context.server.queue.finish(item.work_id, item.cost_ms)
    assert taken == order.split(), taken


@behave.then("admission answered {answer} to the last work")
def check_answer(context, answer):
    refusal = context.server.answers[-1]
    assert (refusal.reason if refusal else "ok") == answer, refusal


@behave.then("admission said to retry after {minimum:d} to {maximum:d} ms")
def check_retry(context, minimum, maximum):
    refusal = context.server.answers[-1]
    retry_after_ms = refusal.retry_after_ms if refusal else 0
    assert minimum <= retry_after_ms <= maximum, retry_after_ms


@behave.then("admission dropped {dropped}")
def check_dropped(context, dropped):
    found = [
        f"{item.work.work_id}:{item.refusal.reason}"
        for item in context.server.queue.take_dropped()
    ]
    assert (" ".join(found) or "nothing") == dropped, found


@behave.then("admission has {queued:d} waiting and {running:d} running")
def check_counts(context, queued, running):
    queue = context.server.queue
    assert (queue.queued, queue.running) == (queued, running), (queue.queued, queue.running)


@behave.then("admission preempts {victim} for {priority} work")
def check_preemptible(context, victim, priority):
    found = context.server.queue.find_preemptible(_read_priority(priority))
    assert (found or "nothing") == victim, found


@behave.then("admission cancels {waiting} but not {running} or {unknown}")
def check_cancel(context, waiting, running, unknown):
    found = [context.server.queue.cancel(name) for name in (waiting, running, unknown)]
    assert found == [True, False, False], found


@behave.when(
    "admission is simulated for {seconds:d} s with arrivals {arrivals}"
    " and service factors {factors}"
)
def simulate_customers(context, seconds, arrivals, factors):
    source = random.Random(admission_trials.SEED)
    factors = _read_numbers(factors)
    events = []
    for customer, rate in _read_numbers(arrivals).items():
        moment = context.server.now
        while moment < 1000.0 + seconds:
            moment += source.expovariate(rate)
            events.append((moment, f"{customer}{len(events)}", source.uniform(5, 40)))
    for moment, work_id, cost_ms in sorted(events):
        context.server.run_until(moment, factors)
        context.server.submit(work_id, 1, cost_ms, 5000)


@behave.then("admission gave shares {shares} of the service time within 5 percent of each")
def check_shares(context, shares):
    found = context.server.service_ms
    total = sum(found.values())
    for customer, percent in _read_numbers(shares).items():
        found_percent = found[customer, 1] / total * 100
        assert abs(found_percent - percent) <= 0.05 * percent, (customer, found_percent)


@behave.when("admission is simulated with urgent work at {load:g} times the capacity of the slots")
def simulate_urgent(context, load):
    source = random.Random(admission_trials.SEED)
    server = context.server
    until = server.now + 160 / server.slots
    for number in itertools.count():
        server.run_until(server.now + source.expovariate(load * server.slots / 0.02))
        if server.now >= until:
            return
        server.submit(f"a{number}", 1, 20, 500)
        if number % 20 == 0:
            server.submit(f"d{number}-sync", 3, 400)
        victim = server.queue.find_preemptible(1)
        if victim is not None:
            server.preempt(victim)


@behave.then(
    "admission gave background work {minimum:d} to {maximum:d} percent of the service time"
)
def check_background(context, minimum, maximum):
    found = context.server.service_ms
    percent = found["d", 3] / sum(found.values()) * 100
    assert minimum <= percent <= maximum, percent


@behave.when("admission replays {count:d} arrivals of {customers} one by one")
def replay_arrivals(context, count, customers):
    source = random.Random(admission_trials.SEED)
    slots = context.server.slots
    events = [
        (
            source.expovariate(slots / 0.01),
            f"{source.choice(customers.split())}{number}",
            source.uniform(5, 40),
            source.uniform(50, 600),
        )
        for number in range(count)
    ]
    answers = admission_trials.replay(slots, events).answers
    assert 10 < sum(1 for answer in answers if answer is None) < count - 10
    context.errors = [
        admission_trials.measure_error(slots, events[: number + 1], answers[number])
        for number in range(count)
    ]


@behave.then("admission's answers were never wrong by more than {grain:g} ms")
def check_errors(context, grain):
    assert max(context.errors) <= grain, max(context.errors)


@behave.when(
    "{submitters:d} threads submit {count:d} works each while {takers:d} threads take for "
    "admission"
)
def submit_from_threads(context, submitters, count, takers):
    queue = admission.AdmissionQueue(context.server.slots, 1000)
    deadline = clock.start_deadline(30)

    def submit(submitter):
        for number in range(count):
            item = work.Work(f"{submitter}-{number}", f"{submitter}", 1, 25, 0.1, deadline)
            assert queue.submit(item).is_ok()

    def take():
        while len(context.taken) < submitters * count and not deadline.is_past:
            item = queue.take(0.01)
            if item is not None:
                context.taken.append(item.work_id)
                queue.finish(item.work_id, 0.1)

    context.taken = collections.deque()
    context.expected = {
        f"{submitter}-{number}" for submitter in range(submitters) for number in range(count)
    }
    with concurrent.futures.ThreadPoolExecutor(submitters + takers) as pool:
        futures = [pool.submit(take) for _ in range(takers)]
        futures += [pool.submit(submit, submitter) for submitter in range(submitters)]
        for future in futures:
            future.result()


@behave.then("admission handed out all {count:d} once")
def check_handed_out(context, count):
    assert len(context.taken) == count
    assert set(context.taken) == context.expected


@behave.when("admission is filled with {count:d} works of {priority} class")
def fill_queue(context, count, priority):
    for number in range(1, count + 1):
        context.server.submit(f"a{number}", _read_priority(priority), 10)


@behave.when("admission gets {count:d} random calls from seed {seed:d}")
def call_randomly(context, count, seed):
    context.calls = admission_trials.RandomCalls(context.server, random.Random(seed))
    for number in range(count):
        context.calls.call(number)
        context.server.now += 0.005
    context.server.now += 1000
    context.calls.drain()


@behave.then("each work that admission accepted ended once, and the bounds were kept")
def check_ends(context):
    calls = context.calls
    assert len(calls.accepted) > 100
    assert set(calls.ends) == calls.accepted
    assert set(calls.ends.values()) == {1}
    assert calls.max_queued <= calls.server.places
    assert calls.max_running <= calls.server.slots
