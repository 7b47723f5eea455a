"""Responses of upstreams that do not end."""

import asyncio
import contextlib
from dataclasses import dataclass

_PIECE = 16_384
_TRICKLE_S = 0.05


@dataclass(frozen=True)
class Unending:
    """A response that starts with `start`, where `{signed}` stands for the headers of a
    genuine answer, and goes on with `part` again and again: at full speed, or slowly from a
    number of bytes on."""

    start: str
    part: bytes
    fast_bytes: int | None = None

    async def send(self, writer: asyncio.StreamWriter, signed: dict[str, str]) -> None:
        """Sends until the connection is closed."""
        fields = "".join(f"{name.replace('_', '-')}: {value}\r\n"
                         for name, value in signed.items())
        many = self.part * max(_PIECE // len(self.part), 1)
        sent = 0
        with contextlib.suppress(ConnectionError):
            writer.write(self.start.replace("{signed}", fields).encode())
            while not writer.transport.is_closing():
                slow = self.fast_bytes is not None and sent + len(many) > self.fast_bytes
                if slow:
                    await asyncio.sleep(_TRICKLE_S)
                writer.write(self.part if slow else many)
                sent += len(self.part if slow else many)
                await writer.drain()
                await asyncio.sleep(0)
