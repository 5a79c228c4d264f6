"""
A result of a `single_version` route names two versions.

The trainer requests step 2 while step 1 is open, ends step 1 and names version 2. A sampler
crashes in the middle of an item of step 2, after the others have loaded the version. The item goes
on at one of those, from the text that the first made.
"""

import pathlib

from common import case, record, sampler, site, store, trainer

_FRONTS = 2
_SAMPLERS = 3
_EVENTS = 60
_INTERVAL_SECONDS = 0.1
_SHORT_EVENTS = 8
_MIN_EVENTS = 10
"""Events that the sampler has made at least when it crashes."""
_NEXT_VERSION = 2
_STEP_SECONDS = 30.0
_LOADS_SECONDS = 10.0


def play(written: record.Record, has_trouble: bool) -> list[str]:
    """Run a step that was requested ahead while the weights change."""
    platform = store.Store(written)
    configuration = site.describe_configuration(single_version=True)
    platform.put("keyed.op", "config", configuration)
    models = [
        sampler.ModelSampler(f"i-model-{number}", "pitch-lm", 8, platform, written)
        for number in range(_SAMPLERS)
    ]
    for number in range(2):
        sampler.Server(f"i-app-{number}", "route-app", 6, platform, written)
    deployment = site.Site(platform, written, _FRONTS)
    try:
        deployment.await_ready()
        return _run_step(written, has_trouble, platform, models, deployment)
    finally:
        deployment.close()


def _run_step(
    written: record.Record,
    has_trouble: bool,
    platform: store.Store,
    models: list[sampler.ModelSampler],
    deployment: site.Site,
) -> list[str]:
    client = trainer.Trainer(deployment.fronts, written)
    item_id = client.create_id()
    short_id = client.create_id()
    for model in models:
        model.scripts[short_id] = sampler.Script(_SHORT_EVENTS, _INTERVAL_SECONDS)
        model.scripts[item_id] = sampler.Script(_EVENTS, _INTERVAL_SECONDS)
    front = deployment.fronts[0]
    earlier = _submit(client, front, short_id, 1)
    batch_id = _submit(client, front, item_id, 2)
    client.read(earlier, 1, _STEP_SECONDS)
    client.end(front, earlier)
    first = _find_running(models, item_id)
    written.write("trainer", f"names version {_NEXT_VERSION}")
    for model in models:
        model.named_version = _NEXT_VERSION
    version = {"model": sampler.MODEL, "version": _NEXT_VERSION}
    platform.put("keyed.op", f"version/{sampler.MODEL}", version)
    others = [model for model in models if model is not first]
    if has_trouble:
        site.await_condition(
            lambda: (
                all(model.version == _NEXT_VERSION for model in others)
                and _count_events(first, item_id) >= _MIN_EVENTS
            ),
            _LOADS_SECONDS,
            "the other samplers did not load the version",
        )
        first.crash()
    _, results = client.read(batch_id, 1, _STEP_SECONDS)
    if not results:
        raise site.CannotRunError("the step was not finished")
    made = {
        event[1]
        for model in models
        for run in model.runs
        if run.request_id == item_id
        for event in run.events
    }
    return _check(results[0]["versions"], results[0]["state"], sorted(made))


def _submit(client: trainer.Trainer, front: site.Front, item_id: str, step: int) -> str:
    batch_id = client.create_id()
    body = client.build_batch([item_id], step, 1, 1, 4000)
    if client.submit(front, batch_id, body, 4.0) != 202:
        raise site.CannotRunError("the batch was not accepted")
    return batch_id


def _find_running(models: list[sampler.ModelSampler], item_id: str) -> sampler.ModelSampler:
    def find() -> list[sampler.ModelSampler]:
        return [model for model in models if any(run.request_id == item_id for run in model.runs)]

    site.await_condition(lambda: bool(find()), _LOADS_SECONDS, "the item was not run")
    return find()[-1]


def _count_events(model: sampler.ModelSampler, item_id: str) -> int:
    return sum(len(run.events) for run in model.runs if run.request_id == item_id)


def _check(versions: list[int], state: str, made: list[int]) -> list[str]:
    if state != "completed" or len(versions) == 1:
        return []
    return [
        f"VERSION: a result of a single_version route names the versions {versions}; "
        f"events were made under {made}"
    ]


if __name__ == "__main__":
    case.run(pathlib.Path(__file__).parent, play)
