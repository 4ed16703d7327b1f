"""
Finds free loopback ports for stand-ins and entries of experiments.

Ports lie below the range from which the system takes those of outgoing
connections, and each process searches from a place of its own, so that two
experiments on one machine don't take each other's.
"""

import itertools
import os
import socket

ADDRESS = "127.0.0.1"
FIRST_PORT = 10_000
PORT_COUNT = 22_000
PORTS_PER_PROCESS = 256

_offsets = itertools.count()


def find_free_port() -> int:
    """Return a loopback port that is free and was not given out before."""
    while True:
        offset = os.getpid() * PORTS_PER_PROCESS + next(_offsets)
        port = FIRST_PORT + offset % PORT_COUNT
        if _is_free(port):
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ADDRESS, port))
        except OSError:
            return False
    return True
