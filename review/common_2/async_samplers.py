"""Stand-in of a sampler of a plain service for many requests, in the event loop of a case."""

import asyncio
import json

from common_2 import store as stores

_BEAT_SECONDS = 1.2
_MAX_QUEUED = 24
_PREFIX = "X-Oleanderdeal-"


async def read_message(reader):
    """Return the first line, the headers by lower-case name and the body; None at the end."""
    line = (await reader.readline()).decode("latin-1").strip()
    if not line:
        return None
    headers = {}
    while (text := (await reader.readline()).decode("latin-1").strip()) != "":
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line, headers, body


class AsyncSampler:
    """One lifetime of a sampler that works a fixed time on each request, some of them at once."""

    def __init__(self, name, service, store, record, slots=6, work_seconds=0.025):
        self.name = name
        self._service = service
        self._store = store
        self._record = record
        self._slots = slots
        self._work_seconds = work_seconds
        self._free = asyncio.Semaphore(slots)
        self._queued = 0
        self._server = None
        self._beats = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, stores.HOST, 0, backlog=1024)
        port = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.create_task(self._beat(f"{stores.HOST}:{port}"))

    def stop(self):
        self._beats.cancel()
        self._server.close()

    async def _beat(self, address):
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "service": self._service,
                "address": address,
                "zone": "z1",
                "version": "v1",
                "slots": self._slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": sequence,
            }
            self._store.put("keyed.servers", self.name, entry)
            await asyncio.sleep(_BEAT_SECONDS)

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                await self._answer(writer, *message)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer, line, headers, body):
        path = line.split(" ")[1]
        request_id = headers.get("x-oleanderdeal-attempt-id", "")
        named = headers.get("x-oleanderdeal-expect-instance")
        echo = f"{_PREFIX}Attempt-Id: {request_id}\r\n"
        if named is not None and named != self.name:
            _send(
                writer, "421 Misdirected Request", f"{echo}{_PREFIX}Instance-Id: {self.name}\r\n"
            )
        elif path == "/health":
            _send(writer, "200 OK", f"{_PREFIX}Instance-Id: {self.name}\r\n")
        elif self._queued >= _MAX_QUEUED:
            _send(writer, "503 Service Unavailable", f"{echo}{_PREFIX}Not-Run: 1\r\n")
        else:
            self._queued += 1
            async with self._free:
                self._queued -= 1
                self._record.add("run", id=request_id, sampler=self.name)
                await asyncio.sleep(self._work_seconds)
            stamp = f"{_PREFIX}Server-Stamp: {self.name}.{request_id}\r\n"
            content = json.dumps({"id": request_id}).encode()
            _send(writer, "200 OK", echo + stamp, content)
        await writer.drain()


def _send(writer, status, headers, body=b""):
    head = f"HTTP/1.1 {status}\r\n{headers}Keep-Alive: timeout=20\r\n"
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
