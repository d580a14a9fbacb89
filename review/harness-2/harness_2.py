"""Harness of the second review's scripts: gateway processes between stand-ins on loopback.

The gateways are started with the command of the deploy file. The store and the replicas are the
project's stand-ins; the store here also has the documented answer time and page size.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import anyio
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.replica import Replica
from skylarkferry_standins.row_store import RowStore
from skylarkferry_standins.wire_server import WireServer

HOST = "ficu95.example"
STORE_ANSWER_S = 0.004
PAGE_BYTES = 1_000_000
READY_TIMEOUT_S = 20.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Lines of record.txt, each with the seconds since the start of the script."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        self.write(text)
        with contextlib.suppress(BrokenPipeError):
            print(text, flush=True)


class Store(RowStore):
    """The store stand-in with the answer time and the page size that the pages give."""

    def __init__(self) -> None:
        super().__init__()
        self.index = {}
        self.indexed = 0

    def get(self, query):
        """Return the rows of one part; super() would look through those of all parts."""
        rows = self.rows
        place = (query["table"], query.get("part", ""))
        self.rows = {key: rows[key] for key in self.keys_of(place)}
        try:
            reply = super().get(query)
        finally:
            self.rows = rows
        size = 0
        for number, row in enumerate(reply["rows"]):
            size += len(row["value"]) + len(row["key"]) + 80
            if size > PAGE_BYTES and number:
                reply["rows"] = reply["rows"][:number]
                reply["truncated"] = True
                break
        return reply

    def keys_of(self, place):
        """Return the keys of a part; rows are deleted only in their place."""
        if self.indexed < len(self.rows):
            for key in list(self.rows)[self.indexed :]:
                self.index.setdefault(key[:2], []).append(key)
            self.indexed = len(self.rows)
        return self.index.get(place, [])

    async def answer(self, request):
        await asyncio.sleep(STORE_ANSWER_S)
        return await self.handle(request)


class SlowLink:
    """A proxy for connections that share one rate in both directions, as a machine's link does."""

    def __init__(self, target: str, bytes_per_s: float) -> None:
        self.target = target
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0
        self.address = ""
        self.server = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=65_536)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(self._copy(reader, far_writer), self._copy(far_reader, writer))
        except asyncio.CancelledError:  # the script ends
            writer.transport.abort()

    async def _copy(self, reader, writer) -> None:
        try:
            while data := await reader.read(8_192):
                now = time.monotonic()
                self.free_at = max(self.free_at, now) + len(data) / self.bytes_per_s
                await asyncio.sleep(self.free_at - now)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()


class GatewayProcess:
    """One gateway process, its settings file and its memory."""

    def __init__(self, number: int, folder: Path, store_address: str, **limits) -> None:
        self.name = f"front-{number}"
        first, second = random.randrange(20, 250), random.randrange(1, 250)
        self.ip = f"127.{first}.{second}.{number + 2}"
        self.store_address = store_address
        self.limits = {"memory_mb": 170, "link_mbps": 1000.0, "cores": 0.717, **limits}
        self.folder = folder
        self.process = None
        self.starts = 0

    def start(self) -> None:
        limits = self.limits
        settings = self.folder / f"{self.name}.toml"
        settings.write_text(
            f"""
nodeName = "{self.name}"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "{self.ip}"
zone = "{limits.get("zone", "arusha-a")}"
region = "arusha"
portRange = [7380, 7395]
seeds = []
firstStart = {"true" if self.starts == 0 else "false"}
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
[listen]
front = "{self.ip}:8149"
ready = "{self.ip}:8141"
[limits]
cpuShare = {limits["cores"]}
cpuCores = 1
memoryMb = {limits["memory_mb"]}
maxFds = 4100
linkMbps = {limits["link_mbps"]}
diskMb = 0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
configApplyMs = 2000
recoverS = 12
[platform]
address = "{self.store_address}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 4.0
rowBytes = 65536
historyS = 20
"""
        )
        self.starts += 1
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "skylarkferry_platform"],
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": str(self.folder),
                    "PYTHONPATH": "target/deps",
                    "SKYLARKFERRY_BOOT": str(settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def memory_mb(self) -> float:
        """Return the resident memory of the process, 0 if it has ended."""
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        return next((int(line.split()[1]) / 1_024 for line in lines if "VmRSS" in line), 0.0)

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        if self.is_running():
            os.kill(self.process.pid, signal.SIGKILL)
            self.process.wait()

    async def wait_until_ready(self) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            try:
                client = Client(self.ip, 8141)
                reply = await client.send("GET", "/api/readiness", {})
                client.close()
                if reply.status == 200:
                    return
            except (OSError, EOFError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready after {READY_TIMEOUT_S} s")


class Reply:
    """Status, headers and whole body of a response."""

    def __init__(self, status, headers, body) -> None:
        self.status, self.headers, self.body = status, headers, body


class Client:
    """A client's connection, which it keeps for many requests."""

    def __init__(self, ip: str, port: int = 8149) -> None:
        self.ip, self.port = ip, port
        self.reader = self.writer = None
        self.requests = 0

    async def send(self, method, path, headers, body=b"") -> Reply:
        """Send one request; raise ``OSError`` or ``EOFError`` without a complete response."""
        if self.writer is None:
            connecting = asyncio.open_connection(self.ip, self.port)
            self.reader, self.writer = await asyncio.wait_for(connecting, 1.0)
            self.requests = 0
        self.requests += 1
        fields = {"Host": HOST, "Content-Length": len(body), **headers}
        lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items()), "", ""]
        try:
            self.writer.write("\r\n".join(lines).encode() + body)
            await self.writer.drain()
            reply = await self._read()
        except BaseException:
            self.close()
            raise
        if reply.headers.get("connection", "").lower() == "close":
            self.close()
        return reply

    async def _read(self) -> Reply:
        while True:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *lines = head.strip().split("\r\n")
            status = int(first.split(" ")[1])
            headers = {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines)}
            if status >= 200:
                break
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                parts.append(await self.reader.readexactly(size))
                await self.reader.readexactly(2)
            await self.reader.readuntil(b"\r\n")
            return Reply(status, headers, b"".join(parts))
        length = int(headers.get("content-length", "0"))
        return Reply(status, headers, await self.reader.readexactly(length))

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None


class Deployment:
    """A store, replicas and gateways; all that it started ends with it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="skylarkferry-review-"))
        self.store = Store()
        self.store_address = free_address()
        self.gateways = []
        self.replicas = {}
        self.tasks = None
        self.has_result = False

    async def start(self, tasks, document) -> None:
        self.tasks = tasks
        await self.listen(self.store_address, self.store.answer)
        self.configure(document)

    def configure(self, document) -> None:
        self.store.put("op", "", "config", json.dumps(document).encode())

    async def listen(self, address, handle) -> None:
        host, _, port = address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=1_024
        )
        self.tasks.start_soon(listener.serve, WireServer(handle).serve)

    async def add_replica(self, name, service, handle=None, *, slots=12, work_s=0.05) -> Replica:
        replica = self.replicas[name] = Replica(name)
        replica.work_s = work_s
        address = free_address()
        await self.listen(address, handle or replica.handle)
        row = {
            "service": service,
            "address": address,
            "zone": "arusha-a",
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": 1,
            "born": int(time.time() * 1_000),
        }
        self.store.put("servers", "", name, json.dumps(row).encode())
        return replica

    def add_gateway(self, store_address="", **limits) -> GatewayProcess:
        number = len(self.gateways)
        gateway = GatewayProcess(
            number, self.folder, store_address or self.store_address, **limits
        )
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    def end(self) -> None:
        for gateway in self.gateways:
            gateway.kill()
            if not self.has_result:
                lines = (self.folder / f"{gateway.name}.log").read_text(errors="replace")
                for line in lines.splitlines()[-20:]:
                    self.record.write(f"log of {gateway.name}: {line}")
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


ENGINE = {"slots": 16, "kvCapacity": 487_834, "kvTokenBytes": 18_432, "tokensPerEvent": 22}


def configuration(version=1, **routes):
    """Return a desired state; each route has a name and its fields beside the common ones."""
    common = {"host": HOST, "timeoutMs": 3_000, "targetLatencyMs": 200, "maxAttempts": 2}
    return {
        "version": version,
        "routes": [
            {"name": name, "prefix": f"/{name}/", "priority": 0, **common, **fields}
            for name, fields in routes.items()
        ],
        "services": [
            {"name": "calc-models", "healthPath": "/health", "maxConnections": 180, "engine": ENGINE},
            {"name": "shop-apps", "healthPath": "/health", "maxConnections": 110},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


SHARED_TOKENS = 12_600
INPUT_TOKENS = 4_200
"""Tokens of a turn's new input: the most that the site file has, as it has 100,000 bytes at most."""

DESIGN_SESSION = {
    "kind": "streaming",
    "service": "calc-models",
    "retainContext": True,
    "retentionS": 60.0,
    "sticky": True,
    "resumable": False,
    "targetGapMs": 300,
}


def request_id() -> str:
    return os.urandom(8).hex()


def turn_headers(identity, program, session, previous="", *, turns=1, finish_ms=30_000, tokens=INPUT_TOKENS):
    """Return the headers of a turn, the last of as many turns of its line."""
    parts = [f"5c1e07a2:{SHARED_TOKENS}"]
    parts += [f"{program}{session[-2:].encode().hex()}{number:02x}:{tokens}" for number in range(turns)]
    headers = {
        "Skylarkferry-Request-Id": identity,
        "Skylarkferry-Model": "m",
        "Skylarkferry-Program-Id": program,
        "Skylarkferry-Session-Id": session,
        "Skylarkferry-Finish-Ms": finish_ms,
        "Skylarkferry-Token-Budget": 20_000,
        "Skylarkferry-Token-Usage": f"{SHARED_TOKENS + turns * tokens},110",
        "Skylarkferry-Prompt-Prefix": ",".join(parts),
        "Skylarkferry-Deadline-Ms": 3_000,
    }
    return {**headers, "Skylarkferry-Previous-Turn": previous} if previous else headers


def run(folder: Path, scenario) -> None:
    """Run a scenario and exit with its result; 2 if it could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        deployment = Deployment(record)
        try:
            with anyio.fail_after(110):
                async with anyio.create_task_group() as tasks:
                    result = await scenario(deployment, tasks, trouble)
                    deployment.has_result = result != NOT_RUN
                    tasks.cancel_scope.cancel()
            return result
        finally:
            deployment.end()

    try:
        result = anyio.run(main)
    except BaseException as error:  # the case could not run
        record.say(f"could not run: {error!r}")
        result = NOT_RUN
    record.say(f"exit {result}")
    record.file.close()
    os._exit(result) if result != NOT_RUN else sys.exit(NOT_RUN)


