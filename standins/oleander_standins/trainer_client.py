"""The trainer's HTTP client, which retries a failed request through the next entry."""

import base64
import collections.abc
import contextlib
import dataclasses
import hashlib
import http.client
import json
import time
import typing

from oleander_standins import client

_MIN_PAUSE_SECONDS = 0.05
_MAX_PAUSE_SECONDS = 2.0
_STATUS_OK = 200
_STATUS_UNKNOWN_STEP = 404
_STATUS_CONFLICT = 409


class SupersededError(Exception):
    """A later run of the same trainer has superseded this one."""


class RefusedError(Exception):
    """A request was refused with an answer that a retry can't change."""


class LateError(Exception):
    """The deadline of a step passed before its requests succeeded."""


@dataclasses.dataclass(slots=True, frozen=True)
class Names:
    """The names and the token that a trainer's requests carry."""

    customer: str
    trainer: str
    model: str
    token: str


@dataclasses.dataclass(slots=True, frozen=True)
class Pulled:
    """Result of a pull: an intact answer, or None and whether to register the step again."""

    answer: dict[str, typing.Any] | None = None
    put_again: bool = False


class TrainerClient:
    """Publishes versions and registers steps through the entries, and pulls from a collector."""

    def __init__(
        self,
        entries: collections.abc.Sequence[str],
        names: Names,
        call_seconds: float,
        pulls_where_put: bool = False,
    ) -> None:
        """
        Use the entries in turn; `call_seconds` is the timeout of a request.

        With `pulls_where_put`, pulls go to the URL of the entry that registered the step and not
        to the collector that it names, so that they pass a relay in front of the entry.
        """
        self.lost_answers = 0
        self.unknown_steps = 0
        self._entries = entries
        self._names = names
        self._call_seconds = call_seconds
        self._pulls_where_put = pulls_where_put
        self._turn = 0

    @property
    def entry(self) -> int:
        """The index of the entry in use."""
        return self._turn % len(self._entries)

    def put_version(self, version: int, uri: str, give_up_at: float) -> None:
        """Publish a version of the model with the URI of its weights."""
        path = f"/v1/customers/{self._names.customer}/models/{self._names.model}"
        self._put(f"{path}/versions/{version}", {"uri": uri}, give_up_at)

    def put_step(self, step: int, body: dict[str, typing.Any], give_up_at: float) -> str:
        """Register a step; return the URL to pull from."""
        answer = self._put(self._format_step_path(step), body, give_up_at)
        if self._pulls_where_put:
            return self._entries[self.entry]
        return str(answer.get("collector"))

    def store_weights(self, url: str, body: bytes, give_up_at: float) -> None:
        """Write weights to the weight store, with retries until the deadline."""
        while time.monotonic() < give_up_at:
            with contextlib.suppress(OSError, http.client.HTTPException):
                if client.call("PUT", url, body, {}, self._call_seconds).status == _STATUS_OK:
                    return
            time.sleep(_MIN_PAUSE_SECONDS)
        raise LateError(url)

    def pull(self, collector: str, step: int, body: dict[str, typing.Any]) -> Pulled:
        """Pull samples of a step once; a truncated or damaged answer is counted as lost."""
        url = f"{collector}{self._format_step_path(step)}/pull"
        try:
            response = self._call("POST", url, body, body["wait_ms"] / 1000 + self._call_seconds)
        except http.client.IncompleteRead:
            self.lost_answers += 1
            return Pulled()
        except (OSError, http.client.HTTPException):
            self._switch_entry()
            return Pulled(put_again=True)
        if response.status == _STATUS_OK:
            return self._read_answer(response)
        if response.status == _STATUS_UNKNOWN_STEP:
            self.unknown_steps += 1
            return Pulled(put_again=True)
        self._raise_or_wait(response)
        return Pulled()

    def _read_answer(self, response: client.Response) -> Pulled:
        digest = base64.b64encode(hashlib.sha256(response.body).digest()).decode()
        if response.headers.get("content-digest") != f"sha-256=:{digest}:":
            self.lost_answers += 1
            return Pulled()
        return Pulled(_read_success(response))

    def _put(
        self, path: str, body: dict[str, typing.Any], give_up_at: float
    ) -> dict[str, typing.Any]:
        while time.monotonic() < give_up_at:
            entry = self._entries[self.entry]
            try:
                response = self._call("PUT", entry + path, body, self._call_seconds)
            except (OSError, http.client.HTTPException):
                self._switch_entry()
                continue
            if response.status == _STATUS_OK:
                return _read_success(response)
            self._raise_or_wait(response)
            self._turn += 1
        raise LateError(path)

    def _switch_entry(self) -> None:
        self.lost_answers += 1
        self._turn += 1
        time.sleep(_MIN_PAUSE_SECONDS)

    def _call(
        self, method: str, url: str, body: dict[str, typing.Any], timeout: float
    ) -> client.Response:
        headers = {
            "Authorization": f"Bearer {self._names.token}",
            "Content-Type": "application/json",
        }
        return client.call(method, url, json.dumps(body).encode(), headers, timeout)

    def _raise_or_wait(self, response: client.Response) -> None:
        """Wait for the retry delay of a refusal, or raise if a retry can't succeed."""
        problem = _read_object(response)
        if response.status == _STATUS_CONFLICT and problem.get("reason") == "superseded":
            raise SupersededError
        if response.status < 500 and response.status != 429:
            raise RefusedError(f"status {response.status}: {problem}")
        pause = problem.get("retry_after_ms")
        seconds = pause / 1000 if isinstance(pause, int) else _MIN_PAUSE_SECONDS
        time.sleep(min(max(seconds, _MIN_PAUSE_SECONDS), _MAX_PAUSE_SECONDS))

    def _format_step_path(self, step: int) -> str:
        names = self._names
        return f"/v1/customers/{names.customer}/trainers/{names.trainer}/steps/{step}"


def _read_success(response: client.Response) -> dict[str, typing.Any]:
    content = _read_object(response)
    if not content:
        raise RefusedError("the answer is not a JSON object, or an empty one")
    return content


def _read_object(response: client.Response) -> dict[str, typing.Any]:
    try:
        content = response.read_json()
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}
