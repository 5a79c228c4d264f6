"""
Synchronizes configuration records between peers: the one that is ahead sends missing records.

While the log is down this still spreads an accepted configuration, also to restarted processes.
"""

from oleander_wire import link, messages
from oleanderdeal import configuration


class ConfigurationSynchronizer:
    """Exchanges missing configuration records with peers in both directions."""

    def __init__(self, follower: configuration.ConfigurationFollower) -> None:
        self._follower = follower

    def synchronize(self, peer_offset: int, opened: link.Link) -> None:
        """
        Send records that a peer lacks, or request those that this process lacks.

        `peer_offset` comes from the peer's heartbeat. Changes are sent only in answer to
        an offset. If entries pushed them, a sidecar would receive each change from every entry,
        where one entry is enough.
        """
        self._follower.record_peer_offset(peer_offset)
        own = self._follower.configuration.applied_offset
        if peer_offset < own:
            self._send_missing(peer_offset, opened)
        elif peer_offset > own:
            opened.send(messages.RecordsOffer(own))

    def handle(self, message: messages.RecordsOffer | messages.Records, opened: link.Link) -> None:
        """Answer a peer's offset with missing records, or apply the records that it sent."""
        if isinstance(message, messages.RecordsOffer):
            self._follower.record_peer_offset(message.applied_offset)
            self._send_missing(message.applied_offset, opened)
        else:
            self._follower.apply_peer_records(message)

    def _send_missing(self, peer_offset: int, opened: link.Link) -> None:
        missing = self._follower.create_missing_records(peer_offset)
        if missing.offsets or missing.snapshot is not None:
            opened.send(missing)
