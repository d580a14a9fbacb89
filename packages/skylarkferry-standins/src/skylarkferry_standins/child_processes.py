"""One process under test: start, signal, restart and end it by its id."""

import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import httpx

LOOPBACK = "127.0.0.1"
PORTS = range(20_000, 32_000)
POLL_S = 0.02
WAIT_TIMEOUT_S = 120.0
REQUEST_TIMEOUT_S = 5.0
LOG_TAIL_CHARACTERS = 4_000

_random = random.SystemRandom()
_used_ports: set[int] = set()


def free_address() -> str:
    """Return a loopback address on which nothing listens and that was not given out before."""
    while True:
        port = _random.choice(PORTS)
        if port in _used_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        _used_ports.add(port)
        return f"{LOOPBACK}:{port}"


def wait_until(
    condition: Callable[[], bool], description: str, timeout_s: float = WAIT_TIMEOUT_S
) -> None:
    """Poll until ``check`` holds; the bound only keeps a broken program from hanging the run."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"waited in vain for {description}")
        time.sleep(POLL_S)


class ChildProcess:
    """A Python module as a process of its own; ``ready_url`` answers once it serves."""

    def __init__(self, name: str, arguments: list[str], ready_url: str, directory: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.ready_url = ready_url
        self.log_path = directory / f"{name}.log"
        self.child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        assert self.child is not None
        return self.child.pid

    def start(self) -> None:
        """Start the process without waiting for it."""
        with self.log_path.open("ab") as log:
            command = [sys.executable, "-m", *self.arguments]
            self.child = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def wait_ready(self) -> None:
        """Wait until the process serves."""
        wait_until(self.is_serving, f"{self.name} to serve\n{self.log_tail()}")

    def is_serving(self) -> bool:
        """Tell whether the process answers; raise when it ended."""
        if self.has_exited():
            raise AssertionError(f"{self.name} ended early\n{self.log_tail()}")
        try:
            httpx.get(self.ready_url, timeout=REQUEST_TIMEOUT_S)
        except httpx.TransportError:
            return False
        return True

    def has_exited(self) -> bool:
        """Tell whether the process is gone."""
        return self.child is None or self.child.poll() is not None

    def wait_exit(self) -> int:
        """Wait for the process's end and return its exit code."""
        wait_until(self.has_exited, f"{self.name} to end")
        assert self.child is not None and self.child.returncode is not None
        return self.child.returncode

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process alone."""
        os.kill(self.pid, number)

    def kill(self) -> None:
        """End the process at once, without a chance to clean up."""
        self.signal(signal.SIGKILL)
        self.wait_exit()

    def pause(self) -> None:
        """Freeze the process; its connections stay open and silent."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask for a planned stop without waiting for it."""
        self.signal(signal.SIGTERM)

    def restart(self) -> None:
        """Kill the process if it still runs and start it again under the same address."""
        if not self.has_exited():
            self.kill()
        self.start()
        self.wait_ready()

    def log_tail(self) -> str:
        """Return the end of what the process logged."""
        if not self.log_path.exists():
            return ""
        return self.log_path.read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]
