"""Steps for labels and for collecting the samples of a step."""

import behave

from oleander_samples import labels, steps


def _read_optional(text):
    return None if text in {"nothing", "?"} else int(text)


def _read_pieces(text):
    parts = [] if text == "nothing" else text.split()
    return [(_read_optional(part.split("/")[0]), int(part.split("/")[1])) for part in parts]


@behave.when("a sample resumed from {resumed} is made of the pieces {pieces}")
def build_label(context, resumed, pieces):
    before = tuple(steps.LabelPart(*part) for part in _read_pieces(resumed))
    context.sample_label = labels.LabelBuilder(before)
    for version, tokens in _read_pieces(pieces):
        context.sample_label.add(version, tokens)


@behave.when("its engine read {before} before and {after} after, with {orders} order open")
def assume_label(context, before, after, orders):
    context.sample_label.assume(_read_optional(before), _read_optional(after), orders == "an")


@behave.then("the sample's label is {label}")
def check_label(context, label):
    built = context.sample_label.build()
    if built.is_error():
        assert built.error.fault.value == label, built
        return
    assert " ".join(f"{part.version}/{part.tokens}" for part in built.ok) == label, built
