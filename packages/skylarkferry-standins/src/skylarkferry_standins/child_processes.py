"""Child processes under test: start, signal, restart and kill each by its id."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import httpx

POLL_S = 0.02
WAIT_TIMEOUT_S = 120.0
REQUEST_TIMEOUT_S = 5.0
LOG_TAIL_CHARACTERS = 4_000


def wait_until(
    condition: Callable[[], bool], description: str, timeout_s: float = WAIT_TIMEOUT_S
) -> None:
    """Poll until ``condition`` holds; a timeout keeps a broken program from hanging the run."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"timed out waiting for {description}")
        time.sleep(POLL_S)


class ChildProcess:
    """A Python module run as a child process; ``ready_url`` responds once it is ready."""

    def __init__(self, name: str, arguments: list[str], ready_url: str, directory: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.ready_url = ready_url
        self.log_path = directory / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the id of the running process."""
        assert self.process is not None
        return self.process.pid

    def start(self) -> None:
        """Start the process without waiting for it."""
        with self.log_path.open("ab") as log:
            command = [sys.executable, "-m", *self.arguments]
            self.process = subprocess.Popen(
                command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def wait_ready(self) -> None:
        """Wait until the process answers requests."""
        wait_until(self.is_serving, f"{self.name} to answer\n{self.log_tail()}")

    def is_serving(self) -> bool:
        """Return whether the process answers requests; raise ``AssertionError`` if it exited."""
        if self.has_exited():
            raise AssertionError(f"{self.name} exited before it was ready\n{self.log_tail()}")
        try:
            httpx.get(self.ready_url, timeout=REQUEST_TIMEOUT_S)
        except httpx.TransportError:
            return False
        return True

    def has_exited(self) -> bool:
        """Return whether the process has exited or was never started."""
        return self.process is None or self.process.poll() is not None

    def wait_exit(self) -> int:
        """Wait for the process to exit and return its exit code."""
        wait_until(self.has_exited, f"{self.name} to exit")
        assert self.process is not None and self.process.returncode is not None
        return self.process.returncode

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        os.kill(self.pid, number)

    def kill(self) -> None:
        """Kill the process with SIGKILL, without cleanup, and wait for its exit."""
        self.signal(signal.SIGKILL)
        self.wait_exit()

    def pause(self) -> None:
        """Stop the process with SIGSTOP; its connections stay open without traffic."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a planned stop with SIGTERM without waiting for it."""
        self.signal(signal.SIGTERM)

    def restart(self) -> None:
        """Kill the process if it is running, then start it again with the same arguments."""
        if not self.has_exited():
            self.kill()
        self.start()
        self.wait_ready()

    def log_tail(self) -> str:
        """Return the last characters of the process's log."""
        if not self.log_path.exists():
            return ""
        return self.log_path.read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]
