"""Steps for access control by bearer token."""

import behave

from oleanderdeal import access, setting_values


@behave.given("an access table of {entries}")
def create_table(context, entries):
    pairs = [item.split("=") for item in entries.split(", ") if "=" in item]
    context.access_table = access.AccessTable(
        setting_values.CustomerToken(*pair) for pair in pairs
    )


@behave.then("access to {customer} with {authorization} is {result}")
def check_access(context, customer, authorization, result):
    assert context.access_table.check(customer, authorization).value == result
