"""Start child processes, call them and wait for conditions, for tests, demo and benchmarks."""

import collections.abc
import json
import pathlib
import queue
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import typing

from oleander_standins import client, relay

_START_TIMEOUT_SECONDS = 15.0
_STOP_TIMEOUT_SECONDS = 10.0
_CALL_TIMEOUT_SECONDS = 10.0
_READY_PREFIX = "listening on "
_MAX_LINES = 100_000
_MAX_LOG_CHARACTERS = 4000
_RESTART_PORTS = range(12_000, 20_000)
"""Ports of servers that may be restarted: below those that systems assign to outgoing connections,
one of which could hold the port when the server is started on it again."""
_MAX_PORT_TRIALS = 100


def call(
    method: str,
    url: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = _CALL_TIMEOUT_SECONDS,
) -> client.Response:
    """Send a request and return the response; a body other than bytes is sent as JSON."""
    if body is not None and not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return client.call(method, url, body, headers or {}, timeout)


def wait_until(
    condition: collections.abc.Callable[[], typing.Any], what: str, seconds: float = 10
) -> typing.Any:
    """Poll a condition until it is true and return its value; raise AssertionError on timeout."""
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        assert time.monotonic() < deadline, f"timed out after {seconds} s, waiting for: {what}"
        time.sleep(0.01)


def reserve_port() -> socket.socket:
    """
    Return a socket that holds a port for servers; OSError if no port is free.

    Servers with SO_REUSEPORT can listen on the port, and no other process can bind it until the
    socket is closed. While no server listens, connections are refused.
    """
    for _ in range(_MAX_PORT_TRIALS):
        holder = socket.socket()
        try:
            holder.bind(("127.0.0.1", random.choice(_RESTART_PORTS)))
        except OSError:
            holder.close()
            continue
        # Set only now, or two processes could hold the same port.
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        return holder
    raise OSError(f"no free port in {_RESTART_PORTS}")


class Process:
    """
    A child process.

    A thread reads its standard output, so that the child never blocks on a full pipe; lines above
    the bound of the queue are discarded.
    """

    def __init__(
        self,
        name: str,
        command: collections.abc.Sequence[str],
        log_path: pathlib.Path,
        environ: dict[str, str] | None = None,
    ) -> None:
        """Start a command; without `environ` it inherits this process's environment."""
        self.name = name
        self.address = ""
        self.lines: queue.Queue[str] = queue.Queue(_MAX_LINES)
        self._log_path = log_path
        with log_path.open("ab") as log_file:
            self._child = subprocess.Popen(
                command,
                stdout=subprocess.PIPE,
                stderr=log_file,
                text=True,
                env=environ,
            )
        self._ready = threading.Event()
        self._reader = threading.Thread(target=self._read_lines, daemon=True)
        self._reader.start()

    @property
    def pid(self) -> int:
        """The operating system's id of the process."""
        return self._child.pid

    @property
    def code(self) -> int | None:
        """The exit code, or None while the process runs."""
        return self._child.poll()

    @property
    def url(self) -> str:
        """The URL that the process listens on."""
        return f"http://{self.address}"

    def read_log(self) -> str:
        """Return the last characters of its standard error."""
        return self._log_path.read_text(errors="replace")[-_MAX_LOG_CHARACTERS:]

    def wait_ready(self, seconds: float = _START_TIMEOUT_SECONDS) -> None:
        """Wait until the process prints its address; raise AssertionError if it does not."""
        deadline = time.monotonic() + seconds
        while not self._ready.wait(0.02):
            ended = self.code is not None and not self._reader.is_alive()
            assert not ended and time.monotonic() < deadline, (
                f"{self.name} is not ready (exit code {self.code}): {self.read_log()}"
            )

    def wait_exit(self, seconds: float = _STOP_TIMEOUT_SECONDS) -> int:
        """Wait until the process ends; return the exit code."""
        return self._child.wait(seconds)

    def wait_lines(self) -> list[str]:
        """Wait for the end of the output of an ended process; return the lines not read yet."""
        self._reader.join(_STOP_TIMEOUT_SECONDS)
        return [self.lines.get_nowait() for _ in range(self.lines.qsize())]

    def send(self, signal_number: int) -> None:
        """Send a signal; do nothing if the process has ended."""
        self._child.send_signal(signal_number)

    def close(self) -> None:
        """Kill the process, also if it is stopped by a signal, and release its resources."""
        self.send(signal.SIGKILL)
        self._child.wait(_STOP_TIMEOUT_SECONDS)
        self._reader.join(_STOP_TIMEOUT_SECONDS)
        if self._child.stdout is not None:
            self._child.stdout.close()

    def _read_lines(self) -> None:
        for line in self._child.stdout or ():
            line = line.rstrip("\n")
            if line.startswith(_READY_PREFIX) and not self.address:
                self.address = line.removeprefix(_READY_PREFIX)
                self._ready.set()
            elif not self.lines.full():
                self.lines.put_nowait(line)


class Cluster:
    """The child processes and relays of a test run by name; `stop` ends them all."""

    def __init__(self) -> None:
        self._processes: dict[str, Process] = {}
        self._relays: dict[str, relay.Relay] = {}
        self._port_holders: list[socket.socket] = []
        self._logs = tempfile.TemporaryDirectory(prefix="oleander-")

    def start(self, name: str, module: str, *arguments: object, ready: bool = True) -> Process:
        """Start a Python module as a process; wait until it listens if `ready`."""
        command = [sys.executable, "-m", module, *map(str, arguments)]
        return self.start_command(name, command, None, ready)

    def start_command(
        self,
        name: str,
        command: collections.abc.Sequence[str],
        environ: dict[str, str] | None,
        ready: bool = True,
    ) -> Process:
        """Start a command as a process, after killing a process of the same name."""
        self.close(name)
        log_path = pathlib.Path(self._logs.name) / f"{name}.log"
        process = Process(name, command, log_path, environ)
        self._processes[name] = process
        if ready:
            process.wait_ready()
        return process

    def start_stand_in(self, name: str, kind: str, *arguments: object) -> Process:
        """Start a stand-in on a free port."""
        return self.start(name, f"oleander_standins.{kind}", "--port", 0, *arguments)

    def reserve_port(self) -> int:
        """Return a port that only servers of this cluster can use until `stop`."""
        holder = reserve_port()
        self._port_holders.append(holder)
        return int(holder.getsockname()[1])

    def start_relay(self, name: str, target: str) -> relay.Relay:
        """Start a relay whose target is the name of a process or IP:port."""
        known = self._processes.get(target)
        self._relays[name] = relay.Relay(known.address if known else target)
        return self._relays[name]

    def find_relay(self, name: str) -> relay.Relay:
        """Return the relay of a name; raise KeyError if there is none."""
        return self._relays[name]

    def has(self, name: str) -> bool:
        """Return whether a process or relay of that name exists."""
        return name in self._processes or name in self._relays

    def find(self, name: str) -> Process:
        """Return the process of a name; raise KeyError if there is none."""
        return self._processes[name]

    def url(self, name: str) -> str:
        """Return the URL of a process or relay."""
        return self._find_listener(name).url

    def address(self, name: str) -> str:
        """Return the address of a process or relay as IP:port."""
        return self._find_listener(name).address

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL, to simulate a crash, and wait until it has ended."""
        self._processes[name].send(signal.SIGKILL)
        self._processes[name].wait_exit()

    def freeze(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self._processes[name].send(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a paused process."""
        self._processes[name].send(signal.SIGCONT)

    def terminate(self, name: str, seconds: float = _STOP_TIMEOUT_SECONDS) -> int:
        """Stop a process with SIGTERM; return its exit code."""
        self._processes[name].send(signal.SIGTERM)
        return self._processes[name].wait_exit(seconds)

    def close(self, name: str) -> None:
        """Kill and remove the process of a name, if there is one."""
        process = self._processes.pop(name, None)
        if process is not None:
            process.close()

    def stop(self) -> None:
        """End every process and relay, and delete the log files."""
        for name in list(self._processes):
            self.close(name)
        for item in self._relays.values():
            item.close()
        for holder in self._port_holders:
            holder.close()
        self._logs.cleanup()

    def read_logs(self) -> str:
        """Return the end of each process's log, for the report of a failed scenario."""
        return "".join(
            f"--- {name}, exit code {process.code}\n{process.read_log()}"
            for name, process in self._processes.items()
        )

    def read_whole_logs(self) -> str:
        """Return the complete logs, including those of processes that were restarted."""
        paths = sorted(pathlib.Path(self._logs.name).glob("*.log"))
        return "".join(path.read_text(errors="replace") for path in paths)

    def _find_listener(self, name: str) -> Process | relay.Relay:
        return self._relays.get(name) or self._processes[name]

    def control(self, name: str, **settings: typing.Any) -> None:
        """Change settings or run commands through the control endpoint of a stand-in."""
        response = call("POST", f"{self.url(name)}/control", settings)
        assert response.status == 200, response.body

    def read_control(self, name: str, query: str = "") -> typing.Any:
        """Return a stand-in's counters; `generations=no` omits the generations of an engine."""
        return call("GET", f"{self.url(name)}/control?{query}").read_json()
