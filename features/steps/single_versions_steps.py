"""Steps for texts that are generated with one weight version."""

import dataclasses
import threading

import behave

import batch_processes
from oleander_base import clock
from oleander_batches import submission
from oleander_standins import recordlog

_PATHS = {"single": "/u/1", "usual": "/b/1"}


def _start(context, listed):
    """Start a process with exactly the engines listed; running streams of others go on."""
    parts = [item.replace("=", "/").split("/") for item in listed.split()]
    context.engines.behaviours.update({name: behaviour for name, behaviour, _, _ in parts})
    context.engines.versions.update({name: int(made) for name, _, _, made in parts})
    context.process = batch_processes.RunnerProcess(
        context.log_service,
        context.engines,
        [name for name, *_ in parts],
        listed_versions={name: int(version) for name, _, version, _ in parts},
    )


def _accept(context, batch_id, route):
    items = tuple(
        submission.Item(str(number), "/b/i", (), b"", batch_processes.EVENTS, f"g{number}", None)
        for number in range(batch_processes.ITEMS)
    )
    submitted = submission.Submission(
        batch_id, "h", _PATHS[route], 0, batch_processes.MODEL, 1, 1, items
    )
    assert context.process.journal.accept(submitted, clock.start_deadline(1.0)).is_ok()
    context.batch_id = batch_id


def _read_results(context):
    batch = context.process.journal.index.find(context.batch_id)
    if batch is None or len(batch.result_locations) < batch_processes.ITEMS:
        return ()
    read = context.process.journal.read_results(batch, 0, clock.start_deadline(1.0))
    return read.ok.results


@behave.given("a runner with the listed engines {listed}")
def start_runner(context, listed, wrap_items=None):
    context.engines = batch_processes.FakeEngines({})
    context.engines.wrap_items = wrap_items or context.engines.wrap_items
    context.log_service = recordlog.MemoryRecordLog()
    _start(context, listed)
    context.add_cleanup(lambda: context.process.stop())


@behave.when(
    "a batch for the {route} route is accepted and its items have {events:d} event of version "
    "{version:d} each"
)
def accept_and_wait(context, route, events, version):
    _accept(context, "batch", route)
    generated = context.engines.generated
    batch_processes.wait_until(
        10,
        lambda: all(
            generated[str(number), events, version] for number in range(batch_processes.ITEMS)
        ),
        lambda: dict(generated),
    )


@behave.when("{name} crashes and there are the engines {listed}")
def crash(context, name, listed):
    for item in listed.split():
        engine, behaviour, version, made = item.replace("=", "/").split("/")
        context.engines.behaviours[engine] = behaviour
        context.engines.versions[engine] = int(made)
        context.process.put_engine(engine, int(version))
    context.engines.crashed.add(name)


@behave.when("the process hands over to one with the engines {listed}")
def hand_over(context, listed):
    old = context.process
    old.runner.drain()
    stopper = threading.Thread(target=old.stop)
    stopper.start()
    _start(context, listed)
    stopper.join()


@behave.when("its items are submitted again for the {route} route")
def submit_again(context, route):
    _accept(context, "second", route)


@behave.then("within {seconds:d} s all items are done with the versions {versions}")
def check_versions(context, seconds, versions):
    batch_processes.wait_until(
        seconds, lambda: _read_results(context), lambda: dict(context.engines.generated)
    )
    expected = tuple(int(version) for version in versions.split())
    for result in _read_results(context):
        whole = "\n".join(
            f"{result.item_id}.{number}" for number in range(1, batch_processes.EVENTS + 1)
        )
        assert result.state is submission.ResultState.DONE, result
        assert result.text == whole, result
        assert result.versions == expected, result


@behave.when("all items are done with the versions {versions}")
def await_versions(context, versions):
    check_versions(context, 12, versions)


class MixingItems:
    """Runs items, but names two versions in the first result of each."""

    def __init__(self, items):
        self._items = items
        self._mixed = set()

    def run_item(self, item, server, on_dequeued):
        result = self._items.run_item(item, server, on_dequeued)
        if result is None or result.item_id in self._mixed:
            return result
        self._mixed.add(result.item_id)
        return dataclasses.replace(result, versions=(1, 2))


@behave.given(
    "a process whose items first result in the versions 1 and 2, with the listed engines {listed}"
)
def start_mixing_runner(context, listed):
    start_runner(context, listed, MixingItems)
