"""Steps for submissions that are read in several attempts."""

import behave
import expression

from oleander_base import clock
from oleander_batches import content
from oleander_platform import logservice

_SECONDS = 2.0


@behave.given("entry {name} can read the log only {reads:d} times in one attempt")
def bound_reads(context, name, reads):
    client = context.shared.clients[name]
    original = client.read
    context.reads_left = 0

    def read(topic, *arguments):
        if topic == content.CONTENT_TOPIC:
            if not context.reads_left:
                return expression.Error(logservice.LogError("no answer", True, 0))
            context.reads_left -= 1
        return original(topic, *arguments)

    client.read = read
    context.most_reads = reads


@behave.then(
    "after {attempts:d} attempts entry {reader} has read the submission of entry {writer}"
)
def check_attempts(context, reader, writer, attempts):
    context.shared.refresh()
    seen = 0
    while seen < attempts:
        seen += 1
        context.reads_left = context.most_reads
        read = context.shared.journals[reader].read_submission(
            context.shared.find(reader), clock.start_deadline(_SECONDS)
        )
        assert read.is_ok() == (seen == attempts), (seen, read.is_ok())
    assert read.ok == context.submitted
