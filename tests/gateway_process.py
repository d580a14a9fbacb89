"""A gateway as a process, at an address of its own."""

import contextlib
import os
import subprocess
import sys
import time
from pathlib import Path

import anyio
import httpx

from boot_files import BOOT_TOML
from skylarkferry_platform import boot
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.wire_server import WireServer

SMALLEST_MEMORY_MB = 128
"""Memory of the smallest host."""


class GatewayProcess:
    """A gateway process at an address of its own."""

    def __init__(self, directory, store_address, memory_mb=SMALLEST_MEMORY_MB):
        self.ip = f"127.{os.getpid() % 250 + 2}.{time.monotonic_ns() // 1_000 % 250}.77"
        text = BOOT_TOML.replace("10.1.0.38", self.ip).replace("10.200.1.7:8142", store_address)
        path = directory / "boot.toml"
        path.write_text(text.replace("memoryMb = 170", f"memoryMb = {memory_mb}"))
        self.log = (directory / "log").open("wb")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "skylarkferry_platform"],
            env={**os.environ, boot.PATH_VARIABLE: str(path)},
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    def peak_mb(self):
        """Return the most memory that the process had in use."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1_024

    async def wait_until_ready(self):
        async with httpx.AsyncClient() as client:
            with anyio.fail_after(20):
                while True:
                    with contextlib.suppress(httpx.TransportError):
                        if (await client.get(f"http://{self.ip}:8141/")).status_code == 200:
                            return
                    await anyio.sleep(0.1)

    async def send(self, client, path, fields, body=b""):
        url = f"http://{self.ip}:8149{path}"
        return await client.post(url, headers=fields, content=body)

    async def end(self):
        self.process.kill()
        self.process.wait()
        self.log.close()
        await anyio.sleep(0.2)  # a listener is not closed while a connection arrives


@contextlib.asynccontextmanager
async def listening(tasks, handler):
    """Serve a handler at a free address."""
    address = free_address()
    host, _, port = address.rpartition(":")
    listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
    scope = anyio.CancelScope()

    async def serve():
        with scope:
            await listener.serve(WireServer(handler).serve)

    tasks.start_soon(serve)
    yield address
    scope.cancel()
