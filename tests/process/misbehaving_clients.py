"""Clients that keep to no limit, and what a process holds while it serves them."""

import os
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

HOST = "127.0.0.1"
# A crowd is finished when none of its connections takes bytes for this long.
_QUIET_S = 3.0
_PIECE = 65_536
_LISTENING = "0A"  # state in /proc/net/tcp


@dataclass
class _Client:
    connection: socket.socket
    parts: Iterator[bytes]
    unsent: memoryview = field(default_factory=lambda: memoryview(b""))
    done: bool = False
    closed: bool = False


class ProcessState:
    """Memory and descriptors of a running process."""

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self.most_connections = 0

    def peak_memory(self) -> int:
        """Returns the most bytes that were resident since the process started."""
        with open(f"/proc/{self._pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * 1024
        raise ProcessLookupError(f"process {self._pid} has ended")

    def cpu_ticks(self) -> int:
        """Returns the processor time that the process has used, in clock ticks."""
        with open(f"/proc/{self._pid}/stat", encoding="ascii") as file:
            fields = file.read().rpartition(")")[2].split()
        user, system = 11, 12
        return int(fields[user]) + int(fields[system])

    def sample_connections(self) -> None:
        """Counts the open sockets and pipes."""
        folder = f"/proc/{self._pid}/fd"
        count = 0
        try:
            names = os.listdir(folder)
        except FileNotFoundError as error:
            raise ProcessLookupError(f"process {self._pid} has ended") from error
        for name in names:
            try:
                target = os.readlink(f"{folder}/{name}")
            except FileNotFoundError:
                continue
            count += target.startswith(("socket:", "pipe:"))
        self.most_connections = max(self.most_connections, count)


class Crowd:
    """Connections that send in step with each other, read nothing and stay open."""

    def __init__(self, process: ProcessState) -> None:
        self._process = process
        self._clients: list[_Client] = []
        self._ports: set[int] = set()

    def add(self, port: int, parts: Iterator[bytes], receive_buffer: int = 0) -> None:
        """Adds a client that sends these parts. A small buffer for what it receives leaves
        more of it to the process."""
        connection = socket.socket()
        if receive_buffer:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.settimeout(30)
        connection.connect((HOST, port))
        connection.setblocking(False)
        self._clients.append(_Client(connection, parts))
        self._ports.add(port)
        self._process.sample_connections()

    def send(self) -> None:
        """Sends until all clients have sent their parts, were closed or are held up, and
        the process has read what it reads."""
        unread = 0
        last_progress = time.monotonic()
        while time.monotonic() - last_progress < _QUIET_S:
            waiting = [c for c in self._clients if not c.done and not c.closed]
            sent = sum(self._send_some(client) for client in waiting)
            self._process.sample_connections()
            before, unread = unread, unread_bytes(self._ports)
            if not waiting and unread == 0:
                return
            if sent or unread != before:
                last_progress = time.monotonic()
            if not sent:
                time.sleep(0.02)

    def close(self) -> None:
        """Closes all connections."""
        for client in self._clients:
            client.connection.close()

    @staticmethod
    def _send_some(client: _Client) -> int:
        if not client.unsent:
            part = next(client.parts, None)
            if part is None:
                client.done = True
                return 0
            client.unsent = memoryview(part)
        try:
            count = client.connection.send(client.unsent[:_PIECE])
        except BlockingIOError:
            return 0
        except OSError:
            client.closed = True
            return 0
        client.unsent = client.unsent[count:]
        return count


def unread_bytes(ports: set[int]) -> int:
    """Returns what waits in the kernel for the processes that listen on these ports."""
    count = 0
    with open("/proc/net/tcp", encoding="ascii") as file:
        next(file)
        for line in file:
            fields = line.split()
            if int(fields[1].split(":")[1], 16) in ports and fields[3] != _LISTENING:
                count += int(fields[4].split(":")[1], 16)
    return count


def chunked_body(size: int, chunk_size: int) -> Iterator[bytes]:
    """Yields a body in chunks without its last chunk."""
    whole = f"{chunk_size:x}\r\n".encode() + b"b" * chunk_size + b"\r\n"
    per_part = max(_PIECE // len(whole), 1)
    chunks = size // chunk_size
    while chunks > 0:
        count = min(chunks, per_part)
        yield whole * count
        chunks -= count


def repeat(part: bytes, size: int) -> Iterator[bytes]:
    """Yields a part again and again until this many bytes."""
    repeated = part * max(_PIECE // len(part), 1)
    for _ in range(max(size // len(repeated), 1)):
        yield repeated


def after(head: bytes, parts: Iterator[bytes], end: bytes = b"") -> Iterator[bytes]:
    """Yields a head, parts and an end."""
    yield head
    yield from parts
    if end:
        yield end


def short_fields(size: int) -> bytes:
    """Returns header fields that are as short as possible."""
    return b"a:b\r\n" * (size // 5)


def _frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    return (len(payload).to_bytes(3, "big") + bytes([kind, flags])
            + stream.to_bytes(4, "big") + payload)


def _field(name: bytes, value: bytes) -> bytes:
    """Returns a literal field of HPACK that is not indexed."""
    length = bytes([len(value)]) if len(value) < 127 else _long_length(len(value))
    return b"\x00" + bytes([len(name)]) + name + length + value


def _long_length(length: int) -> bytes:
    rest = length - 127
    encoded = bytearray([127])
    while rest >= 128:
        encoded.append(rest % 128 + 128)
        rest //= 128
    encoded.append(rest)
    return bytes(encoded)


def http2_requests(count: int, field_bytes: int) -> Iterator[bytes]:
    """Yields requests over HTTP/2 with large fields and bodies without end."""
    settings, headers, end_headers = 4, 1, 4
    yield b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + _frame(settings, 0, 0, b"")
    block = b"".join([_field(b":method", b"POST"), _field(b":scheme", b"http"),
                      _field(b":path", b"/x"), _field(b":authority", b"x"),
                      _field(b"x-field", b"f" * field_bytes)])
    for number in range(count):
        yield _frame(headers, end_headers, 2 * number + 1, block)
