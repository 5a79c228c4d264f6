"""Steps for the operators' commands, with a log in memory, fake entries or real processes."""

import contextlib
import http.server
import io
import json
import threading

import behave
import expression

import deployments
import support
import support_log
from oleander_base import clock
from oleander_contracts import contract, fold, readers, records
from oleander_standins import deployment
from oleanderdeal import (
    entry_clients,
    main,
    operator_commands,
    operator_context,
    output,
    settings,
)

_ENTRIES = ("http://127.0.0.1:1", "http://127.0.0.1:2")
_UNREACHABLE = entry_clients.EntryError("can't be reached")
_DESK = contract.Contract(
    "desk",
    60,
    10,
    (
        contract.Operation("booking", "desk", contract.Priority.CRITICAL, False, 2000, 10, False),
        contract.Operation("lookup", "desk", contract.Priority.BACKGROUND, True, 9000, 1, False),
        contract.Operation("offer", "art", contract.Priority.INTERACTIVE, True, 500, 2, True),
    ),
    (contract.TrainerTerms("art", "art", "art", 2, contract.Objective.STALENESS, 5),),
)


class _FakeEntries(entry_clients.EntryClient):
    """Fake entries, each of which gives its planned answers in turn and repeats the last one."""

    def __init__(self):
        self.plans = {url: ["9"] for url in _ENTRIES}
        self.counts = {url: {} for url in _ENTRIES}

    def read_configuration(self, url, deadline):
        plan = self.plans[url]
        answer = plan.pop(0) if len(plan) > 1 else plan[0]
        if answer == "down":
            return expression.Error(_UNREACHABLE)
        return expression.Ok(entry_clients.EntryConfiguration(int(answer), 1))

    def read_report(self, url, deadline):
        if self.plans[url] == ["down"]:
            return expression.Error(_UNREACHABLE)
        return expression.Ok(entry_clients.EntryReport(self.counts[url]))


def _create_text(share):
    document = {"customer": "desk", "share_percent": share, "retry_percent": 0, "operations": []}
    return json.dumps(document)


def _create_rival(share, base, by):
    terms = contract.Contract("desk", share, 0, (), ())
    return records.ContractRecord(terms, base, by).to_value()


def _run_command(context, line, text="", wait_ms=8000):
    command, *flags = line.split()
    environ = {
        "OLEANDERDEAL_LOG_URL": "http://127.0.0.1:3",
        "OLEANDERDEAL_ENTRIES": ",".join(_ENTRIES),
        "OLEANDERDEAL_BY": "ann",
        "OLEANDERDEAL_WAIT_MS": str(wait_ms),
    }
    chosen = settings.read_settings(command, flags, environ).ok
    stream = io.StringIO()
    printer = output.JsonOutput if chosen.json else output.TableOutput
    context.status = operator_commands.run_command(
        operator_context.OperatorContext(
            settings=chosen,
            log=context.operator_log,
            entries=context.entries,
            source=io.StringIO(text),
            output=printer(stream),
            pause=lambda seconds: None,
        )
    )
    context.printed = stream.getvalue()


@behave.given("an operator's log and two entries")
def create_platform(context):
    context.operator_log = support_log.MemoryLog()
    context.operator_log.rival_value = _create_rival(7, -1, "bo")
    context.entries = _FakeEntries()


@behave.given("the operator's log will answer appends with {plan}")
def plan_appends(context, plan):
    context.operator_log.append_plan = plan.split(", ")


@behave.given("the operator's log fails every append with {failure}")
def plan_failures(context, failure):
    context.operator_log.append_plan = [failure] * 100_000


@behave.given("the operator's log is {state}")
def set_log_state(context, state):
    context.operator_log.is_down = state == "down"


@behave.given("the operator's entries answer {plans}")
def plan_entries(context, plans):
    for url, plan in zip(_ENTRIES, plans.split(";"), strict=True):
        context.entries.plans[url] = plan.split()


@behave.given("the operator's entries counted")
def set_counts(context):
    for row in context.table:
        context.entries.counts[_ENTRIES[int(row["entry"])]][row["name"]] = int(row["count"])


@behave.given("the operator's log holds two contracts and then {then}, and begins at 2")
def fill_log(context, then):
    log = context.operator_log
    log.write(records.STREAM, _create_rival(60, -1, "ann"))
    log.write(records.STREAM, _create_rival(7, 0, "bo"))
    if then == "a snapshot":
        configuration = fold.ConfigurationFold()
        for offset, value in enumerate(log.list_values(records.STREAM)):
            configuration.apply(offset, 0, value)
        log.write(records.STREAM, configuration.create_snapshot())
    else:
        log.write(records.STREAM, records.VersionRecord("art", 1, "u", "ann").to_value())
    log.delete_before(records.STREAM, 2)


@behave.when("the operator runs publish with share {share:d}")
def publish_share(context, share):
    _run_command(context, "publish", _create_text(share))


@behave.when("the operator runs publish with share {share:d} for {wait_ms:d} ms")
def publish_share_for(context, share, wait_ms):
    _run_command(context, "publish", _create_text(share), wait_ms)


@behave.when("the operator runs check with share {share:d}")
def check_share(context, share):
    _run_command(context, "check", _create_text(share))


@behave.when("the operator runs check with the file {path}")
def check_file(context, path):
    _run_command(context, f"check --file={path}")


@behave.when("the operator runs show as JSON")
def show_json(context):
    _run_command(context, "show --json")


@behave.when("the operator runs {command:w}")
def run_plain(context, command):
    wait_ms = 1 if context.operator_log.is_down else 8000
    _run_command(context, command, wait_ms=wait_ms)


@behave.when("the operator publishes the terms of desk and runs report")
def publish_desk(context):
    _run_command(context, "publish", json.dumps(readers.write_document(_DESK)))
    _run_command(context, "report")


@behave.when("another operator's record based on nothing arrives late")
def write_rival(context):
    context.operator_log.write(records.STREAM, context.operator_log.rival_value)


@behave.when("somebody writes a record with control letters")
def write_control(context):
    value = {"kind": "version", "model": "art", "by": "ev\x1b[2Jil"}
    context.operator_log.write(records.STREAM, value)


@behave.when("a sidecar has logged an order")
def write_order(context):
    order = {"kind": "order", "host": "desk-1", "model": "art", "version": 7}
    context.operator_log.write("orders", {**order, "fencing": 12, "outcome": "loaded"})


@behave.then("the operator's exit status is {status:d} and the output tells {told}")
def check_output(context, status, told):
    assert told in context.printed, context.printed
    assert context.status == status, context.status


@behave.then("the operator's output is")
def check_whole_output(context):
    printed = [line.rstrip() for line in context.printed.strip().splitlines()]
    expected = [line.rstrip() for line in context.text.strip().splitlines()]
    assert printed == expected, context.printed


@behave.then("the operator's log holds {count:d} records and share {share} is in force")
def check_log(context, count, share):
    values = context.operator_log.list_values(records.STREAM)
    assert len(values) == count, values
    configuration = fold.ConfigurationFold()
    for offset, value in enumerate(values):
        configuration.apply(offset, 0, value)
    terms = configuration.find_contract("desk")
    assert share == ("none" if terms is None else str(terms.share_percent))


@behave.then(
    "every line of the operator's output is JSON, and one is of kind {kind} with {name} {value:d}"
)
def check_json(context, kind, name, value):
    lines = [json.loads(line) for line in context.printed.splitlines()]
    assert [line[name] for line in lines if line["kind"] == kind] == [value]


@behave.given("an entry at a port of its own that answers {answer}")
def serve_entry(context, answer):
    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            if answer == "nothing":
                return
            status, body = answer.split(" ", 1)
            self.send_response(int(status))
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body.encode())

        def log_message(self, *arguments):
            pass

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
    context.entry_url = f"http://127.0.0.1:{server.server_port}"


@behave.when("the operator's client asks it for its configuration")
def ask_entry(context):
    client = entry_clients.HttpEntryClient("token")
    deadline = clock.start_deadline(10.0)
    context.asked = client.read_configuration(context.entry_url, deadline)


@behave.then("the operator's client finds {result}")
def check_asked(context, result):
    if context.asked.is_ok():
        found = f"applied {context.asked.ok.applied_offset} with {context.asked.ok.peers} peers"
    else:
        found = context.asked.error.detail
    assert found == result, found


@behave.given("an operator's deployment of separate processes")
def start_processes(context):
    context.deployed = deployment.Deployment(support.get_cluster(context))
    context.deployed.add_customer("catania")
    context.deployed.start_platform()
    context.deployed.start_host(deployment.BackendHost("desk-1", "desk", "service", "a"))
    context.deployed.start_entries(2)
    context.deployed.await_ready(1)


@behave.when("the operator starts the program with {command:w}")
def start_command(context, command):
    flags = ["--log_url", context.deployed.cluster.url("log"), "--wait_ms", "3000"]
    if command in {"publish", "report"}:
        flags += context.deployed.entry_flags()
    context.ended = context.deployed.run_command(command, *flags, *context.command_flags)


@behave.when("the operator starts the program with publish of {file}")
def start_publish(context, file):
    context.command_flags = ["--by", "ann", "--file", str(deployments.EXAMPLES / file)]
    start_command(context, "publish")
    context.command_flags = []


@behave.when("a booking of catania is answered")
def call_booking(context):
    entry = context.deployed.entries[0]
    answer = context.deployed.call(entry, "catania", "booking", {"chair": 1}, key="k")
    assert answer.status == 200, answer.body


@behave.when("the log of the operator's deployment is killed")
def kill_log(context):
    context.deployed.cluster.kill("log")


@behave.then("the started program ended with {status:d} and printed {told}")
def check_ended(context, status, told):
    printed = " ".join(context.ended.stdout.split())
    assert told in printed, (context.ended.stdout, context.ended.stderr)
    assert context.ended.returncode == status, context.ended.returncode


@behave.when("the program is run with {arguments}")
def run_program(context, arguments):
    words = [] if arguments == "nothing" else arguments.split()
    stream = io.StringIO()
    with contextlib.redirect_stdout(stream), contextlib.redirect_stderr(stream):
        context.status = main.run_program(words, {})
    context.printed = stream.getvalue()


@behave.then("the program's exit status is {status:d} and it prints {told}")
def check_program(context, status, told):
    check_output(context, status, told)
