"""A minimal HTTP client that opens a new connection for each request."""

import dataclasses
import http.client
import json
import typing
import urllib.parse

from oleander_base import whole_response


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def read_json(self) -> typing.Any:
        """Decode the body as JSON; raise ValueError if it is not valid JSON."""
        return json.loads(self.body)


class _Connection(http.client.HTTPConnection):
    """A connection whose responses raise an error if they end early."""

    response_class = whole_response.WholeResponse


def call(
    method: str, url: str, body: bytes | None, headers: dict[str, str], timeout: float
) -> Response:
    """
    Send a request and return the whole response.

    Raises OSError or http.client.HTTPException if no complete response arrives. The timeout, in
    seconds, applies to each socket operation.
    """
    parts = urllib.parse.urlsplit(url)
    path = parts.path + (f"?{parts.query}" if parts.query else "")
    connection = _Connection(parts.hostname or "", parts.port, timeout=timeout)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return Response(response.status, names, response.read())
    finally:
        connection.close()
