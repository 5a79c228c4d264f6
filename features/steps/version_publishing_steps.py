"""Steps for weight versions whose record may be in the log."""

import types

import behave
import expression

from oleander_base import clock, tasks
from oleander_platform import logservice
from oleanderdeal import version_publisher

_SECONDS = 0.1
_MODEL = "m"
_VERSION = 2
_REFUSED = expression.Error(logservice.LogError("refused", False, 0))
_FIRST_ANSWERS = {
    "is refused": _REFUSED,
    "is not answered": expression.Error(logservice.LogError("no answer", True, 0)),
    "is not read back": expression.Ok(0),
}


class ScriptedLog:
    """Answers appends as a test sets."""

    def __init__(self):
        self.answer = None
        self.on_append = lambda: None

    def append(self, stream, values, deadline):
        self.on_append()
        return self.answer


@behave.given("an entry whose first attempt to publish version 2 {first}")
def publish_first(context, first):
    context.log_service = ScriptedLog()
    context.in_force = None
    known = types.SimpleNamespace(find_version=lambda model: context.in_force)
    group = tasks.TaskGroup("versions", 1)
    context.publisher = version_publisher.VersionPublisher(context.log_service, known, group)
    context.log_service.answer = _FIRST_ANSWERS[first]
    assert _publish(context).is_error()


def _publish(context):
    deadline = clock.start_deadline(_SECONDS)
    return context.publisher.publish("customer", _MODEL, _VERSION, "uri", deadline)


@behave.when("the trainer repeats it, and the log refuses it while {meanwhile}")
def publish_again(context, meanwhile):
    def read_record():
        context.in_force = types.SimpleNamespace(offset=7, version=_VERSION)

    if meanwhile != "nothing happens":
        context.log_service.on_append = read_record
    context.log_service.answer = _REFUSED
    context.answer = _publish(context)


@behave.then("the repeated version is {outcome}")
def check_repeated(context, outcome):
    answer = context.answer
    assert (answer.error.outcome if answer.is_error() else "published") == outcome, answer
