"""How the system's own processes talk: typed messages in CBOR over WebSocket."""

from oleander_wire import codec, link, messages

__all__ = ["codec", "link", "messages"]
