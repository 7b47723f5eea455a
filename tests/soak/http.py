"""Minimal HTTP/1.1 over asyncio streams for the stand-ins and callers."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or an answer."""

    start_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.start_line.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads up to the blank line; returns None if the peer closed before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        name, _, value = line.partition(": ")
        if name:
            message.headers[name.lower()] = value
    return message


async def read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Returns the body and whether it is complete."""
    body = b""
    while True:
        try:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return body, False
        if size == 0:
            return body, True
        body += data[:-2]


async def read_message(reader: asyncio.StreamReader) -> tuple[Message | None, bool]:
    """Returns a message and whether it is complete."""
    message = await read_head(reader)
    if message is None:
        return None, False
    if message.headers.get("transfer-encoding") == "chunked":
        message.body, whole = await read_chunks(reader)
        return message, whole
    try:
        message.body = await reader.readexactly(int(message.headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return message, False
    return message, True


def answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Returns an answer with its Content-Length; argument `a_b` sets the header A-B."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
