"""A simple client: one request at a time, no retries."""

import http.client
import json
import re
from dataclasses import dataclass, field
from typing import Any, Protocol

from .http import HttpReply, call

_TIMEOUT_S = 30.0


class Failure(Exception):
    """No whole answer arrived: the connection broke or timed out."""


class HasAddress(Protocol):
    """Something that callers can connect to."""

    @property
    def address(self) -> str: ...


@dataclass(frozen=True)
class Answer:
    """The answer to one request."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    text: str = ""
    whole: bool = False
    usage: dict[str, int] | None = None

    @property
    def run_state(self) -> str:
        """The run state of a refusal; empty for an answer."""
        return self.headers.get("x-coppervalve-run-state", "")

    @property
    def error_id(self) -> str:
        """The error id, such as "CV-403"; empty if the answer has none."""
        for document in self._documents():
            error = document.get("error")
            if isinstance(error, dict):
                return str(error.get("id", ""))
        return ""

    def json(self) -> Any:
        """Returns the body parsed as JSON."""
        return json.loads(self.body)

    def _documents(self) -> list[dict[str, Any]]:
        if self.headers.get("content-type", "").startswith("text/event-stream"):
            return _events(self.body)[0]
        try:
            document = json.loads(self.body)
        except ValueError:
            return []
        return [document] if isinstance(document, dict) else []


class Caller:
    """A client of one client account."""

    def __init__(self, api_key: str, timeout_s: float = _TIMEOUT_S) -> None:
        self.api_key = api_key
        self.timeout_s = timeout_s

    def chat(
        self,
        router: HasAddress,
        model: str,
        prompt: str,
        max_tokens: int = 16,
        stream: bool = False,
        key: str = "",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Sends one chat completion; the text is checked token by token."""
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        if stream:
            body["stream_options"] = {"include_usage": True}
        reply = self._send(
            router, "POST", "/v1/chat/completions", body, key, headers or {}
        )
        return _stream_answer(reply) if _is_stream(reply) else _whole_answer(reply)

    def service(
        self,
        router: HasAddress,
        service: str,
        path: str,
        method: str = "POST",
        body: dict[str, Any] | None = None,
        key: str = "",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Calls a plain service."""
        target = f"/v1/services/{service}{path}"
        reply = self._send(router, method, target, body, key, headers or {})
        whole = reply.status == 200
        return Answer(reply.status, reply.headers, reply.body, whole=whole)

    def addresses(self, router: HasAddress) -> dict[str, Any]:
        """Returns the fleet's advertised addresses."""
        return self._send(router, "GET", "/v1/addresses", None, "", {}).json()

    def request_status(self, router: HasAddress, key: str) -> Answer:
        """Returns the status of a request with an idempotency key."""
        reply = self._send(router, "GET", f"/v1/requests/{key}", None, "", {})
        return Answer(reply.status, reply.headers, reply.body)

    def _send(
        self,
        router: HasAddress,
        method: str,
        target: str,
        body: dict[str, Any] | None,
        key: str,
        headers: dict[str, str],
    ) -> HttpReply:
        sent = {"Authorization": f"Bearer {self.api_key}", **headers}
        if key:
            sent["Idempotency-Key"] = key
        try:
            return call(router.address, method, target, body, sent, self.timeout_s)
        except (OSError, http.client.HTTPException) as error:
            raise Failure(f"{method} {target} at {router.address}: {error!r}") from error


def is_whole_text(text: str) -> bool:
    """Returns whether a text holds all tokens of one stand-in answer, in order."""
    tokens = text.split(" ")
    if len(tokens) < 2 or tokens[-1] != "":
        return False
    first = re.fullmatch(r"(.+):0(\.end)?", tokens[0])
    if first is None:
        return False
    last = len(tokens) - 2
    expected = [
        f"{first.group(1)}:{index}{'.end' if index == last else ''}"
        for index in range(last + 1)
    ]
    return tokens[:-1] == expected


def _is_stream(reply: HttpReply) -> bool:
    return reply.headers.get("content-type", "").startswith("text/event-stream")


def _events(body: bytes) -> tuple[list[dict[str, Any]], bool]:
    """Returns the documents of a stream, and whether it has its closing event."""
    documents = []
    closed = False
    for line in body.decode().splitlines():
        if not line.startswith("data: "):
            continue
        data = line[len("data: ") :]
        if data == "[DONE]":
            closed = True
            continue
        documents.append(json.loads(data))
    return documents, closed


def _stream_answer(reply: HttpReply) -> Answer:
    documents, closed = _events(reply.body)
    text = ""
    usage = None
    for document in documents:
        usage = document.get("usage") or usage
        for choice in document.get("choices", []):
            text += choice.get("delta", {}).get("content", "")
    whole = closed and is_whole_text(text)
    return Answer(reply.status, reply.headers, reply.body, text, whole, usage)


def _whole_answer(reply: HttpReply) -> Answer:
    if reply.status != 200:
        return Answer(reply.status, reply.headers, reply.body)
    document = reply.json()
    text = document["choices"][0]["message"]["content"]
    return Answer(
        reply.status,
        reply.headers,
        reply.body,
        text,
        is_whole_text(text),
        document.get("usage"),
    )
