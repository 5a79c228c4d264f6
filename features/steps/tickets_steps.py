"""Steps for issuing and verifying tickets."""

import behave

from oleanderdeal import tickets

_CHANGES = {
    "no change": lambda key: key,
    "another address": lambda key: key.replace(":4711", ":4712"),
    "another epoch": lambda key: key.replace("t1~3~", "t1~4~"),
    "a cut end": lambda key: key[:-1],
    "another token": lambda key: key,
    "its whole removal": lambda key: "my-own-key",
}


@behave.given('a ticket for operation "{operation}" of "{customer}" at "{address}"')
def issue_ticket(context, operation, customer, address):
    context.ticket = tickets.Ticket(3, "0123456789abcdef", address, "desk-a")
    context.key = tickets.TicketSigner("secret").issue(customer, operation, context.ticket)


@behave.when("the ticket is read for {operation} of {customer} after {change}")
def read_ticket(context, operation, customer, change):
    office = tickets.TicketSigner("other" if change == "another token" else "secret")
    context.read = office.read(customer, operation, _CHANGES[change](context.key))


@behave.then("the ticket read is {result}")
def check_ticket(context, result):
    if result == "as issued":
        assert context.read == context.ticket, context.read
    elif result == "a caller's key":
        assert context.read is None, context.read
    else:
        assert context.read.value == result, context.read
