"""Steps for the items of a batch on engines that fail."""

import threading

import behave

import batch_processes
from oleander_base import clock
from oleander_batches import submission
from oleander_standins import recordlog


def _start(context, listed, scorer="answers"):
    behaviours = dict(item.split("=") for item in listed.split())
    context.engines = batch_processes.FakeEngines(behaviours, scorer)
    context.log_service = recordlog.MemoryRecordLog()
    context.process = batch_processes.RunnerProcess(
        context.log_service, context.engines, list(behaviours)
    )
    context.add_cleanup(lambda: context.process.stop())


@behave.given("a runner with the engines {listed}")
def start_runner(context, listed):
    listed, _, scorer = listed.partition(" and a scorer that ")
    _start(context, listed, scorer or "answers")


@behave.when("a batch that allows versions from {oldest:d} on is accepted")
def accept(context, oldest):
    items = tuple(
        submission.Item(
            str(number),
            "/b/i",
            (),
            b"",
            batch_processes.EVENTS,
            f"g{number}",
            submission.Scoring(f"s{number}", "h", "/s/x", b""),
        )
        for number in range(batch_processes.ITEMS)
    )
    submitted = submission.Submission(
        "batch", "h", "/b/1", 0, batch_processes.MODEL, oldest, 1, items
    )
    assert context.process.journal.accept(submitted, clock.start_deadline(1.0)).is_ok()


def _read_results(context):
    batch = context.process.journal.index.find("batch")
    results = []
    while batch is not None and len(results) < len(batch.result_locations):
        read = context.process.journal.read_results(batch, len(results), clock.start_deadline(1.0))
        results += read.ok.results
    return results


@behave.then("within {seconds:d} s its results are {state}")
def check_results(context, seconds, state):
    batch_processes.wait_until(
        seconds,
        lambda: len(_read_results(context)) == batch_processes.ITEMS,
        lambda: _read_results(context),
    )
    for result in _read_results(context):
        assert result.state.value == state, result
        if state == "done":
            whole = "\n".join(
                f"{result.item_id}.{number}" for number in range(1, batch_processes.EVENTS + 1)
            )
            assert result.text == whole, result
            assert result.score == f"score-s{result.item_id}", result
            assert result.versions == (2,), result


@behave.then("no event was generated twice with the same version")
def check_generated_once(context):
    again = {key: count for key, count in context.engines.generated.items() if count > 1}
    assert not again, again


@behave.when("the batch is ended")
def end_batch(context):
    batch_processes.wait_until(2, lambda: context.engines.running > 0, lambda: "nothing began")
    assert context.process.journal.end("batch", clock.start_deadline(1.0)).is_ok()


@behave.then("within {seconds:d} s nothing runs at the engines")
def check_idle(context, seconds):
    batch_processes.wait_until(
        seconds, lambda: context.engines.running == 0, lambda: context.engines.running
    )


@behave.when("its items have {events:d} events each")
def wait_events(context, events):
    made = context.engines.generated
    batch_processes.wait_until(
        10,
        lambda: all(made[str(number), events, 2] for number in range(batch_processes.ITEMS)),
        lambda: dict(made),
    )


@behave.when("the runner is drained while the log is down")
def drain_without_log(context):
    context.log_service.faults.is_down = True
    context.process.runner.drain()
    context.log_service.faults.is_down = False


@behave.when("the runner is drained and another takes over with the engines {listed}")
def take_over(context, listed):
    context.process.runner.drain()
    old = context.process
    stopper = threading.Thread(target=old.stop)
    stopper.start()
    behaviours = dict(item.split("=") for item in listed.split())
    context.engines.behaviours = behaviours
    context.process = batch_processes.RunnerProcess(
        context.log_service, context.engines, list(behaviours)
    )
    stopper.join()


@behave.then(
    "within {seconds:g} s the measured time per event of {name} is {least:d} to {most:d} ms"
)
def check_rate(context, seconds, name, least, most):
    def read_rate():
        known = context.process.router.list_peers()
        return next(peer.event_interval_ms for peer in known if peer.name == name)

    batch_processes.wait_until(seconds, lambda: least <= read_rate() <= most, read_rate)
