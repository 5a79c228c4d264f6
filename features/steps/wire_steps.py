"""Steps for messages between processes."""

import json

import behave
import cbor2

from oleander_wire import codec


@behave.when("the frame {frame} is decoded")
def decode_frame(context, frame):
    context.decoded = codec.decode_message(_read_frame(frame))


def _read_frame(text):
    if text.startswith("{"):
        return cbor2.dumps(json.loads(text))
    if text.startswith('"'):
        return json.loads(text)
    return bytes.fromhex(text)


@behave.then("the findings name {places}")
def check_places(context, places):
    found = [item.place for item in context.decoded.error.items]
    assert found == [place.strip() for place in places.split(",")], found


@behave.then("the message is a {name}")
def check_type(context, name):
    assert type(context.decoded.ok).__name__ == name
