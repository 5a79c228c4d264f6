"""HTTP client of a model engine."""

import collections.abc
import json
import threading
import typing

import expression

from oleander_backends import engine
from oleander_base import clock, http_exchange, json_input

STALE_FENCING = "stale-fencing"
"""Error detail when an engine refuses an order because it has seen a newer one."""

_CANCEL_TIMEOUT_SECONDS = 2.0
_JSON_HEADERS = {"Content-Type": "application/json"}
_STATUS_OK = 200
_STATUS_CONFLICT = 409
_STATUS_UNAVAILABLE = 503


class HttpGenerationStream(engine.GenerationStream):
    """
    Reads a generation, which is sent as one JSON object per line.

    When the deadline passes, iteration ends with an error. The engine continues to generate
    unless `cancel` is called.
    """

    def __init__(
        self,
        caller: http_exchange.HttpCaller,
        request_id: str,
        answer: http_exchange.ResponseStream,
    ) -> None:
        self._caller = caller
        self._request_id = request_id
        self._answer = answer
        self._cancelled = threading.Event()

    def __iter__(
        self,
    ) -> collections.abc.Iterator[expression.Result[engine.Chunk, engine.EngineError]]:
        """Yield chunks up to the last one or an error, then close the connection."""
        try:
            while True:
                read = self._read_chunk()
                yield read
                if read.is_error() or read.ok.is_last:
                    return
        finally:
            self._answer.close()

    def cancel(self) -> None:
        """
        Stop the generation at the engine; thread-safe.

        A blocked reader gets an error at once. The cancel request is sent to the engine
        afterwards, which blocks the caller of this method for at most two seconds.
        """
        if self._cancelled.is_set():
            return
        self._cancelled.set()
        self._answer.abort()
        request = _create_post("/v1/cancel", {"request_id": self._request_id})
        self._caller.call_once(request, clock.start_deadline(_CANCEL_TIMEOUT_SECONDS))

    def _read_chunk(self) -> expression.Result[engine.Chunk, engine.EngineError]:
        read = self._answer.read_line()
        if self._cancelled.is_set():
            return _fail("the generation was cancelled")
        if read.is_error():
            return _fail(read.error.detail)
        if not read.ok:
            return _fail("the stream ended without its last line")
        return _decode_chunk(read.ok)


class HttpEngine(engine.Engine):
    """
    Client of one engine.

    Generations and load orders use a new connection each; reads reuse a kept connection.
    """

    def __init__(self, base_url: str) -> None:
        self._caller = http_exchange.HttpCaller(base_url)

    def generate(
        self, generation: engine.Generation, deadline: clock.Deadline
    ) -> expression.Result[engine.GenerationStream, engine.EngineError]:
        """Start a generation; the deadline applies to its whole stream."""
        request = _create_post("/v1/generate", _encode_generation(generation))
        opened = self._caller.open_stream(request, deadline)
        if opened.is_error():
            return expression.Error(_convert_error(opened.error))
        answer = opened.ok
        if answer.status == _STATUS_OK:
            return expression.Ok(HttpGenerationStream(self._caller, generation.request_id, answer))
        failure = _convert_status(answer.status, answer.retry_after_ms)
        answer.close()
        return expression.Error(failure)

    def read_load(
        self, deadline: clock.Deadline
    ) -> expression.Result[engine.EngineLoad, engine.EngineError]:
        """Return the engine's load report, which may be out of date."""
        request = http_exchange.Request("GET", "/v1/load")
        received = _parse_answer(self._caller.call_idempotent(request, deadline))
        if received.is_error():
            return expression.Error(received.error)
        answer = received.ok
        load = engine.EngineLoad(
            answer.take_count("running"), answer.take_count("waiting"), answer.take_count("slots")
        )
        if not answer.is_valid:
            return _fail(f"malformed answer: {answer.found}")
        return expression.Ok(load)

    def read_version(
        self, deadline: clock.Deadline
    ) -> expression.Result[engine.EngineVersion, engine.EngineError]:
        """Return the weight version that the engine has loaded now."""
        request = http_exchange.Request("GET", "/v1/version")
        return _read_version(self._caller.call_idempotent(request, deadline))

    def load_version(
        self, order: engine.LoadOrder, deadline: clock.Deadline
    ) -> expression.Result[engine.EngineVersion, engine.EngineError]:
        """
        Order the engine to load a weight version; block until it is loaded.

        The error's detail is `STALE_FENCING` if the engine has already seen a newer order.
        """
        content = {"model": order.model, "version": order.version, "fencing": order.fencing}
        request = _create_post("/v1/load", content)
        return _read_version(self._caller.call_once(request, deadline))


_ContentResult = expression.Result[json_input.ObjectReader, engine.EngineError]
_AnswerResult = expression.Result[http_exchange.Response, http_exchange.ExchangeError]


def _create_post(path: str, content: dict[str, typing.Any]) -> http_exchange.Request:
    return http_exchange.Request("POST", path, json.dumps(content).encode(), _JSON_HEADERS)


def _encode_generation(generation: engine.Generation) -> dict[str, typing.Any]:
    return {
        "request_id": generation.request_id,
        "prompt": generation.prompt,
        "prefix": generation.prefix,
        "max_tokens": generation.max_tokens,
        "priority": generation.priority,
        "resumed_text": generation.resumed_text,
        "resumed_tokens": generation.resumed_tokens,
    }


def _fail(detail: str) -> expression.Result[typing.Any, engine.EngineError]:
    return expression.Error(engine.EngineError(detail, not_run=False, retry_after_ms=0))


def _convert_error(error: http_exchange.ExchangeError) -> engine.EngineError:
    not_run = error.reach is not http_exchange.Reach.MAY_HAVE_ARRIVED
    return engine.EngineError(error.detail, not_run, 0)


def _convert_status(status: int, retry_after_ms: int) -> engine.EngineError:
    not_run = status == _STATUS_UNAVAILABLE
    return engine.EngineError(f"the engine answered with status {status}", not_run, retry_after_ms)


def _parse_answer(answered: _AnswerResult) -> _ContentResult:
    if answered.is_error():
        return expression.Error(_convert_error(answered.error))
    answer = answered.ok
    content = json_input.read_object("answer", answer.body)
    if answer.status == _STATUS_OK:
        return expression.Ok(content)
    if answer.status == _STATUS_CONFLICT and content.take_text("reason") == STALE_FENCING:
        return expression.Error(engine.EngineError(STALE_FENCING, not_run=True, retry_after_ms=0))
    return expression.Error(_convert_status(answer.status, answer.retry_after_ms))


def _read_version(
    answered: _AnswerResult,
) -> expression.Result[engine.EngineVersion, engine.EngineError]:
    received = _parse_answer(answered)
    if received.is_error():
        return expression.Error(received.error)
    answer = received.ok
    version = engine.EngineVersion(
        answer.take_optional_count("version"), answer.take_flag("loading")
    )
    if not answer.is_valid:
        return _fail(f"malformed answer: {answer.found}")
    return expression.Ok(version)


def _decode_chunk(line: bytes) -> expression.Result[engine.Chunk, engine.EngineError]:
    content = json_input.read_object("line", line)
    chunk = engine.Chunk(
        content.take_text("text"),
        content.take_count("tokens"),
        content.take_optional_count("version"),
        content.take_flag("last"),
    )
    if not content.is_valid:
        return _fail(f"malformed stream: {content.found}")
    return expression.Ok(chunk)
