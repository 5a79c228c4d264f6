"""
Idempotency keys that name the one sidecar incarnation that may start them.

A ticket needs no record in the log, because the ledger of the incarnation that it names starts the
key once or seals it. Requests with tickets therefore run while the log is down. Tickets do not
expire: once the incarnation has ended, or has evicted the keys of the ticket's epoch, the outcome
is "unknown".
"""

import dataclasses
import enum
import hashlib
import hmac
import re

from oleander_base import identifiers

_PREFIX = "t1~"
_MAC_BYTES = 8
_TICKET_PATTERN = re.compile(
    r"t1~(?P<epoch>[0-9]{1,15})~(?P<incarnation>[0-9a-f]{16})~(?P<address>[0-9a-f.:\[\]]{3,60})"
    r"~(?P<name>[^~]{1,64})~[0-9a-f]{16}~(?P<mac>[0-9a-f]{16})"
)


@dataclasses.dataclass(slots=True, frozen=True)
class Ticket:
    """The sidecar incarnation at which a key may be started."""

    epoch: int
    """The epoch of the sidecar's ledger at issue; a ledger evicts whole epochs of tickets."""
    incarnation: str
    address: str
    sidecar: str


class TicketFault(enum.Enum):
    """Reason for which a key with the prefix of a ticket is invalid."""

    UNREADABLE = "ticket-unreadable"
    """The ticket was not issued for this customer and operation, or the process token has changed
    since."""


class TicketSigner:
    """
    Issues tickets and verifies them.

    A ticket carries a message authentication code that only processes with the shared token can
    compute. Without it a caller could forge a ticket with any address, and the entry would connect
    there and send its credentials.
    """

    def __init__(self, process_token: str) -> None:
        self._secret = process_token.encode()[: hashlib.blake2b.MAX_KEY_SIZE]

    def issue(self, customer: str, operation: str, ticket: Ticket) -> str:
        """Return a new signed key for one request of an operation."""
        nonce = identifiers.create_nonce()
        text = (
            f"{_PREFIX}{ticket.epoch}~{ticket.incarnation}~{ticket.address}~{ticket.sidecar}"
            f"~{nonce}~"
        )
        return text + self._sign(customer, operation, text)

    def read(self, customer: str, operation: str, key: str) -> Ticket | TicketFault | None:
        """Return the ticket in a key, or `None` if the caller made the key itself."""
        if not key.startswith(_PREFIX):
            return None
        found = _TICKET_PATTERN.fullmatch(key)
        if found is None:
            return TicketFault.UNREADABLE
        signed = key[: -len(found["mac"])]
        if not hmac.compare_digest(self._sign(customer, operation, signed), found["mac"]):
            return TicketFault.UNREADABLE
        return Ticket(int(found["epoch"]), found["incarnation"], found["address"], found["name"])

    def _sign(self, customer: str, operation: str, text: str) -> str:
        content = f"{customer}\n{operation}\n{text}".encode()
        return hashlib.blake2b(content, digest_size=_MAC_BYTES, key=self._secret).hexdigest()
