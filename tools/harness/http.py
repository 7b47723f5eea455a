"""Plain HTTP calls, one connection each."""

import http.client
import json
from dataclasses import dataclass, field
from typing import Any

_TIMEOUT_S = 10.0


@dataclass(frozen=True)
class HttpReply:
    """Status, lower-case headers and body of an answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    def json(self) -> Any:
        """Returns the body parsed as JSON."""
        return json.loads(self.body)


def call(
    address: str,
    method: str,
    target: str,
    body: bytes | dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = _TIMEOUT_S,
) -> HttpReply:
    """Sends one request; a dictionary is sent as JSON.

    Raises OSError or http.client.HTTPException if no whole answer arrives.
    """
    host, port = address.rsplit(":", 1)
    sent = dict(headers or {})
    if isinstance(body, dict):
        body = json.dumps(body).encode()
        sent.setdefault("Content-Type", "application/json")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, target, body=body, headers=sent)
        response = connection.getresponse()
        data = response.read()
        lowered = {name.lower(): value for name, value in response.getheaders()}
        return HttpReply(response.status, lowered, data)
    finally:
        connection.close()


def answers(address: str, target: str, timeout_s: float = 1.0) -> bool:
    """Returns whether GET answers with 200."""
    try:
        return call(address, "GET", target, timeout_s=timeout_s).status == 200
    except (OSError, http.client.HTTPException):
        return False
