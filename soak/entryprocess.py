"""
Runs an entry whose connections to servers come from a source address of its own.

    python -m soak.entryprocess 127.0.1.1 "" gateway --settings edge-0.conf

The proxies before the servers tell entries apart by it. The second argument names a
plant or is empty.
"""

import socket
import sys

from acaciaward import __main__ as entry_main


def bind_connections(address: str) -> None:
    """Let the sockets of this process connect from an address."""
    original = socket.socket.connect

    def connect(self, target):
        if self.family == socket.AF_INET and not self.getsockname()[1]:
            self.bind((address, 0))
        return original(self, target)

    socket.socket.connect = connect


def main() -> None:
    """Bind to the first argument, apply the plant, run the CLI with the others."""
    bind_connections(sys.argv.pop(1))
    plant = sys.argv.pop(1)
    if plant:
        # Not at the top of the module: an entry ignores SIGHUP before longer imports.
        from soak import plants

        plants.PLANTS[plant]()
    entry_main.main()


if __name__ == "__main__":
    main()
