"""A caller's stream, which the caller takes up again after it broke off."""

import asyncio

from tests.soak.callers import HOST
from tests.soak.http import read_head
from tests.soak.servers import TOKENS_PER_EVENT

PROMPT = 100
_TIMEOUT_S = 5.0


class ResumableStream:
    """One stream over all tries of its caller."""

    def __init__(self, name: str, events: int) -> None:
        self.numbers: list[int] = []  # of the events received
        self.versions: list[str] = []  # of the software that made each of them
        self.statuses: list[int] = []  # of each try; 0: no answer
        self._name = name
        self._wanted = events
        self._resumes = ""  # id of the try that brought the first event

    @property
    def complete(self) -> bool:
        return self.numbers == list(range(1, self._wanted + 1))

    @property
    def mixed(self) -> bool:
        return len(set(self.versions)) > 1

    def went_on(self, before: int) -> bool:
        """Returns whether the stream got events beyond the first `before`."""
        return len(self.numbers) > before

    async def attempt(self, port: int) -> None:
        """Starts the stream, or takes it up after its last event, and reads it until it
        ends."""
        self.statuses.append(0)
        request_id = f"rx-{self._name}-{len(self.statuses)}"
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", port), _TIMEOUT_S)
            writer.write(self._request(request_id).encode())
            await asyncio.wait_for(self._read(reader, request_id), _TIMEOUT_S)
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass

    def _request(self, request_id: str) -> str:
        text = (f"POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
                "Deadline-Ms: 5000\r\nAuthorization: Token office-key\r\nModel: m\r\n"
                f"Token-Usage: {PROMPT},{self._wanted * TOKENS_PER_EVENT}\r\n"
                f"Prefix-Hash: a:50,{self._name}:50\r\nContent-Length: 0\r\n")
        if self.numbers:
            text += f"Last-Event-Id: {self.numbers[-1]}\r\nResumes: {self._resumes}\r\n"
        return text + "\r\n"

    async def _read(self, reader: asyncio.StreamReader, request_id: str) -> None:
        head = await read_head(reader)
        if head is None:
            return
        self.statuses[-1] = head.status
        while head.status == 200 and not self.complete:
            line = await reader.readline()
            if not line:
                return
            if line.startswith(b"id: "):
                self.numbers.append(int(line[4:]))
                self._resumes = self._resumes or request_id
            elif line.startswith(b"version: "):
                self.versions.append(line[9:].decode().strip())
