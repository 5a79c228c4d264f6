"""Start the deployed front program as a process and send requests to it."""

import http.client
import os
import pathlib
import random
import socket
import subprocess
import sys

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SETTINGS = """
node_name = "{name}"
ip = "127.0.0.1"
zone = "z"
internal_ports = [7380, 7395]
listen = {{ front = "127.0.0.1:{front}", ready = "127.0.0.1:{ready}" }}
bounds.grace_s = 8
bounds.lease_ms = 300
bounds.status_s = 120
platform = {{ address = "{store}", parts = 4, retention_s = 300 }}
"""
_USAGE_REPORT_SETTINGS = """
cloud = {{ address = "{address}", duties = ["usage_report"] }}
bounds.report_window_s = {window}
bounds.usage_late_s = 10
"""


_PORTS = range(20_000, 32_000)
"""
Ports below the ephemeral ones.

A restarted program needs its port again, and the system could have given an ephemeral one to a
server of another test.
"""
_REQUEST_TIMEOUT_SECONDS = 10.0
_EXIT_TIMEOUT_SECONDS = 12.0
_OUTPUT_TAIL_CHARACTERS = 1500
_LOOPBACK = "127.0.0.1"


def find_port():
    """Return a random port that is free now; another process may still take it before its use."""
    while True:
        port = random.SystemRandom().choice(_PORTS)
        try:
            with socket.create_server((_LOOPBACK, port)):
                return port
        except OSError:
            continue


def describe_settings(name, front, ready, store):
    """Return the settings file of a program, given its name, ports and store address."""
    return _SETTINGS.format(name=name, front=front, ready=ready, store=store)


def describe_duties(address, window_seconds):
    """Return the additional lines of the settings file that turn usage reports on."""
    return _USAGE_REPORT_SETTINGS.format(address=address, window=window_seconds)


def start_front(folder, settings, output, metrics_port, changes=()):
    """Start the program and append its output to a file; `changes` are environment variables."""
    path = pathlib.Path(folder) / "local.toml"
    path.write_text(settings)
    environ = os.environ | {"OLEANDERDEAL_BOOT": str(path)} | dict(changes)
    command = [sys.executable, str(_ROOT / "platform" / "run_front.py")]
    command.append(f"--metrics_port={metrics_port}")
    with open(output, "ab") as file:
        return subprocess.Popen(
            command, cwd=_ROOT, env=environ, stdout=file, stderr=subprocess.STDOUT
        )


class FrontProgram:
    """A front program that can be ended and started again with the same name and ports."""

    def __init__(self, name, folder, store_address, has_metrics=False, more=""):
        self.name = name
        self.front, self.ready = find_port(), find_port()
        self.metrics = find_port() if has_metrics else 0
        self._settings = describe_settings(name, self.front, self.ready, store_address) + more
        self._folder = pathlib.Path(folder) / name
        self._folder.mkdir()
        self.output = self._folder / "output"
        self.process = None
        self.start()

    def start(self):
        self.process = start_front(self._folder, self._settings, self.output, self.metrics)

    def ask(self, method, path, body=b"", request_id="r1", port=None, headers=()):
        """Return status, headers and body of an answer; raise if no complete answer arrives."""
        connection = http.client.HTTPConnection(
            _LOOPBACK, port or self.front, timeout=_REQUEST_TIMEOUT_SECONDS
        )
        sent = {
            "Host": "h.example",
            "X-Oleanderdeal-Attempt-Id": request_id,
            "X-Oleanderdeal-Deadline-Ms": "3000",
        } | dict(headers)
        try:
            connection.request(method, path, body, sent)
            answer = connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()
        finally:
            connection.close()

    def is_ready(self):
        try:
            return self.ask("GET", "/api/ready", port=self.ready)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def describe(self):
        """Return the exit code or None, the readiness and the end of the output, for a message."""
        lines = self.output.read_text()[-_OUTPUT_TAIL_CHARACTERS:]
        return f"{self.name}: code {self.process.poll()}, ready {self.is_ready()}\n{lines}"

    def signal(self, number):
        """Send a signal unless the program has exited."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """Send SIGKILL, which also ends a paused process, and wait for the exit."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(_EXIT_TIMEOUT_SECONDS)
