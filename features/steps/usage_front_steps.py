"""Steps for usage reports of the front program."""

import behave

import front_platform
import platform_messages


@behave.given(
    "the front program with windows of {seconds:d} s, and the organisations red and blue"
)
def start_reporting_front(context, seconds):
    context.front = front_platform.Front(window_seconds=seconds)
    context.add_cleanup(context.front.stop)
    content = platform_messages.describe_configuration(4)
    content["tenants"] = [
        {"name": "red", "api_keys": ["r1"]},
        {"name": "blue", "api_keys": ["b1"]},
    ]
    context.front.store.put("keyed.op", "config", content)
    front_platform.wait_until(context.front.is_ready, context.front.describe)
    front_platform.wait_until(lambda: _call(context, "b1") == 200, context.front.describe)


def _call(context, key):
    headers = [("Authorization", f"Bearer {key}")]
    return context.front.ask("POST", "/calls/a", b"x", headers=headers)[0]


@behave.when("{count:d} calls of red are answered")
def call_front(context, count):
    for _ in range(count):
        assert _call(context, "r1") == 200


@behave.then(
    "the platform is told of {count:d} requests of red, and of idle windows, each window once"
)
def check_told(context, count):
    told = context.front.duties.reports

    def is_told():
        reds = sum(report["counts"].get("red", 0) for report in list(told.values()))
        return reds == count and any(not report["counts"] for report in list(told.values()))

    front_platform.wait_until(is_told, context.front.describe)
    assert not context.front.duties.problems, context.front.duties.problems
