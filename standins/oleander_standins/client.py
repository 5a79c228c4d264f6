"""One HTTP request at a time, each on a connection of its own."""

import dataclasses
import http.client
import json
import typing
import urllib.parse


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """A whole answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def read_json(self) -> typing.Any:
        """Return the body as JSON; raises ValueError where it is none."""
        return json.loads(self.body)


def call(
    method: str, url: str, body: bytes | None, headers: dict[str, str], timeout: float
) -> Response:
    """Return the answer; raises OSError or http.client.HTTPException where there is none."""
    parts = urllib.parse.urlsplit(url)
    path = parts.path + (f"?{parts.query}" if parts.query else "")
    connection = http.client.HTTPConnection(parts.hostname or "", parts.port, timeout=timeout)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return Response(response.status, names, response.read())
    finally:
        connection.close()
