"""Steps for concurrent pulls and for the encoding of answers."""

import base64
import concurrent.futures
import hashlib
import json

import behave

from oleander_base import clock
from oleander_samples import pulls, steps

_PULL = pulls.Pull(3, 7, frozenset(), 0, 64)


@behave.when("a sample pull waits and another one comes")
def pull_twice(context):
    collector = context.sample_driver.collector
    deadline = clock.start_deadline(20)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(collector.pull, _PULL, 15.0)
        others = []
        while not waiting.done() and not deadline.is_past:
            others.append(collector.pull(_PULL, 0.0))
            concurrent.futures.wait([waiting], timeout=0.01)
    context.sample_waited, context.sample_others = waiting.result(), others


@behave.then("the sample pull that waited is refused as superseded, and none got a sample")
def check_superseded(context):
    assert context.sample_waited.error.reason is pulls.RefusalReason.SUPERSEDED
    assert all(not answer.ok.samples for answer in context.sample_others)


@behave.when('a sample with the text "{text}" is answered')
def write_answer(context, text):
    label = (steps.LabelPart(6, 3), steps.LabelPart(7, 2))
    sample = steps.Sample(1, 0, json.loads(f'"{text}"'), label)
    context.sample_answer = pulls.encode_answer(pulls.PullAnswer(12, 7, True, (sample,)))


@behave.then("the sample answer's digest fits its body, and not the body without its last byte")
def check_digest(context):
    answer = context.sample_answer
    digests = [
        "sha-256=:" + base64.b64encode(hashlib.sha256(body).digest()).decode() + ":"
        for body in (answer.body, answer.body[:-1])
    ]
    assert digests[0] == answer.digest != digests[1]


@behave.then("the sample answer is")
def check_answer(context):
    assert json.loads(context.sample_answer.body) == json.loads(context.text)
