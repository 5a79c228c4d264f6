"""Steps for parsing the requests of trainers."""

import json

import behave

from oleander_samples import number_sets, readers


def _read_numbers(text):
    return frozenset() if text == "none" else frozenset(map(int, text.split()))


@behave.when('the sample set "{text}" of a step of {total:d} is read')
@behave.when('the sample set "" of a step of {total:d} is read')
def read_set(context, total, text=""):
    context.sample_read = number_sets.parse_numbers(text, total)


@behave.then("the sample numbers are {numbers}")
def check_numbers(context, numbers):
    assert context.sample_read.ok == _read_numbers(numbers), context.sample_read


@behave.then('the sample set is written as "{text}"')
@behave.then('the sample set is written as ""')
def check_written(context, text=""):
    assert number_sets.format_numbers(context.sample_read.ok) == text


@behave.when('the trainer\'s step "{step}" is read from')
def read_step(context, step):
    context.sample_read = readers.read_step("caroni", "offers", step, context.text.encode())


@behave.when(
    "a trainer's step with {groups:d} groups of {samples:d} samples"
    " and prompts of {size:d} bytes is read"
)
def read_large_step(context, groups, samples, size):
    group = {"prompt": "a" * size, "prefix": "", "samples": samples, "max_tokens": 9}
    body = json.dumps({"incarnation": 3, "version": 7, "groups": [group] * groups})
    context.sample_read = readers.read_step("caroni", "offers", "12", body.encode())


@behave.when("the trainer's pull is read from the bytes {text}")
def read_pull_bytes(context, text):
    content, _, times = text.replace("nothing", "").partition(" * ")
    context.sample_read = readers.read_pull(bytes.fromhex(content) * int(times or 1))


@behave.when("the trainer's pull is read from the text {text}")
def read_pull_text(context, text):
    context.sample_read = readers.read_pull(text.encode())


@behave.then("the trainer's step is {step:d} with {total:d} samples and holds {numbers}")
def check_step(context, step, total, numbers):
    read = context.sample_read.ok
    assert (read.step, read.sample_count, read.held) == (step, total, _read_numbers(numbers)), read


@behave.then(
    "the trainer's step is {step:d} with {total:d} samples and does not say what it holds"
)
def check_unstated(context, step, total):
    read = context.sample_read.ok
    assert (read.step, read.sample_count, read.held) == (step, total, None), read


@behave.then("the sample findings are")
def check_findings(context):
    found = [(item.place, item.problem) for item in context.sample_read.error.items]
    assert found == [(row["place"], row["problem"]) for row in context.table], found


@behave.then("the sample findings name {places}")
def check_places(context, places):
    found = [item.place for item in context.sample_read.error.items]
    assert found == places.split(", "), context.sample_read.error
