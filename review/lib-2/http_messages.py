"""The little HTTP/1.1 that the stand-ins need."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    start_line: str
    headers: dict = field(default_factory=dict)  # names in lowercase
    body: bytes = b""
    complete: bool = True

    @property
    def status(self):
        return int(self.start_line.split()[1])


async def read_head(reader):
    """Returns None if the peer closed before the end of the head."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            message.headers[name.lower()] = value.strip()
    return message


async def read_body(reader, message):
    """Reads a body with a length or in chunks; `complete` says whether its end came."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return
                message.body += data[:-2]
        message.body = await reader.readexactly(int(message.headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        if isinstance(error, asyncio.IncompleteReadError) and not message.body:
            message.body = error.partial
        message.complete = False


async def read_message(reader):
    message = await read_head(reader)
    if message is None:
        return None
    await read_body(reader, message)
    return message if message.complete else None


def answer(status, body=b"", **headers):
    """An answer with its length; the argument a_b sets the header A-B."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
