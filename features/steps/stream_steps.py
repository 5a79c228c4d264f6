"""Steps for streamed answers over links and from engines that fail midway."""

import behave

import deployments
import stream_reader
import support
from oleander_standins import deployment, relay

_CUSTOMER = deployments.LONG_CUSTOMER
_TOKENS = 300
_MIDWAY_LINES = 8
_ENGINES = {
    name: deployment.BackendHost(
        f"designs-{name}",
        "designs",
        "engine",
        name,
        "designs",
        engine_flags=("--initial-version", str(version), "--token-ms", "4"),
    )
    for name, version in (("a", 1), ("b", 2), ("c", 3))
}


class StreamScenario:
    """Callers' generations at a few engines, each with a different weight version."""

    def __init__(self, started):
        self.deployment = started
        self.cluster = started.cluster
        self.readers = []

    def start_generation(self, prompt, is_streamed=True):
        """Start a caller's generation through entry-a."""
        url = f"{self.cluster.url('entry-a')}/v1/customers/{_CUSTOMER}/operations/draft"
        headers = self.deployment.deployed.write_headers(_CUSTOMER)
        self.readers.append(stream_reader.StreamReader(url, headers, prompt, _TOKENS, is_streamed))

    def find_busy_host(self):
        """Return a host whose engine is generating, once it has generated some tokens."""
        return support.wait_until(
            lambda: next(
                (name for name in self.list_running_hosts() if self._is_midway(name)), None
            ),
            "an engine is midway",
        )

    def list_running_hosts(self):
        """Return the hosts whose engine and sidecar are both running."""
        find = self.cluster.find
        hosts = self.deployment.hosts
        return [n for n in hosts if find(n).code is None and find(f"{n}-engine").code is None]

    def _is_midway(self, host):
        counts = self.cluster.read_control(f"{host}-engine", "generations=no")
        return counts["running"] and counts["tokens"] >= 4 * _MIDWAY_LINES

    def kill_engine_and_next_sidecar(self, host):
        """Kill the engine, and then the sidecar of the host that resumes its generation."""
        self.cluster.kill(f"{host}-engine")
        self.deployment.kill(self.find_busy_host())

    def hold_link(self, host):
        """Hold the link's messages to the entry, and release them once at least one is held."""
        link = self.deployment.relays[f"link-{host}"]
        link.block(relay.TO_CLIENT)
        support.wait_until(lambda: link.count_held(relay.TO_CLIENT), "the link holds answers")
        link.heal()

    def silence_link(self, host):
        """Block the link until the entry uses another host, then let the late messages through."""
        link = self.deployment.relays[f"link-{host}"]
        before = [len(reader.lines) for reader in self.readers]
        link.block_open_connections()
        other = next(name for name in self.deployment.hosts if name != host)
        support.wait_until(
            lambda: (
                self.cluster.read_control(f"{other}-engine", "generations=no")["running"]
                or any(len(r.lines) > n + 20 for r, n in zip(self.readers, before, strict=True))
            ),
            "the generation is resumed elsewhere",
        )
        link.heal()


_FAULTS = {
    "nothing happens": lambda trial, host: None,
    "its link holds answers for a moment": lambda trial, host: trial.hold_link(host),
    "its link falls silent and its answers come late": lambda trial, host: trial.silence_link(
        host
    ),
    "its link breaks": lambda trial, host: trial.deployment.relays[
        f"link-{host}"
    ].drop_connections(),
    "its sidecar dies": lambda trial, host: trial.deployment.kill(host),
    "its sidecar is paused": lambda trial, host: trial.deployment.freeze(host),
    "its engine dies": lambda trial, host: trial.cluster.kill(f"{host}-engine"),
    "its engine dies, and so does the next sidecar": lambda trial, host: (
        trial.kill_engine_and_next_sidecar(host)
    ),
    "the entry dies": lambda trial, host: trial.deployment.kill("entry-a"),
}


@behave.given("a deployment for streams with the engines {names}")
def start(context, names):
    hosts = [_ENGINES[name] for name in names.split()]
    relays = [f"link-{host.name}" for host in hosts]
    started = deployments.SmallDeployment(support.get_cluster(context), relays, hosts)
    started.start()
    context.stream = StreamScenario(started)


@behave.when("the streams of {callers} are midway and {fault}")
def run_streams(context, callers, fault):
    trial = context.stream
    for caller in callers.split(" and "):
        trial.start_generation(caller)
    for reader in trial.readers:
        reader.await_lines(_MIDWAY_LINES)
    _FAULTS[fault](trial, trial.find_busy_host())


@behave.when("an answer in one piece to {caller} is midway and {fault}")
def run_unstreamed(context, caller, fault):
    context.stream.start_generation(caller, is_streamed=False)
    _FAULTS[fault](context.stream, context.stream.find_busy_host())


@behave.when("a stream of {caller} has ended, and the same engine cuts the next one short")
def cut_second_stream(context, caller):
    trial = context.stream
    trial.start_generation(caller)
    trial.readers[0].check_complete()
    versions = {"designs-a": 1, "designs-b": 2}
    host = next(name for name in versions if [versions[name]] == trial.readers[0].read_versions())
    trial.cluster.control(f"{host}-engine", cut=1)
    trial.readers.clear()
    trial.start_generation(caller)


@behave.then("each caller has its own complete text, made by {count:d} engines")
def check_complete(context, count):
    for reader in context.stream.readers:
        reader.check_complete()
        assert len(reader.read_versions()) == count, reader.last_line


@behave.then("the stream has no last line, and its text is a prefix of the complete one")
def check_truncated(context):
    reader = context.stream.readers[0]
    reader.await_end()
    assert reader.last_line is None, reader.last_line
    complete_text = stream_reader.tokens.make_text(reader.prompt, 0, _TOKENS)
    received_text = stream_reader.tokens.remove_marks(reader.text)
    assert (
        received_text
        and complete_text.startswith(received_text)
        and received_text != complete_text
    ), reader.text
