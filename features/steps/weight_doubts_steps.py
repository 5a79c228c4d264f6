"""Steps for engines whose weights are in doubt."""

import behave

import deployments
import support
import weight_changes
from oleander_standins import tokens

_ENGINE = weight_changes.ENGINE_UNDER_TEST
_DRAFT_TOKENS = 16


def _stop_order(context, step):
    context.weight_change = weight_changes.WeightChange(context.deployment, step)


_LOAD_FAULTS = {
    "succeeds": {},
    "fails midway": {"fail_load": 1},
    "loses its answer": {"lose_load_answer": 1},
}


@behave.given("that engine's next load {ends}")
def set_load_outcome(context, ends):
    if ends == "is ordered too late":
        _stop_order(context, "ordered")
        return
    if "weight_change" not in context:
        _stop_order(context, "confirmed")
    context.deployment.cluster.control(_ENGINE, **_LOAD_FAULTS[ends])


@behave.given("that engine's loads all fail midway")
def fail_all_loads(context):
    _stop_order(context, "confirmed")
    context.deployment.cluster.control(_ENGINE, fail_load=1000)


@behave.given("that engine's version can't be read")
def hold_version_requests(context):
    _stop_order(context, "unreadable")


@behave.given("that engine's answers to generations are held")
def hold_answers(context):
    context.weight_change.hold_answers()


@behave.given("that engine takes {milliseconds:d} ms for a load")
def slow_loads(context, milliseconds):
    context.deployment.cluster.control(_ENGINE, load_ms=milliseconds)


@behave.given("that engine's sidecar is cut off from the log")
def cut_log(context):
    context.deployment.relays[weight_changes.LOG_RELAY].cut()


@behave.given("that engine's generations pause after {count:d} tokens")
def pause_generations(context, count):
    context.deployment.cluster.control(_ENGINE, pause_after=count)


@behave.when("callers ask for {count:d} drafts of designs")
def ask_drafts(context, count):
    context.drafts = [f"draft {number}" for number in range(count)]
    for prompt in context.drafts:
        body = {"prompt": prompt, "prefix": "", "max_tokens": _DRAFT_TOKENS, "stream": False}
        context.deployment.start_call(prompt, "entry-a", "long", "draft", body)


@behave.then("each draft of designs is whole and truly labelled")
def check_drafts(context):
    for prompt in context.drafts:
        response = context.deployment.read_answer(prompt)
        assert deployments.read_outcome(response) == "done", response
        text, label = response.read_json()["text"], response.read_json()["label"]
        assert tokens.remove_marks(text) == tokens.make_text(prompt, 0, _DRAFT_TOKENS), text
        assert tokens.read_marks(text) == [(run["version"], run["tokens"]) for run in label]


@behave.when("that engine's generations have paused")
def await_paused(context):
    settings = weight_changes.read_counts(context.deployment)["settings"]
    support.wait_until(
        lambda: any(
            item["outcome"] == "running" and item["tokens"] >= settings["pause_after"]
            for item in weight_changes.read_generations(context.deployment)
        ),
        "a generation has paused",
    )


@behave.when("that engine's generations no longer pause")
def resume_generations(context):
    context.deployment.cluster.control(_ENGINE, pause_after=0)


@behave.when("that engine has made a whole sample")
def await_finished_generation(context):
    support.wait_until(
        lambda: any(
            item["outcome"] == "finished"
            for item in weight_changes.read_generations(context.deployment)
        ),
        "a generation is whole",
    )


@behave.when("that engine's load alone goes on")
def release_load(context):
    context.deployment.cluster.control(_ENGINE, hold_load=False)


@behave.when("that engine's load for version {version:d} has ended with {status:d}")
@behave.then("that engine answered its late order for version {version:d} with {status:d}")
def await_load(context, version, status):
    wanted = {"version": version, "status": status}
    support.wait_until(
        lambda: any(
            wanted.items() <= load.items()
            for load in weight_changes.read_counts(context.deployment)["loads"]
        ),
        f"the engine answered an order with {wanted}",
    )


@behave.then("that engine's order for version {version:d} was {outcome}")
def await_order_outcome(context, version, outcome):
    support.wait_until(
        lambda: weight_changes.find_orders(context.deployment, version, outcome),
        f"an order for version {version} was {outcome}",
    )


@behave.then("orders to {count:d} engines for version {version:d} were {outcome}")
def await_orders_outcome(context, count, version, outcome):
    names = list(context.deployment.hosts)
    support.wait_until(
        lambda: (
            sum(
                bool(weight_changes.find_orders(context.deployment, version, outcome, name))
                for name in names
            )
            >= count
        ),
        f"orders to {count} engines were {outcome}",
    )


@behave.then("that engine made a generation with versions {versions}")
def check_versions(context, versions):
    made = [
        " ".join(str(run["version"] or "none") for run in item["label"])
        for item in weight_changes.read_generations(context.deployment)
    ]
    assert any(item.startswith(versions) for item in made), made


@behave.then("the entries use one engine for designs")
def await_one_engine(context):
    context.deployment.await_usable(1)
    context.runs = weight_changes.read_counts(context.deployment)["runs"]


@behave.then("that engine was given no work since")
def check_no_work(context):
    assert weight_changes.read_counts(context.deployment)["runs"] == context.runs, (
        weight_changes.read_counts(context.deployment)
    )


@behave.then("that engine was ordered fewer than {count:d} loads")
def check_load_count(context, count):
    loads = weight_changes.read_counts(context.deployment)["loads"]
    assert len(loads) < count, loads


@behave.step("the weight store's {setting} is {value}")
def set_store(context, setting, value):
    read = int(value) if value.isdigit() else value.replace("none", "")
    context.deployment.cluster.control("weights", **{setting: read})
