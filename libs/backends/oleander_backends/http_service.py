"""A plain service over HTTP."""

import expression

from oleander_backends import service
from oleander_base import clock, http_exchange


class HttpService(service.Service):
    """
    Calls on a new connection each time.

    A status that tells of a failure is an answer too: what it means is between the caller and the
    service, and it never proves that nothing was done.
    """

    def __init__(self, base_url: str) -> None:
        self._caller = http_exchange.HttpCaller(base_url)

    def call(
        self, operation: str, key: str, body: bytes, deadline: clock.Deadline
    ) -> expression.Result[service.ServiceAnswer, service.ServiceError]:
        """Call an operation once; never repeats by itself."""
        path = f"/call/{http_exchange.quote_segment(operation)}"
        request = http_exchange.Request("POST", path, body, {"Idempotency-Key": key})
        answered = self._caller.call_once(request, deadline)
        if answered.is_error():
            not_run = answered.error.reach is not http_exchange.Reach.MAY_HAVE_ARRIVED
            return expression.Error(service.ServiceError(answered.error.detail, not_run))
        return expression.Ok(service.ServiceAnswer(answered.ok.status, answered.ok.body))
