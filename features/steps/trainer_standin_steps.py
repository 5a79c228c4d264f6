"""Steps that run the trainer stand-in against a fake entry with an injected fault."""

import json

import behave

import fake_entry
import support


@behave.given("a fake entry for the stand-in trainer with the fault {fault}")
def start_entry(context, fault):
    context.entry = fake_entry.FakeEntry(fault)
    context.add_cleanup(context.entry.stop)


@behave.when(
    "the stand-in trainer takes {steps:d} steps of {groups:d} groups of {samples:d} samples"
)
def run_trainer(context, steps, groups, samples):
    flags = {
        "entry": context.entry.url,
        "customer": "c",
        "trainer": "t",
        "model": "m",
        "token": "s",
        "steps": steps,
        "groups": groups,
        "samples": samples,
        "max-tokens": 8,
        "version-start": 5,
        "step-seconds": 20,
    }
    arguments = [item for name, value in flags.items() for item in (f"--{name}", value)]
    cluster = support.get_cluster(context)
    process = cluster.start("trainer", "oleander_standins.trainer", *arguments, ready=False)
    context.code = process.wait_exit(60.0)
    context.printed = [json.loads(line) for line in process.wait_lines()]


@behave.then("the stand-in trainer ends with {code:d} and names {problem}")
def check_trainer(context, code, problem):
    problems = context.printed[-1]["problems"]
    assert context.code == code, (context.code, problems)
    if problem == "nothing":
        assert not problems, problems
    else:
        assert any(problem in item for item in problems), problems


@behave.then(
    "the stand-in trainer printed {samples:d} samples of {count:d} tokens a step, "
    "{staleness:d} version old at most"
)
def check_printed(context, samples, count, staleness):
    *steps, summary = context.printed
    for line in steps:
        assert (line["samples"], line["tokens"]) == (samples, count), line
        assert (line["staleness_max"], line["staleness_mean"]) == (staleness, staleness), line
        assert (line["duplicates"], line["stale"]) == (0, 0), line
    assert summary["samples"] == samples * len(steps), summary
