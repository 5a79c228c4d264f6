"""Steps that run the quick start with the one-file program."""

import concurrent.futures
import importlib.util
import os
import pathlib
import subprocess
import sys
import tempfile
import zipfile

import behave

import support
from oleander_standins import deployment

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_BINARY = _ROOT / "dist" / "oleanderdeal"
_CONTRACT = """\
customer: catania
share_percent: 60
retry_percent: 10
operations:
  - name: booking
    backend: desk
    priority: critical
    repeatable: false
    timeout_ms: 5000
    worth: 10
trainers: []
"""


def find_binary():
    """Return the command of the one-file program, building the file if it does not exist."""
    if not _BINARY.exists():
        subprocess.run([sys.executable, str(_ROOT / "programs" / "build_binary.py")], check=True)
    return (sys.executable, "-I", str(_BINARY))


def write_contract(context, text):
    path = pathlib.Path(context.folder.name) / "catania.yaml"
    path.write_text(text)
    return path


@behave.given("the binary in an empty environment")
def prepare_binary(context):
    context.binary = find_binary()
    context.environ = {"PATH": os.defpath}


@behave.given("the binary runs a walk with {services:d} services and {entries:d} entries")
def start_walk(context, services, entries):
    prepare_binary(context)
    context.folder = tempfile.TemporaryDirectory(prefix="oleander-walk-")
    cluster = support.get_cluster(context)
    deployed = deployment.Deployment(cluster, context.binary, context.environ)
    deployed.add_customer("catania")
    deployed.start_platform()
    names = [f"desk-{domain}" for domain in deployment.DOMAINS[:services]]
    deployed.start_hosts(
        [deployment.BackendHost(name, "desk", "service", name[-1]) for name in names]
    )
    deployed.start_entries(entries)
    deployed.await_ready(services)
    context.deployed = deployed


@behave.when("the walk's binary runs with {arguments}")
def run_binary(context, arguments):
    context.ended = subprocess.run(
        [*context.binary, *arguments.split()],
        capture_output=True,
        text=True,
        env=context.environ,
        timeout=30,
    )


@behave.when("the walk's contract with two mistakes is checked")
def check_contract(context):
    wrong = _CONTRACT.replace("critical", "urgent").replace("5000", "0")
    context.ended = context.deployed.run_command(
        "check", "--file", str(write_contract(context, wrong))
    )


@behave.when('the walk\'s contract is published by "{by}"')
def publish_contract(context, by):
    context.ended = publish(context, _CONTRACT, by)


@behave.when('the walk\'s contract is published again on the same base by "{by}"')
def publish_again(context, by):
    context.ended = publish(context, _CONTRACT.replace("60", "70", 1), by)


def publish(context, text, by):
    deployed = context.deployed
    flags = ("--file", str(write_contract(context, text)), "--by", by)
    log_flags = ("--log_url", deployed.cluster.url("log"))
    return deployed.run_command("publish", *flags, *log_flags, *deployed.entry_flags())


@behave.when('{count:d} bookings run while "{host}" is stopped')
def book_during_stop(context, count, host):
    deployed = context.deployed
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        booked = [pool.submit(make_booking, deployed, number) for number in range(count)]
        support.wait_until(lambda: sum(item.done() for item in booked) > count // 6, "traffic")
        context.exit_code = deployed.cluster.terminate(host, 30)
        context.booked = [item.result() for item in booked]


def make_booking(deployed, number):
    entry = deployed.entries[number % len(deployed.entries)]
    return deployed.call(entry, "catania", "booking", {"n": number}, f"walk-{number}")


@behave.then("every booking of the walk was done once")
def check_bookings(context):
    statuses = [response.status for response in context.booked]
    assert set(statuses) == {200}, [item.body for item in context.booked if item.status != 200]
    runs = {}
    for name in ("desk-a-service", "desk-b-service"):
        for key, count in context.deployed.cluster.read_control(name)["runs_by_key"].items():
            runs[key] = runs.get(key, 0) + count
    assert len(runs) == len(statuses) and set(runs.values()) == {1}, runs


@behave.then('"{host}" of the walk exited with {code:d}')
def check_exit(context, host, code):
    assert context.exit_code == code, context.exit_code


@behave.when("the walk's {command} is printed")
def print_command(context, command):
    deployed = context.deployed
    flags = deployed.entry_flags() if command == "report" else ()
    context.ended = deployed.run_command(command, "--log_url", deployed.cluster.url("log"), *flags)


@behave.then('the walk\'s command exits {code:d} and names "{one}" and "{two}"')
def check_command(context, code, one, two):
    output = context.ended.stdout + context.ended.stderr
    assert context.ended.returncode == code, f"{context.ended.returncode}: {output}"
    assert one in output and two in output, output


@behave.then("the binary holds the byte code of each of its modules for this interpreter")
def check_byte_code(context):
    with zipfile.ZipFile(_BINARY) as archive:
        names = set(archive.namelist())
        sources = [name for name in names if name.endswith(".py") and name != "__main__.py"]
        assert sources
        assert not [name for name in sources if f"{name}c" not in names]
        for name in sources:
            assert archive.read(f"{name}c").startswith(importlib.util.MAGIC_NUMBER), name
