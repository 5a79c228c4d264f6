"""Steps for the limits on an entry's threads by request class."""

import behave

from oleanderdeal import gates


@behave.given(
    "an entry's gates for {threads:d} threads, held by {critical:d} critical, {interactive:d} "
    "interactive, {background:d} background and {pulls:d} pull requests"
)
def step_hold_gates(context, threads, critical, interactive, background, pulls):
    context.gates = gates.ThreadLimits(threads)
    held = (critical, interactive, background, pulls)
    for gate, count in zip(gates.Gate, held, strict=True):
        for _ in range(count):
            assert context.gates.try_acquire(gate), gate


@behave.then("the entry's gates {answer} one more {asked} request")
def step_check_gates(context, answer, asked):
    assert context.gates.try_acquire(gates.Gate(asked)) == (answer == "admit")
