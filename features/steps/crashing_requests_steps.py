"""Steps for requests that end the servers that run them."""

import json
import time

import behave

import front_platform
import front_site
import platform_messages
import platform_standin

_SEED = 5
_PAUSE_SECONDS = 0.25


@behave.given("three programs and {count:d} {servers} that end when they run a fatal request")
def start_site(context, count, servers):
    context.site = front_site.FrontSite(_SEED, **{servers: count})
    context.add_cleanup(context.site.stop)


@behave.when(
    "the fatal {kind} request is sent to all programs in turn"
    " for {seconds:d} seconds, with new ids"
)
def send_fatal(context, kind, seconds):
    until = time.monotonic() + seconds
    number = 0
    while time.monotonic() < until:
        front = context.site.fronts[number % len(context.site.fronts)]
        front.try_ask("POST", f"/{kind}/a", platform_standin.FATAL_BODY, f"fatal-{number}")
        number += 1
        time.sleep(_PAUSE_SECONDS)


def _list_ends(context):
    servers = (*context.site.services, *context.site.engines)
    return sorted(ended_at for server in servers for ended_at in server.ended_at)


@behave.then(
    "at most {most:d} servers run it later than {seconds:d} seconds after it ended the third"
)
def check_later(context, most, seconds):
    ends = _list_ends(context)
    later = [at for at in ends if len(ends) > 2 and at > ends[2] + seconds]
    assert ends and len(later) <= most, f"{len(ends)} ended, {len(later)} of them later"


@behave.then("a sound {kind} request is answered 200")
def check_sound(context, kind):
    def is_served():
        answers = [
            front.try_ask("POST", f"/{kind}/a", b"sound", f"sound-{front.name}")
            for front in context.site.fronts
        ]
        return all(answer and answer[0] == 200 for answer in answers)

    front_platform.wait_until(is_served, context.site.read_logs)


@behave.when("a batch of {count:d} items is submitted of which one has a fatal {part}")
def submit_batch(context, count, part):
    names = [f"item-{number}" for number in range(count)]
    fatal = {"fatal" if part == "prompt" else "fatal_scores": names[:1]}
    body = platform_messages.describe_batch(names, **fatal)
    answer = context.site.fronts[0].try_ask("POST", "/items/batch", body, "batch")
    assert answer and answer[0] == 202, answer


def _read_states(context):
    answer = context.site.fronts[-1].try_ask("GET", "/api/lots/batch?after=0")
    if answer is None or answer[0] != 200:
        return {}
    return {result["id"]: result["state"] for result in json.loads(answer[2])["results"]}


@behave.then("within {seconds:d} seconds the other {count:d} items are completed")
def check_others(context, seconds, count):
    until = time.monotonic() + seconds
    while len(_read_states(context)) < count:
        assert time.monotonic() < until, (_read_states(context), context.site.read_logs())
        time.sleep(_PAUSE_SECONDS)
    assert set(_read_states(context).values()) == {"completed"}, _read_states(context)


@behave.then(
    "for {seconds:d} seconds at most {most:d} servers run it"
    " later than {after:d} seconds after it ended the third"
)
def check_engines(context, seconds, most, after):
    time.sleep(seconds)
    check_later(context, most, after)


@behave.then(
    "the other {count:d} items are listed, and the fatal one is not while its batch is open"
)
def check_unlisted(context, count):
    states = _read_states(context)
    assert len(states) == count and "item-0" not in states, states
