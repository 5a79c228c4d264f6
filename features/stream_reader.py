"""A caller that reads a generation line by line while faults happen."""

import http.client
import json
import threading
import urllib.parse

import support
from oleander_standins import tokens

_TIMEOUT_SECONDS = 40.0
_PREFIX = "the same prefix keeps generations together"


class StreamReader:
    """Reads one generation on a thread of its own; keeps the lines that came whole."""

    def __init__(self, url, headers, prompt, count, is_streamed):
        self.prompt = prompt
        self.token_count = count
        self.is_streamed = is_streamed
        self.lines = []
        self._parts = urllib.parse.urlsplit(url)
        self._headers = headers
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    @property
    def text(self):
        """All text that came."""
        return "".join(line.get("text", "") for line in self.lines)

    @property
    def last_line(self):
        """The line that makes an answer whole, or nothing where it was cut."""
        return self.lines[-1] if self.lines and "label" in self.lines[-1] else None

    def await_lines(self, count):
        """Wait until so many lines have come."""
        support.wait_until(lambda: len(self.lines) >= count, f"{count} lines of {self.prompt}")

    def await_end(self):
        """Wait until the answer has ended or was cut."""
        self._thread.join(_TIMEOUT_SECONDS)
        assert not self._thread.is_alive(), f"{self.prompt} goes on: {len(self.lines)} lines"

    def check_complete(self):
        """Check that the answer is this prompt's, whole, and labelled as its lines are."""
        self.await_end()
        assert self.last_line is not None, self.lines[-2:]
        assert self.last_line.get("outcome", "done") == "done", self.last_line
        assert tokens.remove_marks(self.text) == self._expected, self.text
        if self.is_streamed:
            marked = [(part["version"], part["tokens"]) for part in self.last_line["label"]]
            assert tokens.read_marks(self.text) == marked, (self.text, marked)
        assert sum(part["tokens"] for part in self.last_line["label"]) == self.token_count, (
            self.last_line
        )
        if self.is_streamed:
            self._check_label()

    @property
    def _expected(self):
        return tokens.make_text(self.prompt, 0, self.token_count)

    def _check_label(self):
        label = []
        for line in self.lines[:-1]:
            if label and label[-1]["version"] == line["version"]:
                label[-1]["tokens"] += line["tokens"]
            else:
                label.append({"version": line["version"], "tokens": line["tokens"]})
        assert self.last_line["label"] == label, (self.last_line, label)

    def read_versions(self):
        """Return the weight versions that the label names, in order."""
        return [part["version"] for part in self.last_line["label"]]

    def _read(self):
        body = {"prompt": self.prompt, "max_tokens": self.token_count, "prefix": _PREFIX}
        body["stream"] = self.is_streamed
        connection = http.client.HTTPConnection(
            self._parts.hostname, self._parts.port, timeout=_TIMEOUT_SECONDS
        )
        try:
            connection.request("POST", self._parts.path, json.dumps(body), self._headers)
            response = connection.getresponse()
            while line := response.readline():
                self.lines.append(json.loads(line))
        except (OSError, http.client.HTTPException, ValueError):
            return
        finally:
            connection.close()
