"""Unused loopback addresses, which no other running process is given."""

import socket
from collections.abc import Iterator
from itertools import count, cycle

LOOPBACK = "127.0.0.1"
_FIRST_PORT = 12_000
"""The ports lie below the range of outgoing connections, which begins at 32,768."""
_BLOCK_PORTS = 500
_BLOCKS = 40
_MAX_OWN_BLOCKS = 4
"""Blocks that a process uses before it returns to its first one."""


class PortBlocks:
    """Ports from blocks that a process reserves by binding the first port of each."""

    def __init__(self) -> None:
        self.guards: list[socket.socket] = []
        self.ports = self._ports()

    def free_address(self) -> str:
        """Return an address on which nothing listens, other than that of any recent call."""
        for port in self.ports:
            with socket.socket() as probe:
                if _bind(probe, port):
                    return f"{LOOPBACK}:{port}"
        raise AssertionError("unreachable: the ports are endless")

    def _ports(self) -> Iterator[int]:
        blocks: list[int] = []
        for block in self._reserved_blocks():
            blocks.append(block)
            yield from range(block + 1, block + _BLOCK_PORTS)
        if not blocks:
            raise AssertionError("all blocks of ports are reserved by other processes")
        for block in cycle(blocks):
            yield from range(block + 1, block + _BLOCK_PORTS)

    def _reserved_blocks(self) -> Iterator[int]:
        """Reserve blocks that no other process has, until the process has enough."""
        for number in count():
            if number == _BLOCKS or len(self.guards) == _MAX_OWN_BLOCKS:
                return
            block = _FIRST_PORT + number * _BLOCK_PORTS
            guard = socket.socket()
            if _bind(guard, block):
                self.guards.append(guard)
                yield block
            else:
                guard.close()


def _bind(candidate: socket.socket, port: int) -> bool:
    try:
        candidate.bind((LOOPBACK, port))
    except OSError:
        return False
    return True


free_address = PortBlocks().free_address
"""Return an unused loopback address."""
