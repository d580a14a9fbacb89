"""Callers: programs of dependent turns and tool calls, which keep what they saw."""

import itertools
import random

import anyio
import h11
import msgspec
from anyio.abc import SocketStream

from skylarkferry_soak.checks import MAX_TURN_TOKENS
from skylarkferry_soak.observations import Attempt, Observations, RoutePrefix

HOST = "shop.example"
_DEADLINE_S = 3.0
"""Deadline of a request: that of most on the users' sheets."""
_CONNECT_S = 1.0
"""Time that clients allow a new connection (protocol)."""
_IDLE_S = 10.0
"""Idle limit of a kept connection: under four fifths of the gateway's 15 s."""
_READY_S = 0.5
"""Interval of readiness questions: twice the platform's rate."""
_REQUEST_ID = b"skylarkferry-request-id"
_SIGNATURE = b"skylarkferry-response-signature"


class GatewayEndpoint(msgspec.Struct):
    """A gateway as callers reach it; ``is_ready`` is what a balancer believes."""

    name: str
    address: str
    ready_address: str
    is_ready: bool = True
    misses: int = 0


class LoadBalancer:
    """Ask each gateway whether it is ready, and give callers one of those that are."""

    def __init__(self, endpoints: list[GatewayEndpoint], rng: random.Random) -> None:
        self.endpoints = endpoints
        self.rng = rng

    async def run(self) -> None:
        """Ask until cancelled; two misses take a gateway out."""
        while True:
            async with anyio.create_task_group() as tasks:
                for endpoint in self.endpoints:
                    tasks.start_soon(self._ask, endpoint)
            await anyio.sleep(_READY_S)

    async def _ask(self, endpoint: GatewayEndpoint) -> None:
        attempt = Attempt("ready", RoutePrefix.GET, endpoint.name, anyio.current_time())
        connection = Connection(endpoint, endpoint.ready_address)
        with anyio.move_on_after(_CONNECT_S):
            await connection.exchange(attempt, "GET", "/api/readiness", [])
        await connection.close()
        endpoint.misses = 0 if attempt.status == 200 else endpoint.misses + 1
        endpoint.is_ready = endpoint.misses < 2

    def pick(self) -> GatewayEndpoint:
        """Return a gateway for a new connection."""
        ready = [item for item in self.endpoints if item.is_ready]
        return self.rng.choice(ready or self.endpoints)


class Connection:
    """One connection of a caller; it is used until it ends."""

    def __init__(self, endpoint: GatewayEndpoint, address: str = "") -> None:
        self.endpoint = endpoint
        self.address = address or endpoint.address
        self.stream: SocketStream | None = None
        self.http = h11.Connection(h11.CLIENT)
        self.used_at = anyio.current_time()

    async def exchange(
        self, attempt: Attempt, method: str, target: str, headers: list[tuple[str, str]]
    ) -> None:
        """Send a request and note its answer in ``attempt``; a broken connection ends it."""
        try:
            if self.stream is None:
                host, _, port = self.address.rpartition(":")
                with anyio.fail_after(_CONNECT_S):
                    self.stream = await anyio.connect_tcp(host, int(port))
            await self.stream.send(self._encoded(attempt, method, target, headers))
            attempt.is_sent = True
            await self._read(attempt)
        except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        except (anyio.EndOfStream, h11.RemoteProtocolError):
            return

    def _encoded(
        self, attempt: Attempt, method: str, target: str, headers: list[tuple[str, str]]
    ) -> bytes:
        fields = [("Host", HOST), ("Content-Length", str(len(attempt.body))), *headers]
        parts = [self.http.send(h11.Request(method=method, target=target, headers=fields))]
        if attempt.body:
            parts.append(self.http.send(h11.Data(data=attempt.body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def _read(self, attempt: Attempt) -> None:
        assert self.stream is not None
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.stream.receive())
            elif isinstance(event, h11.Response):
                fields = dict(event.headers)
                attempt.status = event.status_code
                attempt.answer_id = fields.get(_REQUEST_ID, b"").decode()
                attempt.is_signed = _SIGNATURE in fields
            elif isinstance(event, h11.Data):
                attempt.answer += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                attempt.is_whole = True
                return
            else:
                return

    def renew(self) -> bool:
        """Return whether another request may follow on the connection."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        self.used_at = anyio.current_time()
        return True

    async def close(self) -> None:
        """Close the connection."""
        if self.stream is not None:
            await anyio.aclose_forcefully(self.stream)


class Caller:
    """One client: runs programs one after the other until it is cancelled."""

    def __init__(
        self, name: str, balancer: LoadBalancer, observations: Observations, rng: random.Random
    ) -> None:
        self.name = name
        self.balancer = balancer
        self.observations = observations
        self.rng = rng
        self.numbers = itertools.count()
        self.connection: Connection | None = None

    async def run(self) -> None:
        """Run programs until cancelled."""
        while True:
            await self._program(f"{self.name}-p{next(self.numbers)}")
            await anyio.sleep(self.rng.uniform(0.0, 0.2))

    async def _program(self, program: str) -> None:
        path = self.rng.choice(
            (RoutePrefix.TURN, RoutePrefix.KEPT, RoutePrefix.KEPT, RoutePrefix.RESUME)
        )
        budget = self.rng.choice((MAX_TURN_TOKENS, 300, 1_000, 5_000))
        previous = ""
        for _ in range(self.rng.randint(1, 8)):
            turn = await self._turn(program, path, budget, previous)
            if not turn.is_whole or turn.status != 200:
                if turn.status in (402, 404):
                    return
                continue
            previous = turn.request_id if path is RoutePrefix.KEPT else ""
            await self._tool(program)

    async def _turn(self, program: str, path: RoutePrefix, budget: int, previous: str) -> Attempt:
        headers = [
            ("Skylarkferry-Program-Id", program),
            ("Skylarkferry-Session-Id", program),
            ("Skylarkferry-Token-Budget", str(budget)),
            ("Skylarkferry-Token-Usage", f"50,{MAX_TURN_TOKENS}"),
        ]
        if previous:
            headers.append(("Skylarkferry-Previous-Turn", previous))
        attempt = self._attempt(path, program=program, budget=budget, previous=previous)
        await self._send(attempt, f"{path.value}1", headers)
        return attempt

    async def _tool(self, program: str) -> None:
        path = self.rng.choice((RoutePrefix.ORDER, RoutePrefix.GET))
        await self._send(self._attempt(path, program=program), f"{path.value}1", [])

    def _attempt(
        self, path: RoutePrefix, *, program: str = "", budget: int = 0, previous: str = ""
    ) -> Attempt:
        request_id = f"{self.name}-{next(self.numbers)}"
        attempt = Attempt(
            request_id,
            path,
            "",
            anyio.current_time(),
            request_id.encode() + b" ",
            program=program,
            budget=budget,
            previous=previous,
        )
        self.observations.attempts.append(attempt)
        return attempt

    async def _send(self, attempt: Attempt, target: str, headers: list[tuple[str, str]]) -> None:
        connection = await self._taken()
        attempt.gateway = connection.endpoint.name
        attempt.sent_at = anyio.current_time()
        fields = [
            ("Skylarkferry-Request-Id", attempt.request_id),
            ("Skylarkferry-Deadline-Ms", str(int(_DEADLINE_S * 1_000))),
            *headers,
        ]
        try:
            with anyio.move_on_after(_DEADLINE_S):
                await connection.exchange(attempt, "POST", target, fields)
        finally:
            attempt.ended_at = anyio.current_time()
        if attempt.is_whole and connection.renew():
            self.connection = connection
        else:
            await connection.close()

    async def _taken(self) -> Connection:
        """Return the kept connection, or a new one where none can be used."""
        kept, self.connection = self.connection, None
        if kept is not None and anyio.current_time() - kept.used_at < _IDLE_S:
            return kept
        if kept is not None:
            await kept.close()
        return Connection(self.balancer.pick())

    async def probe(self, endpoint: GatewayEndpoint, number: int) -> None:
        """Ask one gateway for a route that a version of the configuration added."""
        attempt = self._attempt(RoutePrefix.PROBE)
        attempt.number = number
        await self._ask(attempt, endpoint, f"/added-{number}/")

    async def ask(self, endpoint: GatewayEndpoint, path: RoutePrefix) -> Attempt:
        """Send one request to one gateway and return what came of it."""
        attempt = self._attempt(path)
        await self._ask(attempt, endpoint, f"{path.value}1")
        return attempt

    async def _ask(self, attempt: Attempt, endpoint: GatewayEndpoint, target: str) -> None:
        attempt.gateway = endpoint.name
        attempt.sent_at = anyio.current_time()
        connection = Connection(endpoint)
        fields = [("Skylarkferry-Request-Id", attempt.request_id)]
        with anyio.move_on_after(_DEADLINE_S):
            await connection.exchange(attempt, "POST", target, fields)
        attempt.ended_at = anyio.current_time()
        await connection.close()
