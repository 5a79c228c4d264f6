"""Routes the HTTP requests of an entry to the caller, trainer and operator APIs."""

import collections.abc

from oleander_base import metrics
from oleander_routing import peers
from oleanderdeal import (
    access,
    caller_api,
    configuration,
    http_messages,
    http_server,
    trainer_api,
)

_ACCESS_PROBLEMS = {
    access.Access.NO_TOKEN: http_messages.Problem(
        401, "A bearer token is needed.", "not-run", "no-token"
    ),
    access.Access.FORBIDDEN: http_messages.Problem(
        403, "The token is not this customer's.", "not-run", "forbidden"
    ),
}


class EntryHandler(http_server.Handler):
    """Checks access tokens and routes requests by method and path."""

    def __init__(
        self,
        tokens: access.AccessTable,
        callers: caller_api.CallerApi,
        trainers: trainer_api.TrainerApi,
        follower: configuration.ConfigurationFollower,
        list_peers: collections.abc.Callable[[], list[peers.Peer]],
        is_ready: collections.abc.Callable[[], bool],
    ) -> None:
        self._tokens = tokens
        self._callers = callers
        self._trainers = trainers
        self._follower = follower
        self._list_peers = list_peers
        self._is_ready = is_ready

    def handle(self, request: http_messages.HttpRequest) -> http_messages.HttpAnswer:
        """Return the response to a request."""
        match (request.method, *request.path):
            case ("GET", "healthz"):
                return http_messages.answer_json({"status": "up"})
            case ("GET", "readyz"):
                return self._answer_ready()
            case ("GET", "v1", "report" | "configuration" as resource):
                return self._answer_operator(request, resource)
            case (_, "v1", "customers", customer, *rest):
                return self._answer_customer(request, customer, tuple(rest))
            case _:
                return _answer_unknown_path()

    def _answer_ready(self) -> http_messages.HttpAnswer:
        ready = self._is_ready()
        return http_messages.answer_json({"ready": ready}, 200 if ready else 503)

    def _answer_operator(
        self, request: http_messages.HttpRequest, resource: str
    ) -> http_messages.HttpAnswer:
        allowed = self._tokens.check(access.OPERATOR, request.find_header("Authorization"))
        if allowed is not access.Access.ALLOWED:
            return http_messages.answer_problem(_ACCESS_PROBLEMS[allowed])
        if resource == "report":
            return http_messages.answer_json({"counts": metrics.read_counts()})
        offset = self._follower.configuration.applied_offset
        known_peers = self._list_peers()
        usable = sum(peer.is_usable for peer in known_peers)
        return http_messages.answer_json(
            {"applied_offset": offset, "peers": len(known_peers), "usable": usable}
        )

    def _answer_customer(
        self, request: http_messages.HttpRequest, customer: str, rest: tuple[str, ...]
    ) -> http_messages.HttpAnswer:
        allowed = self._tokens.check(customer, request.find_header("Authorization"))
        if allowed is not access.Access.ALLOWED:
            return http_messages.answer_problem(_ACCESS_PROBLEMS[allowed])
        if not self._follower.is_caught_up:
            return _answer_starting(request)
        match (request.method, *rest):
            case ("POST", "operations", operation):
                return self._callers.handle(request, customer, operation)
            case ("POST", "operations", operation, "keys"):
                return self._callers.issue_key(customer, operation)
            case ("PUT", "models", model, "versions", version):
                return self._trainers.put_version(request, customer, model, version)
            case (_, "trainers", trainer, "steps", step, *end):
                return self._answer_trainer(request, customer, trainer, step, tuple(end))
            case _:
                return _answer_unknown_path()

    def _answer_trainer(
        self,
        request: http_messages.HttpRequest,
        customer: str,
        trainer: str,
        step: str,
        suffix: tuple[str, ...],
    ) -> http_messages.HttpAnswer:
        match (request.method, *suffix):
            case ("PUT",):
                return self._trainers.put_step(request, customer, trainer, step)
            case ("DELETE",):
                return self._trainers.delete_step(customer, trainer, step)
            case ("POST", "pull"):
                return self._trainers.pull(request, customer, trainer, step)
            case _:
                return _answer_unknown_path()


def _answer_starting(request: http_messages.HttpRequest) -> http_messages.HttpAnswer:
    """
    Return a 503 response that asks the client to retry.

    The outcome of a request with an idempotency key is unknown: it may have been sent, and have
    run, before.
    """
    outcome = "unknown" if request.find_header("Idempotency-Key") else "not-run"
    return http_messages.answer_problem(
        http_messages.Problem(
            503, "The configuration is still being read.", outcome, "starting", 1000
        )
    )


def _answer_unknown_path() -> http_messages.HttpAnswer:
    return http_messages.answer_problem(
        http_messages.Problem(404, "There is no such path or method.", "not-run", "no-such-path")
    )
