"""Case 5: a client resumes a stream with `Last-Event-Id`, and gets its first events once more."""

import os
import pathlib
import select
import socket
import struct
import sys
import tempfile
import threading
import time
import traceback

from common_2 import fronts, record, samplers, store

STREAMS = 20
EVENTS = 24
EVENT_SECONDS = 0.02
EVENT_BYTES = 280
RESET_AFTER_EVENTS = 8
RESET_SHARE = 0.5
HOST = "ficu95.example"
_RESET = struct.pack("ii", 1, 0)


class Ingress:
    """Passes channels on to one front; resets some of them in the middle of an answer."""

    def __init__(self, front):
        self._front = front
        self._listener = socket.create_server((store.HOST, 0))
        self._bytes_left = {}
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def reset_after(self, local_port, size):
        """Reset the channel from a client's port once so many bytes of its answer have passed."""
        self._bytes_left[local_port] = size

    def stop(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                client, (_, port) = self._listener.accept()
            except OSError:
                return
            server = socket.create_connection((store.HOST, self._front.port))
            arguments = (client, server, port)
            threading.Thread(target=self._pass, args=arguments, daemon=True).start()

    def _pass(self, client, server, port):
        """Pass bytes both ways until an end closes its channel, or until the reset is due."""
        is_open = True
        try:
            while is_open:
                readable, _, _ = select.select([client, server], [], [])
                for source in readable:
                    data = source.recv(65_536)
                    is_open = is_open and bool(data)
                    if source is client:
                        server.sendall(data)
                        continue
                    left = self._bytes_left.get(port)
                    client.sendall(data if left is None else data[:left])
                    if left is not None and len(data) >= left:
                        time.sleep(0.1)
                        for item in (client, server):
                            item.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                        is_open = False
                    elif left is not None:
                        self._bytes_left[port] = left - len(data)
        except OSError:
            pass
        client.close()
        server.close()


def run_stream(sampler, handler, request_id, body):
    """Send the events after `Last-Event-Id`, as a sampler of a resumable stream does."""
    first = int(handler.headers.get("Last-Event-Id") or 0) + 1
    handler.send_response(200)
    for name, value in sampler.run_headers(request_id):
        handler.send_header(name, value)
    handler.send_header("Content-Type", "text/event-stream")
    handler.send_header("Transfer-Encoding", "chunked")
    handler.end_headers()
    for number in range(first, EVENTS + 1):
        time.sleep(EVENT_SECONDS)
        event = describe_event(number)
        handler.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
        handler.wfile.flush()
    handler.wfile.write(b"0\r\n\r\n")
    handler.wfile.flush()


def describe_event(number):
    text = f"event-{number}-".ljust(EVENT_BYTES, "x")
    return f"id: {number}\ndata: {text}\n\n".encode()


def ask(ingress, kept, request_id, last_event_id, is_reset):
    """Send one client attempt; return the ids of its whole events, and whether it is complete."""
    channel = socket.create_connection((store.HOST, ingress.port), timeout=10.0)
    if is_reset:
        head_bytes = 400
        size = sum(len(describe_event(number)) for number in range(1, RESET_AFTER_EVENTS + 1))
        ingress.reset_after(channel.getsockname()[1], head_bytes + size)
    resumed = f"Last-Event-Id: {last_event_id}\r\n" if last_event_id else ""
    body = b"the prompt"
    channel.sendall(
        f"POST /stream/7c HTTP/1.1\r\nHost: {HOST}\r\nX-Oleanderdeal-Attempt-Id: {request_id}\r\n"
        f"X-Oleanderdeal-Deadline-Ms: 8000\r\n{resumed}Connection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    received, end = b"", "close"
    try:
        while data := channel.recv(65_536):
            received += data
    except OSError as error:
        end = type(error).__name__
    channel.close()
    head, _, content = received.partition(b"\r\n\r\n")
    status = head.split(b" ")[1].decode() if head else ""
    events = content.split(b"\n\n")[:-1]
    numbers = [int(event.split(b"\n")[0].removeprefix(b"id: ")) for event in events]
    lengths = [
        int(line.split(b":")[1])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length:")
    ]
    is_complete = bool(lengths) and len(content) == lengths[0]
    kept.add(
        "attempt",
        id=request_id,
        last_event_id=last_event_id,
        status=status,
        events=numbers,
        end=end,
        is_complete=is_complete,
    )
    return status, numbers, is_complete


def read_stream(ingress, kept, number, is_reset):
    """Read one stream as a client does, which resumes it after a broken channel."""
    pieces = []
    for attempt in range(3):
        last = pieces[-1] if pieces else 0
        request_id = f"{number:04x}{attempt:04x}"
        status, events, is_complete = ask(
            ingress, kept, request_id, last, is_reset and not attempt
        )
        if status == "200":
            pieces += events
        if is_complete and status == "200":
            break
    kept.add("stream", number=number, was_reset=is_reset, pieces=pieces)
    return pieces


def play(ingress, kept, has_trouble):
    """Read the streams one after the other; return those in which the order is broken."""
    broken = []
    for number in range(STREAMS):
        is_reset = has_trouble and number < STREAMS * RESET_SHARE
        pieces = read_stream(ingress, kept, number, is_reset)
        if pieces != list(range(1, EVENTS + 1)):
            broken.append(number)
    kept.add("verdict", streams=STREAMS, out_of_order=broken)
    return bool(broken)


def main():
    fronts.end_on_sigterm()
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    kept = record.Record(pathlib.Path(__file__).resolve().parent / "record.txt")
    platform = store.Store()
    engines = [
        samplers.Sampler(f"i-engine-{number}", "engines", platform, kept, run=run_stream)
        for number in range(3)
    ]
    route = fronts.describe_route(
        "stream",
        "/stream/",
        "streaming",
        "engines",
        resumable=True,
        timeout_ms=10_000,
        target_latency_ms=2000,
    )
    configuration = fronts.describe_configuration(7, [route], ["engines"])
    platform.put("keyed.op", "config", configuration)
    front = ingress = None
    try:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                front = fronts.Front("front-1", temporary, platform.address)
                front.wait_ready()
                ingress = Ingress(front)
                is_broken = play(ingress, kept, has_trouble)
            finally:
                if front is not None:
                    front.end()
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        if ingress is not None:
            ingress.stop()
        for engine in engines:
            engine.stop()
        platform.stop()
        kept.close()
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
