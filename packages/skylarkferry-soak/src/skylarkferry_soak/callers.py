"""Callers that run programs of dependent turns and tool calls and record the responses."""

import itertools
import random

import anyio
import h11
import msgspec
from anyio.abc import SocketStream

from skylarkferry_soak.checks import MAX_TURN_TOKENS, REQUEST_DEADLINE_S
from skylarkferry_soak.observations import Attempt, Observations, RoutePrefix

HOST = "shop.example"
_CONNECT_TIMEOUT_S = 1.0
"""Connection timeout that the protocol sets for clients."""
_IDLE_LIMIT_S = 10.0
"""Idle time after which a connection is not reused; below 4/5 of the gateway's 15 s limit."""
_READINESS_INTERVAL_S = 0.5
"""Interval of readiness probes: half of the platform's interval."""
_REQUEST_ID = b"skylarkferry-request-id"
_SIGNATURE = b"skylarkferry-response-signature"
_SIGNER_PREFIX = "signed by "
RESUMABLE = (RoutePrefix.RESUME, RoutePrefix.RESUME_ONCE)
_MAX_RESUMPTIONS = 2
_MAX_RESUME_PAUSE_S = 1.0
"""Longest pause before a stream is resumed; gateways that were killed are back within it."""
_LEAVING = b"server-leaving"
_LIMIT = b"server-limit"


class GatewayEndpoint(msgspec.Struct):
    """Addresses of a gateway, and its readiness according to the load balancer."""

    name: str
    address: str
    ready_address: str
    is_ready: bool = True
    failed_probes: int = 0


class LoadBalancer:
    """Probes the readiness of each gateway and assigns new connections to ready ones."""

    def __init__(self, endpoints: list[GatewayEndpoint], rng: random.Random) -> None:
        self.endpoints = endpoints
        self.rng = rng

    async def run(self) -> None:
        """Probe until cancelled; a gateway is unready after two failed probes in a row."""
        while True:
            async with anyio.create_task_group() as tasks:
                for endpoint in self.endpoints:
                    tasks.start_soon(self._probe, endpoint)
            await anyio.sleep(_READINESS_INTERVAL_S)

    async def _probe(self, endpoint: GatewayEndpoint) -> None:
        attempt = Attempt("ready", RoutePrefix.GET, endpoint.name, anyio.current_time())
        connection = Connection(endpoint, endpoint.ready_address)
        with anyio.move_on_after(_CONNECT_TIMEOUT_S):
            await connection.exchange(attempt, "GET", "/api/readiness", [])
        await connection.close()
        endpoint.failed_probes = 0 if attempt.status == 200 else endpoint.failed_probes + 1
        endpoint.is_ready = endpoint.failed_probes < 2

    def pick_endpoint(self) -> GatewayEndpoint:
        """Return a ready gateway for a new connection, or any gateway if none is ready."""
        ready = [item for item in self.endpoints if item.is_ready]
        return self.rng.choice(ready or self.endpoints)


class Connection:
    """An HTTP/1.1 connection of a caller, opened by its first request."""

    def __init__(self, endpoint: GatewayEndpoint, address: str = "") -> None:
        self.endpoint = endpoint
        self.address = address or endpoint.address
        self.stream: SocketStream | None = None
        self.http = h11.Connection(h11.CLIENT)
        self.last_used_at = anyio.current_time()

    async def exchange(
        self, attempt: Attempt, method: str, target: str, headers: list[tuple[str, str]]
    ) -> None:
        """Send a request and record its response in ``attempt``.

        Returns early if the connection cannot be opened or breaks.
        """
        try:
            if self.stream is None:
                host, _, port = self.address.rpartition(":")
                with anyio.fail_after(_CONNECT_TIMEOUT_S):
                    self.stream = await anyio.connect_tcp(host, int(port))
            await self.stream.send(self._encode_request(attempt, method, target, headers))
            attempt.is_sent = True
            await self._read_response(attempt)
        except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        except (anyio.EndOfStream, h11.RemoteProtocolError):
            return

    def _encode_request(
        self, attempt: Attempt, method: str, target: str, headers: list[tuple[str, str]]
    ) -> bytes:
        fields = [("Host", HOST), ("Content-Length", str(len(attempt.body))), *headers]
        parts = [self.http.send(h11.Request(method=method, target=target, headers=fields))]
        if attempt.body:
            parts.append(self.http.send(h11.Data(data=attempt.body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def _read_response(self, attempt: Attempt) -> None:
        assert self.stream is not None
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.stream.receive())
            elif isinstance(event, h11.Response):
                fields = dict(event.headers)
                attempt.status = event.status_code
                attempt.response_request_id = fields.get(_REQUEST_ID, b"").decode()
                attempt.is_signed = _SIGNATURE in fields
                attempt.signer = fields.get(_SIGNATURE, b"").decode().removeprefix(_SIGNER_PREFIX)
                attempt.says_leaving = _LEAVING in fields
                attempt.says_limited = _LIMIT in fields
            elif isinstance(event, h11.Data):
                attempt.response_body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                attempt.is_complete = True
                return
            else:
                return

    def prepare_next_request(self) -> bool:
        """Prepare the next request; return False if the connection cannot be reused."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        self.last_used_at = anyio.current_time()
        return True

    async def close(self) -> None:
        """Close the connection."""
        if self.stream is not None:
            await anyio.aclose_forcefully(self.stream)


class Caller:
    """A client that runs programs one after the other until it is cancelled."""

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
            await self._run_program(f"{self.name}-p{next(self.numbers)}")
            await anyio.sleep(self.rng.uniform(0.0, 0.2))

    async def _run_program(self, program: str) -> None:
        route = self.rng.choice((RoutePrefix.TURN, RoutePrefix.KEPT, RoutePrefix.KEPT, *RESUMABLE))
        budget = self.rng.choice((MAX_TURN_TOKENS, 300, 1_000, 5_000))
        previous = ""
        for _ in range(self.rng.randint(1, 8)):
            turn = await self._run_turn(program, route, budget, previous)
            if not turn.is_complete or turn.status != 200:
                if turn.status in (402, 404):
                    return
                continue
            previous = turn.request_id if route is RoutePrefix.KEPT else ""
            await self._call_tool(program)

    async def _run_turn(
        self, program: str, route: RoutePrefix, budget: int, previous: str
    ) -> Attempt:
        headers = [
            ("Skylarkferry-Program-Id", program),
            ("Skylarkferry-Session-Id", program),
            ("Skylarkferry-Token-Budget", str(budget)),
            ("Skylarkferry-Token-Usage", f"50,{MAX_TURN_TOKENS}"),
        ]
        if previous:
            headers.append(("Skylarkferry-Previous-Turn", previous))
        attempt = self._new_attempt(route, program=program, budget=budget, previous=previous)
        await self._send(attempt, f"{route.value}1", headers)
        for _ in range(_MAX_RESUMPTIONS):
            last_event_id = attempt.last_event_id + attempt.response_body.count(b"\n\n")
            if route not in RESUMABLE or attempt.is_complete or not last_event_id:
                break
            attempt = await self._resume(attempt, last_event_id, headers)
        return attempt

    async def _resume(
        self, broken: Attempt, last_event_id: int, headers: list[tuple[str, str]]
    ) -> Attempt:
        """Resume a stream that broke after an event, at any gateway."""
        await anyio.sleep(self.rng.uniform(0.0, _MAX_RESUME_PAUSE_S))
        attempt = self._new_attempt(broken.route, program=broken.program, budget=broken.budget)
        attempt.resumes = broken.resumes or broken.request_id
        attempt.last_event_id = last_event_id
        resumption = [("Last-Event-Id", str(last_event_id)), ("Resumes", attempt.resumes)]
        await self._send(attempt, f"{broken.route.value}1", [*headers, *resumption])
        return attempt

    async def _call_tool(self, program: str) -> None:
        route = self.rng.choice((RoutePrefix.ORDER, RoutePrefix.GET))
        await self._send(self._new_attempt(route, program=program), f"{route.value}1", [])

    def _new_attempt(
        self, route: RoutePrefix, *, program: str = "", budget: int = 0, previous: str = ""
    ) -> Attempt:
        request_id = f"{self.name}-{next(self.numbers)}"
        attempt = Attempt(
            request_id,
            route,
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
        connection = await self._take_connection()
        attempt.gateway = connection.endpoint.name
        attempt.sent_at = anyio.current_time()
        fields = [
            ("Skylarkferry-Request-Id", attempt.request_id),
            ("Skylarkferry-Deadline-Ms", str(int(REQUEST_DEADLINE_S * 1_000))),
            *headers,
        ]
        try:
            with anyio.move_on_after(REQUEST_DEADLINE_S):
                await connection.exchange(attempt, "POST", target, fields)
        finally:
            attempt.ended_at = anyio.current_time()
        if attempt.is_complete and connection.prepare_next_request():
            self.connection = connection
        else:
            await connection.close()

    async def _take_connection(self) -> Connection:
        """Return the idle connection if it can be reused, or else a new one."""
        connection, self.connection = self.connection, None
        if (
            connection is not None
            and anyio.current_time() - connection.last_used_at < _IDLE_LIMIT_S
        ):
            return connection
        if connection is not None:
            await connection.close()
        return Connection(self.balancer.pick_endpoint())

    async def probe(self, endpoint: GatewayEndpoint, version: int) -> None:
        """Send one gateway a request for the route that configuration version ``version`` added."""
        attempt = self._new_attempt(RoutePrefix.PROBE)
        attempt.config_version = version
        await self._exchange(attempt, endpoint, f"/added-{version}/")

    async def send_to(self, endpoint: GatewayEndpoint, route: RoutePrefix) -> Attempt:
        """Send one request to one gateway and return it with its response."""
        attempt = self._new_attempt(route)
        await self._exchange(attempt, endpoint, f"{route.value}1")
        return attempt

    async def _exchange(self, attempt: Attempt, endpoint: GatewayEndpoint, target: str) -> None:
        attempt.gateway = endpoint.name
        attempt.sent_at = anyio.current_time()
        connection = Connection(endpoint)
        fields = [("Skylarkferry-Request-Id", attempt.request_id)]
        with anyio.move_on_after(REQUEST_DEADLINE_S):
            await connection.exchange(attempt, "POST", target, fields)
        attempt.ended_at = anyio.current_time()
        await connection.close()
