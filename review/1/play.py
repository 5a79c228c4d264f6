"""
A batch is refused with 503 at every attempt, and its items run later.

The store carries out the append that accepts the batch and its connection is reset before the
answer. The front program sends the append again, on a new connection; the store is down by then
and answers 503.
"""

import pathlib
import time

from common import case, record, sampler, site, store, trainer

_FRONTS = 3
_SAMPLERS = 3
_ITEMS = 8
_EVENTS = 12
_ATTEMPTS = 3
_RETRY_SECONDS = 0.2
"""The Retry-After of the refusals."""
_DOWN_SECONDS = 4.5
"""`platform_down` of the site's troubles."""
_WATCH_SECONDS = 12.0
_REFUSALS = (408, 421, 429, 503)
_INDEX_TOPIC = "oleander.index"


def play(written: record.Record, has_trouble: bool) -> list[str]:
    """Submit a batch and watch whether it runs."""
    platform = store.Store(written)
    platform.put("keyed.op", "config", site.describe_configuration())
    models = [
        sampler.ModelSampler(f"i-model-{number}", "pitch-lm", 8, platform, written)
        for number in range(_SAMPLERS)
    ]
    for number in range(2):
        sampler.Server(f"i-app-{number}", "route-app", 6, platform, written)
    deployment = site.Site(platform, written, _FRONTS)
    try:
        deployment.await_ready()
        return _submit(written, has_trouble, platform, models, deployment)
    finally:
        deployment.close()


def _submit(
    written: record.Record,
    has_trouble: bool,
    platform: store.Store,
    models: list[sampler.ModelSampler],
    deployment: site.Site,
) -> list[str]:
    client = trainer.Trainer(deployment.fronts, written)
    batch_id = client.create_id()
    item_ids = [client.create_id() for _ in range(_ITEMS)]
    for model in models:
        model.scripts |= {item_id: sampler.Script(_EVENTS, 0.03) for item_id in item_ids}
    body = client.build_batch(item_ids, 0, 1, 4, 600)

    def is_acceptance(topic: str, records: list[bytes]) -> bool:
        if topic != _INDEX_TOPIC or not any(batch_id.encode() in item for item in records):
            return False
        written.write("store", f"is down for {_DOWN_SECONDS} s and answers 503")
        platform.refuse_all(_DOWN_SECONDS)
        return True

    if has_trouble:
        platform.reset_after(is_acceptance)
    statuses = []
    for number in range(_ATTEMPTS):
        status = client.submit(deployment.fronts[number], batch_id, body, 4.0)
        statuses.append(status)
        if status == 202:
            break
        time.sleep(_RETRY_SECONDS)
    if 202 in statuses:
        _, results = client.read(batch_id, _ITEMS, _WATCH_SECONDS)
        if not has_trouble and len(results) < _ITEMS:
            raise site.CannotRunError("the batch was not finished without a disturbance")
        return []
    time.sleep(_WATCH_SECONDS)
    ran = [run for model in models for run in model.runs if run.request_id in item_ids]
    written.write("case", f"statuses {statuses}, {len(ran)} runs of its items")
    if not ran or not all(status in _REFUSALS for status in statuses):
        return []
    return [
        f"REFUSED: batch {batch_id} was answered {statuses}, and its item {run.request_id} "
        f"ran at {run.server} at {run.started_at:.3f} s"
        for run in ran
    ]


if __name__ == "__main__":
    case.run(pathlib.Path(__file__).parent, play)
