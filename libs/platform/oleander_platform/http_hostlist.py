"""The platform's host list over HTTP."""

import expression

from oleander_base import clock, http_exchange, json_input, network_address
from oleander_platform import hostlist

_STATUS_OK = 200
_STATES = {state.value: state for state in hostlist.HostState}


class HttpHostList(hostlist.HostList):
    """Reads the list on one connection per thread; one invalid entry makes it an error."""

    def __init__(self, base_url: str) -> None:
        self._caller = http_exchange.HttpCaller(base_url)

    def read(
        self, deadline: clock.Deadline
    ) -> expression.Result[tuple[hostlist.Host, ...], hostlist.HostListError]:
        """Return all live and leaving hosts."""
        request = http_exchange.Request("GET", "/hosts")
        answered = self._caller.call_idempotent(request, deadline)
        if answered.is_error():
            return expression.Error(hostlist.HostListError(answered.error.detail))
        answer = answered.ok
        if answer.status != _STATUS_OK:
            detail = f"the host list answered with status {answer.status}"
            return expression.Error(hostlist.HostListError(detail))
        content = json_input.read_object("answer", answer.body)
        hosts = tuple(_read_host(item) for item in content.take_objects("hosts"))
        if not content.is_valid:
            return expression.Error(hostlist.HostListError(f"malformed answer: {content.found}"))
        return expression.Ok(hosts)


def _read_host(item: json_input.ObjectReader) -> hostlist.Host:
    name = item.take_text("name")
    address = item.take_text("address")
    failure_domain = item.take_text("failure_domain")
    state = _STATES.get(item.take_text("state"))
    if state is None:
        item.reject("state", "is neither live nor leaving")
    if not network_address.is_address(address):
        item.reject("address", "is no IP:port")
    backend = item.take_optional_text("backend")
    return hostlist.Host(
        name, address, failure_domain, state or hostlist.HostState.LEAVING, backend
    )
