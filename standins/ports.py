"""
Allocates free loopback ports for stand-ins and entries of experiments.

Ports lie below the system's ephemeral range, which outgoing connections use. An
allocated port stays reserved until the process ends, by a UDP socket bound to the
same number, so that no other experiment on the machine takes it while a server
restarts.
"""

import itertools
import os
import socket

ADDRESS = "127.0.0.1"
FIRST_PORT = 10_000
PORT_COUNT = 22_000
PORTS_PER_PROCESS = 61

_offsets = itertools.count()
_reservations: list[socket.socket] = []


def find_free_port() -> int:
    """Return a loopback port that is free and reserved for this process."""
    while True:
        offset = os.getpid() * PORTS_PER_PROCESS + next(_offsets)
        port = FIRST_PORT + offset % PORT_COUNT
        if _is_free(port) and _reserve(port):
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ADDRESS, port))
        except OSError:
            return False
    return True


def _reserve(port: int) -> bool:
    reservation = socket.socket(type=socket.SOCK_DGRAM)
    try:
        reservation.bind((ADDRESS, port))
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    return True
