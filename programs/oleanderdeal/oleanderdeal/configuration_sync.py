"""
Trades configuration records with a peer: whoever is ahead sends what the other lacks.

So an accepted configuration spreads, and a replaced process is filled, while the log is down.
"""

from oleander_wire import link, messages
from oleanderdeal import configuration


class ConfigurationSynchronizer:
    """Compares this process's configuration with peers' and fills the gap either way."""

    def __init__(self, follower: configuration.ConfigurationFollower) -> None:
        self._follower = follower

    def synchronize(self, peer_offset: int, opened: link.Link) -> None:
        """
        Send the peer what its heartbeat shows that it lacks, or ask it for what is lacking here.

        Nothing is sent before a heartbeat asks: a sidecar would get each change from every entry
        at once, where the first that hears its heartbeat is enough.
        """
        self._follower.record_peer_offset(peer_offset)
        own = self._follower.configuration.applied_offset
        if peer_offset < own:
            self._send_missing(peer_offset, opened)
        elif peer_offset > own:
            opened.send(messages.RecordsOffer(own))

    def handle(self, message: messages.RecordsOffer | messages.Records, opened: link.Link) -> None:
        """Answer a peer's offer, or take in the records that it sent."""
        if isinstance(message, messages.RecordsOffer):
            self._follower.record_peer_offset(message.applied_offset)
            self._send_missing(message.applied_offset, opened)
        else:
            self._follower.apply_peer_records(message)

    def _send_missing(self, peer_offset: int, opened: link.Link) -> None:
        missing = self._follower.create_missing_records(peer_offset)
        if missing.offsets or missing.snapshot is not None:
            opened.send(missing)
