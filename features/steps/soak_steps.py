"""Steps for the short soak."""

import behave

import soak


@behave.when("the soak runs for {seconds:d} seconds with seed {seed:d}")
def run_soak(context, seconds, seed):
    context.soak_counts, context.soak_problems = soak.run(seed, seconds)


@behave.then("the soak found no violation and completed work")
def check_soak(context):
    assert not context.soak_problems, context.soak_problems[:10]
    assert context.soak_counts["runs"] and context.soak_counts["samples"], context.soak_counts
