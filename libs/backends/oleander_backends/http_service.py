"""HTTP client of a plain service."""

import expression

from oleander_backends import service
from oleander_base import clock, http_exchange


class HttpService(service.Service):
    """
    Client of one service; each call uses a new connection.

    Error statuses are returned as answers. Their meaning is up to the caller and the service, and
    none of them proves that the call had no effect.
    """

    def __init__(self, base_url: str) -> None:
        self._caller = http_exchange.HttpCaller(base_url)

    def call(
        self, operation: str, key: str, body: bytes, deadline: clock.Deadline
    ) -> expression.Result[service.ServiceAnswer, service.ServiceError]:
        """Call an operation once; the call is never retried here."""
        path = f"/call/{http_exchange.quote_segment(operation)}"
        request = http_exchange.Request("POST", path, body, {"Idempotency-Key": key})
        answered = self._caller.call_once(request, deadline)
        if answered.is_error():
            not_run = answered.error.reach is not http_exchange.Reach.MAY_HAVE_ARRIVED
            return expression.Error(service.ServiceError(answered.error.detail, not_run))
        return expression.Ok(service.ServiceAnswer(answered.ok.status, answered.ok.body))
