"""A fake entry that serves the steps of one trainer and can inject one fault."""

import base64
import hashlib
import json
import threading

from oleander_standins import server, tokens

_VERSION = 5
_MAX_SAMPLES_PER_PULL = 5
_POLL_SECONDS = 0.02


class FakeEntry(server.StandIn):
    """Answers a trainer from memory; the fault named by `fault` is injected once."""

    def __init__(self, fault):
        super().__init__(server.Settings())
        self.fault = fault
        self.puts = 0
        self._step = None
        self._httpd = server.create_server(self, 0)
        self._thread = threading.Thread(
            target=self._httpd.serve_forever, args=(_POLL_SECONDS,), daemon=True
        )
        self._thread.start()

    @property
    def url(self):
        return f"http://127.0.0.1:{self._httpd.server_port}"

    def stop(self):
        self._httpd.shutdown()
        self._thread.join()
        self._httpd.server_close()

    def count(self, query):
        return {}

    def answer(self, exchange):
        match exchange.route:
            case ("PUT", _, _, _, _, _, "steps", number):
                self._answer_step(exchange, int(number))
            case ("POST", _, _, _, _, _, "steps", _, "pull"):
                self._answer_pull(exchange)
            case _:
                exchange.send_json(200, {"version": _VERSION, "offset": 1})

    def _answer_step(self, exchange, number):
        self.puts += 1
        if self._take_fault("refused"):
            exchange.send_json(503, {"retry_after_ms": 10})
        elif self._take_fault("superseded"):
            exchange.send_json(409, {"reason": "superseded"})
        else:
            self._step = {"step": number} | exchange.read_object()
            exchange.send_json(200, {"step": number, "collector": self.url, "samples": 0})

    def _answer_pull(self, exchange):
        if self._take_fault("unknown step"):
            exchange.send_json(404, {"reason": "step-unknown"})
        elif self._take_fault("dropped"):
            exchange.drop()
        else:
            body = json.dumps(self._create_answer(exchange.read_object())).encode()
            digest = base64.b64encode(hashlib.sha256(body).digest()).decode()
            if self._take_fault("wrong digest"):
                digest = "AAAA"
            headers = {"Content-Digest": f"sha-256=:{digest}:"}
            exchange.send_bytes(200, body, headers)

    def _create_answer(self, pull):
        held = _read_held(pull["held"])
        left = [item for item in self._create_samples() if item["number"] not in held]
        sent = left[:_MAX_SAMPLES_PER_PULL]
        complete = len(sent) == len(left)
        if held and self._take_fault("twice"):
            sent.append(next(item for item in self._create_samples() if item["number"] in held))
        if self._take_fault("early complete"):
            complete = True
        if self._take_fault("malformed"):
            sent = [7]
        if sent and self.fault in _SAMPLE_FAULTS and self._take_fault(self.fault):
            sent[0] |= _SAMPLE_FAULTS[self._taken_fault]
        return {
            "step": self._step["step"],
            "version": pull["version"],
            "complete": complete,
            "samples": sent,
        }

    def _create_samples(self):
        groups = [
            (index, group)
            for index, group in enumerate(self._step["groups"])
            for _ in range(group["samples"])
        ]
        for number, (index, group) in enumerate(groups):
            length = tokens.read_length(group["prompt"], group["max_tokens"])
            text = tokens.make_text(group["prompt"], 0, length)
            label = [{"version": _VERSION - 1, "tokens": 1}]
            label.append({"version": _VERSION, "tokens": length - 1})
            yield {"number": number, "group": index, "text": text, "label": label}

    def _take_fault(self, fault):
        if self.fault != fault:
            return False
        self._taken_fault = self.fault
        self.fault = ""
        return True


_SAMPLE_FAULTS = {
    "stale": {"label": [{"version": _VERSION - 2, "tokens": 8}]},
    "version to come": {"label": [{"version": _VERSION + 1, "tokens": 8}]},
    "no tokens": {"label": [{"version": _VERSION, "tokens": 8}, {"version": 4, "tokens": 0}]},
    "no version": {"label": [{"version": None, "tokens": 8}]},
    "no label": {"label": []},
    "short label": {"label": [{"version": _VERSION, "tokens": 7}]},
    "another text": {"text": "x"},
    "another group": {"group": 99},
    "another number": {"number": 99},
}


def _read_held(text):
    held = set()
    for item in filter(None, text.split(",")):
        first, _, last = item.partition("-")
        held.update(range(int(first), int(last or first) + 1))
    return held
