"""The protocol between entries and sidecars: typed messages in CBOR over WebSocket."""

from oleander_wire import codec, link, messages

__all__ = ["codec", "link", "messages"]
