"""Ports for child processes."""

import random
import socket

HOST = "127.0.0.1"

# Below the kernel's range for outgoing connections, so that no outgoing connection
# takes a port that was just found free.
_FIRST_PORT = 20000
_LAST_PORT = 31999
_ATTEMPTS = 200

_allocated_ports: set[int] = set()


def free_port() -> int:
    """Returns a port that is not in use and was not returned before."""
    for _ in range(_ATTEMPTS):
        port = random.randint(_FIRST_PORT, _LAST_PORT)
        if port not in _allocated_ports and is_free(port):
            _allocated_ports.add(port)
            return port
    raise OSError("no free port found")


def is_free(port: int) -> bool:
    """Returns whether a process could listen on the port."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def free_address() -> str:
    """Returns "ip:port" of a free port."""
    return f"{HOST}:{free_port()}"
