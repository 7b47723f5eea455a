"""Ports for child processes."""

import random
import signal
import socket
import sys

HOST = "127.0.0.1"

# Below the kernel's range for outgoing connections, so that no outgoing connection
# takes the port of a child process that restarts.
_FIRST_PORT = 20000
_LAST_PORT = 31999
_ATTEMPTS = 200

_reservations: list[socket.socket] = []


def _reserve(port: int) -> socket.socket | None:
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        reservation.bind((HOST, port))
    except OSError:
        reservation.close()
        return None
    # Only after the bind, which would share the port with other reservations.
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reservation


def free_ports(count: int) -> list[int]:
    """Reserves consecutive ports until this process ends. Child processes can listen on
    them if they set SO_REUSEADDR; no other process gets them in the meantime."""
    for _ in range(_ATTEMPTS):
        first = random.randint(_FIRST_PORT, _LAST_PORT - count + 1)
        ports = list(range(first, first + count))
        reserved = [_reserve(port) for port in ports]
        if all(reserved):
            _reservations.extend(reserved)
            return ports
        for reservation in filter(None, reserved):
            reservation.close()
    raise OSError("no free port found")


def free_port() -> int:
    """Reserves one port."""
    return free_ports(1)[0]


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


def main() -> None:
    """Prints a number of ports and reserves them until it is terminated."""
    for _ in range(int(sys.argv[1])):
        print(free_port(), flush=True)
    signal.pause()


if __name__ == "__main__":
    main()
