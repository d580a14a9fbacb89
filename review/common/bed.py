"""Test bed of the review cases: gateway processes, a store, replicas and clients on loopback.

The gateways are started with the command and the settings of the deploy file. The store is the
project's stand-in; the replicas and the clients are small ones of this review, which do what the
users' pages say and nothing else.
"""

import contextlib
import json
import os
import random
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from anyio.streams.stapled import MultiListener

from skylarkferry_standins.row_store import RowStore
from skylarkferry_standins.wire_server import WireReply, WireRequest, WireServer

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "review.example"
GRACE_S = 8.0
HEARTBEAT_S = 1.2
STORE_TX_S = 0.004
RESTART_DELAY_S = 0.5
TOKENS_PER_EVENT = 22
START_TIMEOUT_S = 30.0
_LINK_BYTES = 16_384
_CLOSED = (anyio.BrokenResourceError, anyio.ClosedResourceError)


class CannotRunError(Exception):
    """The case cannot run on this machine."""


class Record:
    """Lines of ``record.txt``, with seconds since the start of the script."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def line(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Answer:
    """What a client saw of one attempt."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self.end = "no answer"
        self.sent_at = 0.0
        self.ended_at = 0.0

    @property
    def is_signed(self) -> bool:
        """Return whether the answer bears a replica's signature."""
        return "skylarkferry-response-signature" in self.headers

    def text(self) -> str:
        """Return one line about the attempt."""
        whole = "whole" if self.is_complete else "not whole"
        return (
            f"answer {self.request_id} status={self.status or 'none'} {whole} end={self.end!r} "
            f"signed={self.is_signed} bytes={len(self.body)} sent={self.sent_at:.3f}"
        )


class Run:
    """One run of a request at a replica."""

    def __init__(self, replica: str, request_id: str, path: str, body: bytes, at: float) -> None:
        self.replica = replica
        self.request_id = request_id
        self.path = path
        self.body = body
        self.began = at
        self.ended: float | None = None
        self.end = "running"
        self.events = 0


class Work:
    """What a replica does for one request: a plain answer, or a stream if ``events`` is set."""

    def __init__(
        self, work_s: float = 0.02, events: int = 0, gap_s: float = 0.02, status: int = 200
    ) -> None:
        self.work_s = work_s
        self.events = events
        self.gap_s = gap_s
        self.status = status


class Replica:
    """A replica of the platform, with its entry in the store."""

    def __init__(self, bed: "Bed", name: str, service: str, slots: int) -> None:
        self.bed = bed
        self.name = name
        self.service = service
        self.slots = slots
        self.address = free_address()
        self.sequence = 0
        self.born = int(time.time() * 1_000)
        self.work: Callable[[h11.Request, bytes], Work] = lambda request, body: Work()
        self.is_down = False
        self.streams: set[SocketStream] = set()

    async def start(self, tasks: TaskGroup) -> None:
        """Listen and register."""
        self.tasks = tasks
        await self._listen()
        tasks.start_soon(self._beat)

    async def _listen(self) -> None:
        host, _, port = self.address.rpartition(":")
        self.listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=1024
        )
        self.tasks.start_soon(self._accept, self.listener)

    async def _accept(self, listener: MultiListener[SocketStream]) -> None:
        with contextlib.suppress(*_CLOSED):
            try:
                await listener.serve(self._serve, task_group=self.tasks)
            except* anyio.ClosedResourceError:
                pass  # the replica has crashed

    async def crash(self, down_s: float) -> None:
        """End as a process that crashes; start again under the same id after ``down_s``."""
        self.bed.record.line(f"replica {self.name} crashes, for {down_s:g} s")
        self.is_down = True
        await self.listener.aclose()
        for stream in list(self.streams):
            await reset(stream)
        await anyio.sleep(down_s)
        self.is_down, self.sequence, self.born = False, 0, int(time.time() * 1_000)
        await self._listen()
        self.bed.record.line(f"replica {self.name} is back")

    async def _beat(self) -> None:
        while True:
            while self.is_down:  # noqa: ASYNC110
                await anyio.sleep(0.05)
            self.sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldLeftMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            self.bed.store.put("servers", "", self.name, json.dumps(entry).encode())
            await anyio.sleep(HEARTBEAT_S)

    async def _serve(self, stream: SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        self.streams.add(stream)
        try:
            with contextlib.suppress(*_CLOSED):
                async with stream:
                    while (found := await read_request(stream, http)) is not None:
                        if not await self._answer(stream, http, *found):
                            return
        finally:
            self.streams.discard(stream)

    async def _answer(
        self, stream: SocketStream, http: h11.Connection, request: h11.Request, body: bytes
    ) -> bool:
        headers = {name.decode(): value.decode() for name, value in request.headers}
        request_id = headers.get("skylarkferry-request-id", "")
        path = request.target.decode()
        base = [("Skylarkferry-Request-Id", request_id), ("Skylarkferry-Instance-Id", self.name)]
        if headers.get("skylarkferry-expect-instance", self.name) != self.name:
            return await send_plain(stream, http, 421, base, b"")
        work = self.work(request, body)
        run = Run(self.name, request_id, path, body, self.bed.record.now())
        self.bed.runs.append(run)
        self.bed.record.line(f"run {request_id} at {self.name} {path}")
        signed = [*base, ("Skylarkferry-Response-Signature", f"{self.name}.{len(self.bed.runs)}")]
        limit_s = float(headers.get("skylarkferry-deadline-ms", "60000")) / 1_000
        is_kept = False
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_at_end, stream, tasks)
                with anyio.move_on_after(limit_s) as limit:
                    is_kept = await self._work(stream, http, work, run, signed)
                if limit.cancelled_caught:
                    run.end = "deadline"
                    if not work.events:
                        is_kept = await send_plain(stream, http, 504, signed, b"")
                tasks.cancel_scope.cancel()
        finally:
            if run.end == "running":
                run.end = "connection closed"
            run.ended = self.bed.record.now()
            self.bed.record.line(
                f"run {request_id} at {self.name} ended: {run.end}, {run.events} events"
            )
        return is_kept

    async def _work(
        self,
        stream: SocketStream,
        http: h11.Connection,
        work: Work,
        run: Run,
        headers: list[tuple[str, str]],
    ) -> bool:
        await anyio.sleep(work.work_s)
        if not work.events:
            run.end = f"answered {work.status}"
            body = f"answer to {run.request_id}".encode()
            return await send_plain(stream, http, work.status, headers, body)
        head = [*headers, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        await stream.send(http.send(h11.Response(status_code=200, headers=head)) or b"")
        for number in range(1, work.events + 1):
            data = f"id: {number}\ndata: {run.request_id} {number}\n\n".encode()
            await stream.send(http.send(h11.Data(data=data)) or b"")
            run.events = number
            await anyio.sleep(work.gap_s)
        run.end = "streamed whole"
        await stream.send(http.send(h11.EndOfMessage()) or b"")
        return _next_cycle(http)


async def reset(stream: SocketStream) -> None:
    """Reset a connection, as the end of its process does."""
    raw = stream.extra(SocketAttribute.raw_socket)
    if raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await anyio.aclose_forcefully(stream)


async def _cancel_at_end(stream: SocketStream, tasks: TaskGroup) -> None:
    """Drop the work when the connection closes, as most replicas do."""
    try:
        while True:
            await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
        tasks.cancel_scope.cancel()


def _next_cycle(http: h11.Connection) -> bool:
    if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
        return False
    http.start_next_cycle()
    return True


async def send_plain(
    stream: SocketStream,
    http: h11.Connection,
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
) -> bool:
    """Send a response with a length; return whether the connection goes on."""
    sized = [*headers, ("Content-Length", str(len(body)))]
    parts = [http.send(h11.Response(status_code=status, headers=sized))]
    parts += [http.send(h11.Data(data=body)), http.send(h11.EndOfMessage())]
    await stream.send(b"".join(part for part in parts if part))
    return _next_cycle(http)


async def read_request(
    stream: SocketStream, http: h11.Connection
) -> tuple[h11.Request, bytes] | None:
    """Read a whole request, or return ``None`` at the end of the connection."""
    head: h11.Request | None = None
    body = b""
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            try:
                http.receive_data(await stream.receive())
            except anyio.EndOfStream:
                return None
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return head, body
        else:
            return None


class Connection:
    """A client's connection to a gateway."""

    def __init__(self, stream: SocketStream, record: Record) -> None:
        self.stream = stream
        self.record = record
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=1 << 20)

    async def request(
        self,
        method: str,
        path: str,
        request_id: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 5.0,
    ) -> Answer:
        """Send a request and read its answer."""
        answer = Answer(request_id)
        fields = {"Host": HOST, "Skylarkferry-Request-Id": request_id, **(headers or {})}
        if body:
            fields["Content-Length"] = str(len(body))
        head = h11.Request(method=method, target=path, headers=list(fields.items()))
        parts = [self.http.send(head)]
        if body:
            parts.append(self.http.send(h11.Data(data=body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        answer.sent_at = self.record.now()
        self.record.line(f"send {request_id} {method} {path}")
        with anyio.move_on_after(timeout_s) as scope:
            try:
                await self.stream.send(b"".join(part for part in parts if part))
                await self._read(answer)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                answer.end = "connection reset"
            except h11.RemoteProtocolError as error:
                answer.end = f"broken off: {error}"
        if scope.cancelled_caught:
            answer.end = "client's time is over"
        answer.ended_at = self.record.now()
        self.record.line(answer.text())
        return answer

    async def _read(self, answer: Answer) -> None:
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                try:
                    self.http.receive_data(await self.stream.receive())
                except anyio.EndOfStream:
                    self.http.receive_data(b"")
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {name.decode(): value.decode() for name, value in event.headers}
                answer.end = "in the answer"
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                answer.is_complete, answer.end = True, "answered"
                return
            elif isinstance(event, h11.ConnectionClosed):
                answer.end = "connection closed without an answer"
                return

    def can_go_on(self) -> bool:
        """Prepare the next request; return False if the connection takes no more."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False

    async def close(self) -> None:
        """Close the connection."""
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            await self.stream.aclose()


class Gateway:
    """A gateway process, and its supervision by the platform."""

    def __init__(self, bed: "Bed", number: int) -> None:
        self.bed = bed
        self.name = f"front-{number}"
        self.zone = "zone-a"
        self.ip = f"127.{bed.octet}.7.{number + 10}"
        self.front = f"{self.ip}:8149"
        self.ready = f"{self.ip}:8141"
        self.store_address = bed.store_address
        self.path = bed.folder / f"{self.name}.toml"
        self.log = bed.folder / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.expects_end = False
        self.own_ends = 0

    def write_settings(self, first_start: bool) -> None:
        """Write the settings file with the fields of DEPLOY.md."""
        text = f"""
nodeName = "{self.name}"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "region-a"
portRange = [7380,7395]
seeds = []
firstStart = {"true" if first_start else "false"}
faultCounted = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]
[zones]
zone-a = "region-a"
zone-b = "region-a"
[listen]
front = "{self.front}"
ready = "{self.ready}"
[limits]
cpuShare = 0.717
cpuCores = 3
memoryMb = 170
maxFds = 8200
linkMbps = {self.bed.link_mbps:g}
diskMb = 0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = {GRACE_S:g}
lossSlackMs = 200
configApplyMs = 2000
recoverS = 12
[platform]
address = "{self.store_address}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 4.0
partWritesPerS = 250
rowBytes = 65536
across = true
historyS = 20
"""
        self.path.write_text(text, encoding="utf-8")

    def start(self, first_start: bool = False) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings(first_start)
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment = {
            **kept,
            "SKYLARKFERRY_BOOT": str(self.path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                deploy_command(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.expects_end = False
        self.bed.record.line(f"process {self.name} starts")

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        if self.process is not None and self.is_running():
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.expects_end = True
            self.bed.record.line(f"process {self.name} gets {number.name}")
            os.kill(self.process.pid, number)

    async def wait_end(self) -> None:
        """Wait until the process has ended."""
        while self.is_running():  # noqa: ASYNC110
            await anyio.sleep(0.02)

    async def supervise(self) -> None:
        """Start the process again after a short delay whenever it ends."""
        while True:
            await self.wait_end()
            assert self.process is not None
            kind = "as ordered" if self.expects_end else "by itself"
            self.own_ends += not self.expects_end
            self.bed.record.line(
                f"process {self.name} has ended {kind}, code {self.process.returncode}"
            )
            await anyio.sleep(RESTART_DELAY_S)
            self.start()

    async def is_ready(self) -> bool:
        """Return whether the platform's question for readiness gets a 200."""
        with anyio.move_on_after(1.0):
            try:
                connection = await connect(self.bed, self.ready)
            except OSError:
                return False
            try:
                head = h11.Request(
                    method="GET", target="/api/readiness", headers=[("Host", self.ready)]
                )
                data = connection.http.send(head) or b""
                await connection.stream.send(
                    data + (connection.http.send(h11.EndOfMessage()) or b"")
                )
                answer = Answer("")
                await connection._read(answer)
                return answer.status == 200
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, h11.ProtocolError):
                return False
            finally:
                await connection.close()
        return False


class SlowLink:
    """A proxy in front of the store that passes its answers on at the rate of a machine's link."""

    def __init__(self, target: str, mbps: float) -> None:
        self.target = target
        self.byte_s = 8 / (mbps * 1e6)
        self.address = free_address()
        self.free_at = 0.0

    async def start(self, tasks: TaskGroup) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=1024
        )
        tasks.start_soon(listener.serve, self._serve)

    async def _serve(self, client: SocketStream) -> None:
        host, _, port = self.target.rpartition(":")
        store = await anyio.connect_tcp(host, int(port))
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._copy, client, store, 0.0, tasks)
                tasks.start_soon(self._copy, store, client, self.byte_s, tasks)
        finally:
            with anyio.CancelScope(shield=True):
                await reset(client)
                await reset(store)

    async def _copy(
        self, source: SocketStream, sink: SocketStream, byte_s: float, tasks: TaskGroup
    ) -> None:
        try:
            while True:
                data = await source.receive(_LINK_BYTES)
                now = anyio.current_time()
                if byte_s:
                    self.free_at = max(self.free_at, now) + len(data) * byte_s
                    await anyio.sleep(self.free_at - now)
                await sink.send(data)
        except (anyio.EndOfStream, *_CLOSED):
            tasks.cancel_scope.cancel()


class Bed:
    """All processes and stand-ins of one script."""

    def __init__(self, tasks: TaskGroup, folder: Path, record: Record) -> None:
        self.tasks = tasks
        self.folder = folder
        self.record = record
        self.octet = random.SystemRandom().randrange(10, 250)
        self.store = RowStore()
        self.store_address = free_address()
        self.replicas: list[Replica] = []
        self.gateways: list[Gateway] = []
        self.runs: list[Run] = []
        self.numbers = 0
        self.link_mbps = 1000.0

    def new_id(self) -> str:
        """Return a new request id."""
        self.numbers += 1
        return f"{random.getrandbits(48):012x}{self.numbers:04x}"

    def runs_of(self, request_id: str) -> list[Run]:
        """Return the runs of a request."""
        return [run for run in self.runs if run.request_id == request_id]

    async def start_store(self) -> None:
        """Start the store."""
        host, _, port = self.store_address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=1024
        )
        self.tasks.start_soon(listener.serve, WireServer(self._store_call).serve)

    async def _store_call(self, request: WireRequest) -> WireReply:
        if request.method == "POST":
            await anyio.sleep(STORE_TX_S)
        return await self.store.handle(request)

    def put_config(self, routes: list[dict[str, Any]], version: int = 7) -> None:
        """Write the desired state."""
        common = {"host": HOST, "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 1}
        names = {str(route["service"]) for route in routes}
        streamed = {str(item["service"]) for item in routes if item["kind"] == "streaming"}
        engine = {"slots": 16, "kvCapacity": 487834, "tokensPerEvent": TOKENS_PER_EVENT}
        services = [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 180,
                **({"engine": engine} if name in streamed else {}),
            }
            for name in sorted(names)
        ]
        state = {
            "version": version,
            "routes": [
                {"name": f"r-{route['prefix'].strip('/')}", "maxAttempts": 2, **common, **route}
                for route in routes
            ],
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.put("op", "", "config", json.dumps(state).encode())

    async def add_replica(self, name: str, service: str, slots: int = 16) -> Replica:
        """Start a replica."""
        replica = Replica(self, name, service, slots)
        await replica.start(self.tasks)
        self.replicas.append(replica)
        return replica

    async def start_gateways(self, count: int) -> None:
        """Start the gateways and wait until all are ready."""
        for number in range(count):
            gateway = Gateway(self, number)
            self.gateways.append(gateway)
            gateway.start(first_start=True)
            self.tasks.start_soon(gateway.supervise)
        for gateway in self.gateways:
            await self.wait_ready(gateway)

    async def start_gateways_on_links(self, zones: list[str], mbps: float) -> None:
        """Start a gateway in each zone, with a link of its own to the store."""
        store, self.link_mbps = self.store_address, mbps
        for number, zone in enumerate(zones):
            link = SlowLink(store, mbps)
            await link.start(self.tasks)
            gateway = Gateway(self, number)
            gateway.zone = zone
            gateway.store_address = link.address
            self.gateways.append(gateway)
            gateway.start(first_start=True)
            self.tasks.start_soon(gateway.supervise)
        for gateway in self.gateways:
            await self.wait_ready(gateway)

    async def wait_ready(self, gateway: Gateway) -> None:
        """Wait until a gateway is ready."""
        with anyio.move_on_after(START_TIMEOUT_S):
            while not await gateway.is_ready():  # noqa: ASYNC110
                await anyio.sleep(0.1)
            return
        raise CannotRunError(f"{gateway.name} is not ready within {START_TIMEOUT_S:g} s")

    def end(self) -> None:
        """Kill all processes that this script started, by their ids."""
        for gateway in self.gateways:
            gateway.expects_end = True
            if gateway.process is not None and gateway.process.poll() is None:
                os.kill(gateway.process.pid, signal.SIGKILL)
                gateway.process.wait(10)


def deploy_command() -> list[str]:
    """Return the command of the role in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
    words = shlex.split(deploy["roles"]["gateway"]["run"])
    return [sys.executable if words[0] == "python3" else words[0], *words[1:]]


def free_address() -> str:
    """Return a free loopback address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def connect(bed: Bed, address: str) -> Connection:
    """Open a client's connection."""
    host, _, port = address.rpartition(":")
    stream = await anyio.connect_tcp(host, int(port))
    stream.extra(SocketAttribute.raw_socket).setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Connection(stream, bed.record)


async def send_new(
    bed: Bed,
    gateway: Gateway,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request on a new connection."""
    request_id = bed.new_id()
    try:
        with anyio.fail_after(1.0):
            connection = await connect(bed, gateway.front)
    except (OSError, TimeoutError):
        answer = Answer(request_id)
        answer.end, answer.sent_at = "no connection", bed.record.now()
        bed.record.line(f"send {request_id} {method} {path} to {gateway.name}")
        bed.record.line(answer.text())
        return answer
    try:
        return await connection.request(method, path, request_id, headers, body, timeout_s)
    finally:
        await connection.close()


@contextlib.asynccontextmanager
async def running_bed(folder: Path) -> AsyncIterator[Bed]:
    """Run a test bed in a temporary folder; end all its processes."""
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        async with anyio.create_task_group() as tasks:
            bed = Bed(tasks, Path(temporary), Record(folder))
            try:
                await bed.start_store()
                yield bed
            finally:
                tasks.cancel_scope.cancel()
                bed.end()


def main(folder: Path, case: Callable[[Bed], Awaitable[bool]], limit_s: float = 110.0) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def run() -> int:
        result = 2
        with anyio.move_on_after(limit_s):
            async with running_bed(folder) as bed:
                bed.record.line(f"TROUBLE={'1' if TROUBLE else '0'}")
                try:
                    result = 1 if await case(bed) else 0
                    verdict = "the rule was broken" if result else "the rule held"
                except CannotRunError as error:
                    verdict = f"cannot run: {error}"
                bed.record.line(verdict)
                print(verdict)
        return result

    code = 2
    try:
        code = anyio.run(run)
    except BaseException as error:
        print(f"cannot run: {error!r}", file=sys.stderr)
        raise SystemExit(2) from error
    raise SystemExit(code)
