"""Trainers in a small deployment whose samples can be held at each stage of their delivery."""

import concurrent.futures
import json

import deployments
import support
from oleander_standins import deployment, relay

CUSTOMER = "lab"
MODEL = "designs"
ENGINES = ("designs-a", "designs-b")
BOUNDS = {"fresh": 0, "near": 1, "far": 2, "current": 2}
"""The trainers of the contract and their staleness bounds."""
OBJECTIVES = {"current": "staleness"}
CONTRACT = """
customer: lab
share_percent: 50
retry_percent: 100
operations: []
trainers:
""" + "\n".join(
    f"  - {{name: {name}, backend: designs, model: designs, staleness_bound: {bound},"
    f" objective: {OBJECTIVES.get(name, 'idle-time')}, hedge_percent: 0}}"
    for name, bound in BOUNDS.items()
)
RELAYS = (
    *(f"trainer-{name}" for name in deployments.ENTRIES),
    *(f"{kind}-{name}" for kind in ("link", "service") for name in ENGINES),
)
GROUPS = 4
SAMPLES = 16
SAMPLE_TOKENS = 32
SLOTS = 4
_PAUSE_TOKENS = 8
_MAX_PULLED_SAMPLES = 4
_CALL_MS = 1000
_WAIT_MS = 500
_LONG_PULLS = ("--wait-ms", "1500")
_ANSWERS = relay.TO_CLIENT
_EXIT_SECONDS = 40


def create_hosts():
    """Return two engines of four slots each, so that the samples of a step need two rounds."""
    return tuple(
        deployment.BackendHost(name, "designs", "engine", name[-1], MODEL, SLOTS)
        for name in ENGINES
    )


class SampleTrials:
    """Starts trainers, brings their samples to a named stage, and reads what was generated."""

    def __init__(self, deployed):
        self._deployed = deployed
        self._cluster = deployed.cluster
        self._stages = {
            "put": self._reach_put,
            "dispatched": self._reach_dispatched,
            "streaming": self._reach_streaming,
            "swapped": self._reach_swapped,
            "finished": self._reach_finished,
            "partly held": self._reach_partly_held,
            "answered": self._reach_answered,
            "answered again": self._reach_answered_again,
        }
        self._held_relay = None
        self.held_at_stage = 0

    def start_trainer(self, process, name, entries=deployments.ENTRIES, *flags):
        """Start a trainer of the contract in a process of the given name."""
        arguments = []
        for entry in entries:
            arguments += ["--entry", self._deployed.relays[f"trainer-{entry}"].url]
        token = self._deployed.deployed.write_headers(CUSTOMER)["Authorization"].split()[1]
        arguments += ["--customer", CUSTOMER, "--trainer", name, "--model", MODEL]
        arguments += ["--token", token, "--staleness-bound", BOUNDS[name]]
        arguments += ["--groups", GROUPS, "--samples", SAMPLES // GROUPS]
        arguments += ["--max-tokens", SAMPLE_TOKENS, "--most", _MAX_PULLED_SAMPLES]
        arguments += ["--call-ms", _CALL_MS, "--wait-ms", _WAIT_MS]
        arguments += ["--weights-url", self._cluster.url("weights"), "--checks-marks"]
        arguments += ["--print-pulls", "--pulls-where-put", *flags]
        module = "oleander_standins.trainer"
        return self._cluster.start(process, module, *arguments, ready=False)

    def bring_to(self, stage, trainer, flags):
        """Start a trainer and wait until its samples have reached a stage."""
        self._stages[stage](trainer, flags)
        self.held_at_stage = self.count_held("trainer")

    def release(self):
        """End the pauses and held answers that keep the samples at a stage; faults stay."""
        for name in ENGINES:
            self._pause(name, pause_start=False, pause_after=0)
        if self._held_relay is not None:
            self._held_relay.release(_ANSWERS)
            self._held_relay = None

    def publish(self, version):
        """Store a version of the weights and announce it."""
        assert support.call("PUT", self._name_weights(version), b"weights").status == 200
        self.announce(version)

    def announce(self, version):
        """Announce a version of the weights, whether it is in the store or not."""
        path = f"/v1/customers/{CUSTOMER}/models/{MODEL}/versions/{version}"
        headers = self._deployed.deployed.write_headers(CUSTOMER)
        body = {"uri": self._name_weights(version)}
        url = self._cluster.url("entry-b") + path
        assert support.call("PUT", url, body, headers).status == 200

    def await_loaded(self, version):
        """Wait until every engine has loaded a version."""
        support.wait_until(
            lambda: all(self._count(name)["version"] == version for name in ENGINES),
            f"every engine has version {version}",
        )

    def put_step(self, entry, trainer, step, groups, incarnation=1):
        """Send a trainer's registration of a step to an entry; return the answer."""
        path = f"/v1/customers/{CUSTOMER}/trainers/{trainer}/steps/{step}"
        body = {"incarnation": incarnation, "version": 1, "groups": groups}
        headers = self._deployed.deployed.write_headers(CUSTOMER)
        return support.call("PUT", self._cluster.url(entry) + path, body, headers)

    def read_lines(self, process):
        """Return the JSON lines that a trainer has printed so far."""
        return [json.loads(line) for line in list(self._cluster.find(process).lines.queue)]

    def read_held(self, process):
        """Return the sample numbers that a trainer last said it holds, such as `0-5,9`."""
        texts = [line["held"] for line in self.read_lines(process) if "held" in line]
        return texts[-1] if texts else ""

    def count_held(self, process):
        """Return how many samples a trainer last said it holds."""
        return count_numbers(self.read_held(process))

    def await_held(self, process, count):
        """Wait until a trainer holds at least `count` samples."""
        support.wait_until(lambda: self.count_held(process) >= count, f"{count} samples are held")

    def await_put(self, process, entry):
        """Wait until a trainer's last registration was accepted by this entry."""
        place = deployments.ENTRIES.index(entry)

        def has_put():
            puts = [line["entry"] for line in self.read_lines(process) if "entry" in line]
            return bool(puts) and puts[-1] == place

        support.wait_until(has_put, f"the trainer has put its step at {entry}")

    def await_first_put(self, process):
        """Wait until a trainer's first registration was accepted."""
        support.wait_until(
            lambda: any("put" in line for line in self.read_lines(process)),
            f"{process} has put its step",
        )

    def await_exit(self, process):
        """Wait until a trainer's process has exited."""
        self._cluster.find(process).wait_exit(_EXIT_SECONDS)

    def await_end(self, process):
        """Wait for a trainer to exit; return its exit code and its last line, the summary."""
        child = self._cluster.find(process)
        code = child.wait_exit(_EXIT_SECONDS)
        lines = [json.loads(line) for line in child.wait_lines()]
        return code, lines[-1]

    def count_tokens(self):
        """Return how many tokens the running engines have generated."""
        return sum(self._count(name)["tokens"] for name in ENGINES if self._is_alive(name))

    def count_delivered(self, entry, trainer):
        """Return how many samples an entry has sent to a trainer."""
        headers = self._deployed.deployed.write_headers("operator")
        report = support.call("GET", f"{self._cluster.url(entry)}/v1/report", None, headers)
        name = f"customer.{CUSTOMER}.trainer.{trainer}.delivered"
        return report.read_json()["counts"].get(name, 0)

    def await_generated(self, tokens):
        """Wait until the engines have generated at least `tokens` tokens and are idle."""

        def is_generated():
            running = sum(self._count(name)["running"] for name in ENGINES)
            return self.count_tokens() >= tokens and running == 0

        support.wait_until(is_generated, f"{tokens} tokens are generated")

    def await_peers(self, count):
        """Wait until the collecting entry is connected to `count` sidecars."""
        self._deployed.await_entry_peers("entry-a", count)

    def _name_weights(self, version):
        return f"{self._cluster.url('weights')}/weights/{MODEL}/{version}"

    def _reach_put(self, trainer, flags):
        self._pause_all(pause_start=True)
        self._hold_answers()
        self.start_trainer("trainer", trainer, deployments.ENTRIES, "--states-held", *flags)
        self._await_held_answer()

    def _reach_dispatched(self, trainer, flags):
        self._pause_all(pause_start=True)
        self.start_trainer("trainer", trainer, deployments.ENTRIES, *flags)
        self._await_running(0)

    def _reach_streaming(self, trainer, flags):
        self._pause_all(pause_after=_PAUSE_TOKENS)
        self.start_trainer("trainer", trainer, deployments.ENTRIES, *flags)
        self._await_running(_PAUSE_TOKENS)

    def _reach_swapped(self, trainer, flags):
        """Start the trainer one version ahead of the engines, which load it in mid-stream."""
        self._reach_streaming(trainer, ("--version-start", "2", *flags))
        self.publish(2)
        self.await_loaded(2)

    def _reach_finished(self, trainer, flags):
        self._hold_answers()
        self.start_trainer("trainer", trainer, deployments.ENTRIES, "--states-held", *flags)
        self.await_generated(SAMPLES * SAMPLE_TOKENS)

    def _reach_partly_held(self, trainer, flags):
        self._pause("designs-b", pause_after=_PAUSE_TOKENS)
        self.start_trainer("trainer", trainer, deployments.ENTRIES, *flags)
        self.await_held("trainer", SLOTS)
        support.wait_until(
            lambda: self._count("designs-a")["running"] == 0, "the other engine is idle"
        )
        support.wait_until(
            lambda: self.count_held("trainer") == self.count_delivered("entry-a", trainer),
            "all delivered samples are held",
        )

    def _reach_answered(self, trainer, flags):
        self._reach_streaming(trainer, (*_LONG_PULLS, *flags))
        self._hold_next_answer()
        self._end_pauses()
        self._await_delivered(trainer, 1)

    def _reach_answered_again(self, trainer, flags):
        self._reach_partly_held(trainer, (*_LONG_PULLS, *flags))
        self._hold_next_answer()
        self._end_pauses()
        self._await_delivered(trainer, self.count_held("trainer") + 1)

    def _await_delivered(self, trainer, count):
        support.wait_until(
            lambda: self.count_delivered("entry-a", trainer) >= count, f"{count} were answered"
        )

    def _await_running(self, tokens):
        """Wait until every slot has generated `tokens` tokens and is paused there."""

        def is_paused():
            counts = [self._count(name) for name in ENGINES]
            return all(
                item["running"] == SLOTS and item["tokens"] == SLOTS * tokens for item in counts
            )

        support.wait_until(is_paused, f"every slot has generated {tokens} tokens")

    def _hold_answers(self):
        self._held_relay = self._deployed.relays["trainer-entry-a"]
        self._held_relay.block(_ANSWERS)

    def _hold_next_answer(self):
        """Hold answers from the start of the next pull on, so that it ends with samples."""
        before = len(self.read_lines("trainer"))
        support.wait_until(lambda: len(self.read_lines("trainer")) > before, "a pull has ended")
        self._hold_answers()

    def _await_held_answer(self):
        relay_held = self._held_relay
        support.wait_until(lambda: relay_held.count_held(_ANSWERS), "an answer is on its way")

    def _pause_all(self, **settings):
        for name in ENGINES:
            self._pause(name, **settings)

    def _end_pauses(self):
        self._pause_all(pause_start=False, pause_after=0)

    def _pause(self, name, **settings):
        if self._is_alive(name):
            self._cluster.control(f"{name}-engine", **settings)

    def _is_alive(self, name):
        """Return whether an engine runs and is not frozen."""
        engine = self._cluster.find(f"{name}-engine")
        return engine.code is None and not deployments.is_frozen(engine.pid)

    def _count(self, name):
        return self._cluster.read_control(f"{name}-engine", "generations=no")


def count_numbers(text):
    """Return how many numbers a set such as `0-5,9` contains."""
    ranges = [part.split("-") for part in text.split(",") if part]
    return sum(int(item[-1]) - int(item[0]) + 1 for item in ranges)


class SpareDeployments:
    """
    Starts the next scenario's deployment while the current scenario runs.

    Each scenario still gets its own deployment; starting one takes half of a scenario's time. The
    last spare deployment is stopped unused.
    """

    def __init__(self):
        self._pool = concurrent.futures.ThreadPoolExecutor(1)
        self._next = None

    def take(self):
        """Return a started deployment and begin to start the next one."""
        spare = self._next or self._pool.submit(_create_deployment)
        self._next = self._pool.submit(_create_deployment)
        return spare.result()

    def stop(self):
        """Stop the spare deployment."""
        self._pool.shutdown()
        self._next.result().cluster.stop()


def _create_deployment():
    deployed = deployments.SmallDeployment(
        support.Cluster(), RELAYS, hosts=create_hosts(), contracts=(CONTRACT,)
    )
    try:
        deployed.start()
    except BaseException:
        deployed.cluster.stop()
        raise
    return deployed


_spares = {}


def start(context):
    """Assign a started deployment to the scenario; return a `SampleTrials` that controls it."""
    name = context.feature.filename
    if name not in _spares:
        _spares[name] = SpareDeployments()
        context.add_cleanup(lambda: _spares.pop(name).stop(), layer="feature")
    context.deployment = _spares[name].take()
    context.cluster = context.deployment.cluster
    return SampleTrials(context.deployment)
