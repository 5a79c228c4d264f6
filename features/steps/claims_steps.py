"""Steps for claims."""

import behave

from oleander_claims import records, table

_KEY = "key"


def write_claim(name):
    key = "other" if name[0] == "x" else _KEY
    return records.Claim("catania", key, "digest", int(name[1:]), name, "", "", name, "")


def fold_claims(window, names, skipped=0):
    claims = table.ClaimTable(0, window)
    for offset, name in enumerate(names):
        if offset >= skipped:
            claims.apply(offset, write_claim(name))
    return claims.find("catania", _KEY)


@behave.given("a table of claims with a window of {window:d} records")
def set_window(context, window):
    context.window = window


@behave.when("the claims table reads {names}")
def read_claims(context, names):
    context.claim_names = names.split()
    context.in_force = fold_claims(context.window, context.claim_names)


@behave.then("the claims table has {name} in force")
def check_claim(context, name):
    found = context.in_force
    assert (found.claim.nonce if found else "nothing") == name, found


@behave.then("a claims table that starts {skipped:d} records later agrees")
def check_late_start(context, skipped):
    late = fold_claims(context.window, context.claim_names, skipped)
    assert late == context.in_force, late
