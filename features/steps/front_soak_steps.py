"""Steps for the short soak of front programs."""

import behave

import front_soak


@behave.when("the front soak runs for {seconds:d} seconds with seed {seed:d}")
def run_soak(context, seconds, seed):
    context.soak_counts, context.soak_problems = front_soak.run(seed, seconds)


@behave.then("the front soak found no violation and completed work")
def check_soak(context):
    assert not context.soak_problems, context.soak_problems[:10]
    assert context.soak_counts["calls"].get("200") and context.soak_counts["batches"], (
        context.soak_counts
    )
