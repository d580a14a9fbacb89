"""Test bed of the scripts: a store, replicas and clients in this process, gateways as processes.

The gateways are the project's own, started with the command of the deploy file.  The stand-ins use
the standard library only and follow the users' PROTOCOL.md.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HERE = Path.cwd()
COMMAND = ["python3", "-S", "-m", "skylarkferry_platform"]
HOST = "shop.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
READY_S = 20.0


class CannotRunError(Exception):
    """The case could not be brought about; nothing is known about the rule."""


class Record:
    """The file record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        print(f"{self.now():8.3f} s  {text}", file=self.file, flush=True)


def free_port(ip):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Request:
    """A request as read from a connection; the body is read unless the server reads it itself."""

    def __init__(self, method, target, headers, body=b""):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    return first, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode(status, headers, body):
    lines = [f"HTTP/1.1 {status} -", *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer):
    """Close a connection so that the peer sees a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


class Server:
    """An HTTP/1.1 server whose requests go to ``handle(request, writer)``."""

    def __init__(self, ip):
        self.ip = ip
        self.server = None
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(
            self._serve, self.ip, port, limit=1 << 22, backlog=512
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                request = Request(method, target, headers)
                request.body = await read_body(reader, headers)
                await self.handle(request, writer)
        except (OSError, asyncio.IncompleteReadError, EOFError):
            pass
        except asyncio.CancelledError:
            pass  # the script ends
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        raise NotImplementedError

    def stop(self):
        """End as a killed process does: no listener, and all connections are reset."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)


class Store(Server):
    """The platform's store; ``fault(caller, request)`` may return what it does to a call.

    A fault is "refuse" (503), "reset", "silent", "lost" (performed, connection closed without an
    answer) or a number of seconds ("late": closed without an answer, performed after that time if
    its conditions still hold).  Each gateway has a port of its own, so that calls have a caller.
    """

    def __init__(self, ip, record):
        super().__init__(ip)
        self.record = record
        self.rows = {}
        self.ver = 0
        self.changed = asyncio.Event()
        self.fault = lambda caller, request: None
        self.cut = set()
        """Callers that are partitioned from the store: nothing passes in either direction."""
        self.delay_s = 0.004

    async def port_for(self, caller):
        """Return an address at which one gateway reaches the store."""
        door = _Door(self.ip, self, caller)
        await door.listen()
        return door

    def put(self, table, key, value):
        """Write a row as the operator or a replica does; return when it was confirmed."""
        self.ver += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[table, "", key] = [text, self.ver, False]
        self._notify()
        return time.monotonic()

    def remove(self, table, key):
        self.ver += 1
        self.rows[table, "", key] = ["", self.ver, True]
        self._notify()
        return time.monotonic()

    def value(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None or row[2] else base64.b64decode(row[0])

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve_call(self, caller, request, writer):
        while caller in self.cut:
            await asyncio.sleep(0.05)
        fault = self.fault(caller, request)
        await asyncio.sleep(self.delay_s)
        if fault == "refuse":
            writer.write(encode(503, {}, b"{}"))
            await writer.drain()
        elif fault == "reset":
            reset(writer)
        elif fault == "silent":
            await asyncio.sleep(3_600)
        elif fault == "lost":
            await self._perform(request)
            reset(writer)
        elif fault is not None:
            asyncio.get_running_loop().create_task(self._perform_late(request, fault))
            reset(writer)
        else:
            status, body = await self._perform(request)
            while caller in self.cut:
                await asyncio.sleep(0.05)
            writer.write(encode(status, {"Content-Type": "application/json"}, body))
            await writer.drain()

    async def _perform_late(self, request, after_s):
        await asyncio.sleep(after_s)
        status, _ = await self._perform(request)
        self.record.line(f"store performs a late call: {status}")

    async def _perform(self, request):
        parts = urlsplit(request.target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        if parts.path == "/api/rows-tx":
            status, body = self.transact(json.loads(request.body))
        elif parts.path == "/api/rows-get":
            status, body = 200, self.get(query)
        elif parts.path == "/api/rows-feed":
            status, body = 200, await self.feed(query)
        else:
            status, body = 404, {}
        return status, json.dumps(body).encode()

    def _version(self, item):
        row = self.rows.get((item["table"], item.get("part", ""), item["key"]))
        return 0 if row is None or row[2] else row[1]

    def transact(self, call):
        if any(self._version(item) != item["ver"] for item in call.get("expectedRev", [])):
            return 412, {"rows": []}
        self.ver += 1
        for item in call.get("writes", []):
            key = (item["table"], item.get("part", ""), item["key"])
            self.rows[key] = [item["value"], self.ver, False]
        for item in call.get("remove", []):
            self.rows[item["table"], item.get("part", ""), item["key"]] = ["", self.ver, True]
        self._notify()
        return 200, {"ver": self.ver, "nowMs": int(time.monotonic() * 1_000)}

    def _view(self, key):
        text, ver, deleted = self.rows[key]
        view = {"table": key[0], "part": key[1], "key": key[2], "value": text, "ver": ver}
        return {**view, "deleted": True} if deleted else view

    def get(self, query):
        first, end = query.get("from", ""), query.get("to")
        place = (query["table"], query.get("part", ""))
        keys = sorted(
            key
            for key, row in self.rows.items()
            if key[:2] == place and not row[2] and key[2] >= first and (not end or key[2] < end)
        )
        limit = min(int(query.get("limit", "500")), 500)
        rows = [self._view(key) for key in keys[:limit]]
        now_ms = int(time.monotonic() * 1_000)
        return {"rows": rows, "truncated": len(keys) > limit, "ver": self.ver, "nowMs": now_ms}

    async def feed(self, query):
        after, table = int(query["after"]), query["table"]
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1_000
        while True:
            keys = [key for key, row in self.rows.items() if key[0] == table and row[1] > after]
            left = end - time.monotonic()
            if keys or left <= 0:
                keys.sort(key=lambda key: self.rows[key][1])
                return {"rows": [self._view(key) for key in keys], "ver": self.ver}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass


class _Door(Server):
    def __init__(self, ip, store, caller):
        super().__init__(ip)
        self.store, self.caller = store, caller

    async def handle(self, request, writer):
        await self.store.serve_call(self.caller, request, writer)


class Replica(Server):
    """A replica; ``work(request)`` returns the seconds that a request takes.

    On streams it sends ``events`` events, one each ``event_s``.  It drops the work of a request
    whose connection closes only if ``drops`` is set.
    """

    def __init__(self, bed, name, service, slots=6):
        super().__init__(bed.ip)
        self.bed, self.name, self.service, self.slots = bed, name, service, slots
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1_000)
        self.running = 0
        self.work = lambda request: 0.02
        self.events, self.event_s = 5, 0.05
        self.runs = []
        self.beat = None

    async def start(self, port=0):
        await self.listen(port)
        self.report()
        self.beat = asyncio.create_task(self._beats())

    def entry(self):
        self.sequence += 1
        return {
            "service": self.service, "address": self.address, "zone": "a", "version": "v1",
            "slots": self.slots, "state": self.state, "coldLeftMs": 0,
            "sequence": self.sequence, "born": self.born,
        }

    def report(self):
        return self.bed.store.put("servers", self.name, self.entry())

    async def _beats(self):
        while True:
            await asyncio.sleep(1.2)
            self.report()

    def drain(self):
        """Report that it leaves; return when the store confirmed that."""
        self.state = "draining"
        at = self.report()
        self.bed.record.line(f"store confirms: {self.name} is draining")
        return at

    def leave(self):
        """Exit after a drain, or crash."""
        if self.beat is not None:
            self.beat.cancel()
        self.stop()
        self.bed.record.line(f"{self.name} has ended, {self.running} requests were running there")

    def unlist(self):
        self.bed.store.remove("servers", self.name)
        self.bed.record.line(f"store confirms: {self.name} is not listed any more")

    async def handle(self, request, writer):
        request_id = request.header("skylarkferry-request-id")
        identity = {"Skylarkferry-Request-Id": request_id}
        if request.target == "/api/report":
            body = json.dumps({"stage": "both", "models": [], "born": self.born}).encode()
            writer.write(encode(200, {"Content-Type": "application/json"}, body))
            return await writer.drain()
        if request.header("skylarkferry-expect-instance", self.name) != self.name:
            writer.write(encode(421, identity, b""))
            return await writer.drain()
        run = Run(self, request, request_id, time.monotonic())
        self.runs.append(run)
        self.bed.runs.append(run)
        self.bed.record.line(f"{self.name} ({self.state}) begins to run {request_id}")
        self.running += 1
        try:
            await self.execute(run, request, identity, writer)
            run.ended_at = time.monotonic()
            self.bed.record.line(f"{self.name} has answered {request_id}")
        finally:
            self.running -= 1

    async def execute(self, run, request, identity, writer):
        identity = {**identity, "Skylarkferry-Response-Signature": f"sig.{self.name}.{run.number}"}
        load = f"{self.running},0,{self.slots}"
        identity["Skylarkferry-Server-Load"] = load
        await asyncio.sleep(self.work(request))
        if not request.header("skylarkferry-token-usage"):
            writer.write(encode(200, identity, b"answer to " + request_id_bytes(request)))
            return await writer.drain()
        lines = ["HTTP/1.1 200 -", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{k}: {v}" for k, v in identity.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(request.header("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            data = self.event(run, number)
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def event(self, run, number):
        return f"id: {number}\ndata: {run.request_id} token {number}\n\n".encode()


def request_id_bytes(request):
    return request.header("skylarkferry-request-id").encode()


class Run:
    """One execution of a request at a replica."""

    numbers = itertools.count(1)

    def __init__(self, replica, request, request_id, at):
        self.replica, self.request, self.request_id, self.at = replica, request, request_id, at
        self.number = next(self.numbers)
        self.ended_at = None


class Answer:
    """What a client got: ``status`` 0 without an answer; ``is_whole`` if its end was seen."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.status, self.headers, self.body, self.is_whole = 0, {}, b"", False
        self.sent_at = self.ended_at = 0.0
        self.failure = ""


class Gateway:
    """A gateway process."""

    def __init__(self, bed, number, **bounds):
        self.bed = bed
        self.name = f"front-a-{number}"
        self.ip = bed.gateway_ip(number)
        self.front, self.ready = f"{self.ip}:8149", f"{self.ip}:8141"
        self.bounds = {"graceS": 8.0, **bounds}
        self.path = bed.folder / f"{self.name}.toml"
        self.log = bed.folder / f"{self.name}.log"
        self.door = None
        self.process = None
        self.starts = 0

    def write_settings(self):
        bounds = "\n".join(f"{key} = {value}" for key, value in self.bounds.items())
        self.path.write_text(
            f"""
nodeName = "{self.name}"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "{self.ip}"
zone = "a"
region = "r"
portRange = [7380, 7395]
seeds = []
firstStart = true
faultCounted = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"]
[zones]
a = "r"
[listen]
front = "{self.front}"
ready = "{self.ready}"
[limits]
cpuShare = 0.717
cpuCores = 3
memoryMb = 170
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
drainMs = 2000
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
recoverS = 12
{bounds}
[platform]
address = "{self.door.address}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 4.0
partWritesPerS = 250
rowBytes = 65536
across = true
historyS = 20
""",
            encoding="utf-8",
        )

    async def start(self):
        if self.door is None:
            self.door = await self.bed.store.port_for(self.name)
            self.write_settings()
        keep = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in keep if key in os.environ}
        environment["SKYLARKFERRY_BOOT"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environment,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )
        self.starts += 1
        self.bed.record.line(f"{self.name} is started, process {self.starts}")

    async def wait_ready(self, limit_s=READY_S):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready after {limit_s} s")

    async def is_ready(self):
        """Ask as the platform's balancer does."""
        ip, port = self.ready.split(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
                return first.split(" ")[1] == "200"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.bed.record.line(f"{self.name} gets {signal.Signals(number).name}")

    async def wait_ended(self, limit_s=10.0):
        async with asyncio.timeout(limit_s):
            await self.process.wait()
        self.bed.record.line(f"{self.name} has ended with {self.process.returncode}")

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.wait_ended()

    def lines(self, text):
        """Return the lines of its log with a text."""
        return [line for line in self.log.read_text(errors="replace").splitlines() if text in line]


class Connection:
    """A client's connection to a gateway."""

    def __init__(self, bed, gateway):
        self.bed, self.gateway = bed, gateway
        self.reader = self.writer = None

    async def open(self):
        ip, port = self.gateway.front.split(":")
        async with asyncio.timeout(1.0):
            self.reader, self.writer = await asyncio.open_connection(ip, int(port), limit=1 << 23)

    def close(self):
        if self.writer is not None:
            self.writer.close()

    async def exchange(self, target, body=b"", *, limit_ms=3000, method="POST", request_id=None,
                       on_body=None, **headers):
        """Send a request and return its ``Answer``; a failure of the connection is recorded."""
        answer = Answer(request_id or self.bed.next_id())
        fields = {
            "Host": HOST,
            "Skylarkferry-Request-Id": answer.request_id,
            "Skylarkferry-Deadline-Ms": str(limit_ms),
            "Content-Length": str(len(body)),
        }
        fields.update({name.replace("_", "-"): str(value) for name, value in headers.items()})
        self.bed.answers.append(answer)
        answer.sent_at = time.monotonic()
        try:
            async with asyncio.timeout(limit_ms / 1_000):
                if self.writer is None:
                    await self.open()
                self.bed.record.line(
                    f"client sends {answer.request_id} {method} {target}, {len(body)} bytes, "
                    f"time limit {limit_ms} ms, to {self.gateway.name}"
                )
                head = f"{method} {target} HTTP/1.1\r\n"
                head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
                self.writer.write(head.encode("latin-1") + b"\r\n" + body)
                await self.writer.drain()
                await self._read(answer, on_body)
        except TimeoutError:
            answer.failure = "time limit passed"
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.failure = f"connection ended: {type(error).__name__}"
        answer.ended_at = time.monotonic()
        whole = "whole" if answer.is_whole else f"not whole ({answer.failure})"
        self.bed.record.line(
            f"client has for {answer.request_id}: status {answer.status or 'none'}, {whole}, "
            f"{len(answer.body)} bytes {answer.body[:60]!r}"
        )
        return answer

    async def _read(self, answer, on_body):
        first, answer.headers = await read_head(self.reader)
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await self._line()).split(b";")[0], 16):
                answer.body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
                if on_body is not None:
                    on_body(answer)
            await self.reader.readline()
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await self.reader.readexactly(length)
        answer.is_whole = True

    async def _line(self):
        line = await self.reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        return line


class Bed:
    """All stand-ins and processes of one script."""

    def __init__(self):
        self.record = Record(HERE / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="skylarkferry-review-"))
        self.rng = random.Random(os.getpid() ^ time.time_ns())
        self.net = f"127.{self.rng.randint(20, 220)}.{self.rng.randint(1, 250)}"
        self.ip = f"{self.net}.1"
        self.store = Store(self.ip, self.record)
        self.gateways, self.replicas, self.runs, self.answers = [], [], [], []
        self.ids = itertools.count(1)
        self.config_version = 0

    def gateway_ip(self, number):
        return f"{self.net}.{10 + number}"

    def next_id(self):
        return f"{self.rng.getrandbits(32):08x}{next(self.ids):08x}"

    def configure(self, routes, services, **limits):
        """Write a desired state; return when the store confirmed it."""
        self.config_version += self.rng.randint(1, 4)
        document = {"version": self.config_version, "routes": routes, "services": services,
                    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, **limits}}
        at = self.store.put("op", "config", document)
        self.record.line(f"store confirms desired state {self.config_version}")
        return at

    async def add_replica(self, name, service, slots=6, kind=Replica):
        replica = kind(self, name, service, slots)
        await replica.start()
        self.replicas.append(replica)
        self.record.line(f"store confirms: {name} of {service} is ready, {slots} slots")
        return replica

    async def add_gateway(self, **bounds):
        gateway = Gateway(self, len(self.gateways) + 1, **bounds)
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    def connection(self, gateway):
        return Connection(self, gateway)

    def runs_of(self, request_id):
        return [run for run in self.runs if run.request_id == request_id]

    async def close(self):
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                await gateway.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(prefix, kind, service, **options):
    return {"name": prefix, "host": HOST, "prefix": prefix, "kind": kind, "service": service,
            "timeoutMs": 3000, "targetLatencyMs": 200, "maxAttempts": 2, "priority": 1, **options}


def engine_service(name, slots=16, kv=500000, tokens_per_event=22):
    return {"name": name, "engine": {"slots": slots, "kvCapacity": kv,
                                     "tokensPerEvent": tokens_per_event}}


def main(case):
    """Run ``case(bed)``, which returns the ways in which the rule was broken."""

    async def run():
        bed = Bed()
        bed.record.line(f"TROUBLE={int(TROUBLE)}")
        try:
            async with asyncio.timeout(110):
                return bed, await case(bed)
        except (CannotRunError, TimeoutError) as error:
            bed.record.line(f"the case could not run: {error!r}")
            return bed, None
        finally:
            await bed.close()

    if not (ROOT / "target" / "deps" / "skylarkferry_platform").is_dir():
        print("build first: the command of the deploy file", file=sys.stderr)
        sys.exit(EXIT_NOT_RUN)
    bed, broken = asyncio.run(run())
    if broken is None:
        sys.exit(EXIT_NOT_RUN)
    for text in broken:
        bed.record.line(f"BROKEN: {text}")
    bed.record.line(f"result: {'broken' if broken else 'held'}")
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
