"""A client of the log service over HTTP."""

import collections.abc
import json
import typing

import expression

from oleander_base import clock, http_exchange, json_input, metrics
from oleander_platform import logservice

_MAX_RECORDS = 500
_STATUS_OK = 200
_NOT_APPENDED_STATUSES = (429, 503)
_JSON_HEADERS = {"Content-Type": "application/json"}
_PLACE = "answer"

_Received = expression.Result[json_input.ObjectReader, logservice.LogError]


class HttpLogService(logservice.LogService):
    """Appends on a new connection each time and reads on one persistent connection per thread."""

    def __init__(self, base_url: str) -> None:
        self._caller = http_exchange.HttpCaller(base_url)

    def append(
        self, stream: str, values: list[dict[str, typing.Any]], deadline: clock.Deadline
    ) -> expression.Result[int, logservice.LogError]:
        """Append records atomically; return the offset of the first."""
        body = json.dumps({"records": values}).encode()
        request = http_exchange.Request("POST", _build_path(stream), body, _JSON_HEADERS)
        received = _check_answer(self._caller.call_once(request, deadline))
        if received.is_error():
            return expression.Error(received.error)
        answer = received.ok
        first_offset = answer.take_count("first_offset")
        if answer.take_count("count") != len(values):
            answer.reject("count", "differs from the records sent")
        if not answer.is_valid:
            return expression.Error(_report_malformed(answer))
        return expression.Ok(first_offset)

    def read(
        self, stream: str, offset: int, wait_ms: int, deadline: clock.Deadline
    ) -> expression.Result[logservice.Page, logservice.LogError]:
        """
        Return records from an offset on, waiting up to `wait_ms` for the first one.

        The wait is limited to half of the remaining time, so that an empty page arrives before
        the deadline. A record that is not a JSON object, or that can't be sent on to a peer, is
        returned as an empty one with its offset, as otherwise one record written by mistake would
        block all readers of the stream.
        """
        wait_ms = min(wait_ms, deadline.remaining_ms // 2)
        query = f"?offset={offset}&limit={_MAX_RECORDS}&wait_ms={wait_ms}"
        request = http_exchange.Request("GET", _build_path(stream) + query)
        answered = self._caller.call_idempotent(request, deadline)
        received = _check_answer(answered, json_input.read_object_of_values)
        if received.is_error():
            return expression.Error(received.error)
        answer = received.ok
        page = _read_page(answer, offset)
        if not answer.is_valid:
            return expression.Error(_report_malformed(answer))
        return expression.Ok(page)


def _build_path(stream: str) -> str:
    return f"/streams/{http_exchange.quote_segment(stream)}/records"


def _check_answer(
    answered: expression.Result[http_exchange.Response, http_exchange.ExchangeError],
    read_body: collections.abc.Callable[
        [str, bytes], json_input.ObjectReader
    ] = json_input.read_object,
) -> _Received:
    """
    Return a reader of the answer's body if the call succeeded.

    Only a refused connection and the statuses 429 and 503 prove that nothing was appended. After
    any other failure the records may be in the log, or appear in it later.
    """
    if answered.is_error():
        refused = answered.error.reach is http_exchange.Reach.REFUSED
        return expression.Error(_count_failure(answered.error.detail, not refused, 0))
    answer = answered.ok
    if answer.status != _STATUS_OK:
        may_have_effect = answer.status not in _NOT_APPENDED_STATUSES
        detail = f"the log answered with status {answer.status}"
        return expression.Error(_count_failure(detail, may_have_effect, answer.retry_after_ms))
    return expression.Ok(read_body(_PLACE, answer.body))


def _count_failure(detail: str, may_have_effect: bool, retry_after_ms: int) -> logservice.LogError:
    metrics.count(metrics.LOG_FAILED_CALLS)
    return logservice.LogError(detail, may_have_effect, retry_after_ms)


def _report_malformed(answer: json_input.ObjectReader) -> logservice.LogError:
    return _count_failure(f"malformed answer: {answer.found}", True, 0)


def _read_page(answer: json_input.ObjectReader, offset: int) -> logservice.Page:
    first_offset = answer.take_count("first_offset")
    next_offset = answer.take_count("next_offset")
    records = tuple(_read_record(item) for item in answer.take_objects("records"))
    expected = max(offset, first_offset)
    if any(record.offset != expected + index for index, record in enumerate(records)):
        answer.reject("records", "are not consecutive from the offset asked for")
    if records and records[-1].offset >= next_offset:
        answer.reject("next_offset", "is not past the last record")
    return logservice.Page(records, first_offset, next_offset)


def _read_record(item: json_input.ObjectReader) -> logservice.Record:
    offset = item.take_count("offset")
    logged_at_ms = item.take_count("logged_at_ms")
    value = item.take_object_or_empty("value")
    is_sound = json_input.can_be_sent_on(value)
    return logservice.Record(offset, logged_at_ms, value if is_sound else {})
