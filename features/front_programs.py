"""Starts the deployed front program as a process."""

import os
import pathlib
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
bounds = {{ grace_s = 8, lease_ms = 300, status_s = 120 }}
platform = {{ address = "{store}", parts = 4, retention_s = 300 }}
"""


def find_port():
    """Return a port that was free a moment ago."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


def describe_settings(name, front, ready, store):
    """Return the settings file of one program."""
    return _SETTINGS.format(name=name, front=front, ready=ready, store=store)


def start_front(folder, settings, output, metrics_port, changes=()):
    """Start the deployed program with a settings file."""
    path = pathlib.Path(folder) / "local.toml"
    path.write_text(settings)
    environ = os.environ | {"OLEANDERDEAL_BOOT": str(path)} | dict(changes)
    command = [sys.executable, str(_ROOT / "platform" / "run_front.py")]
    command.append(f"--metrics_port={metrics_port}")
    with open(output, "wb") as file:
        return subprocess.Popen(
            command, cwd=_ROOT, env=environ, stdout=file, stderr=subprocess.STDOUT
        )
