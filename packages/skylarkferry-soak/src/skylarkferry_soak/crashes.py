"""Requests that crash the upstreams that run them, and the crashes themselves."""

import itertools
import random
from enum import Enum

import anyio

from skylarkferry_soak.callers import Caller, LoadBalancer
from skylarkferry_soak.checks import CRASH_MARKER, MAX_TURN_TOKENS
from skylarkferry_soak.observations import Observations, RoutePrefix, UpstreamCrash
from skylarkferry_soak.proxy import LinkState
from skylarkferry_soak.testbed import Testbed, Upstream
from skylarkferry_standins.wire_server import Ending, WireReply

_REPEAT_S = 0.7
"""Pause between two sendings of a crashing request."""
_DOWN_S = 2.0
"""Longest time until a crashed upstream is back; the users' replicas take some seconds."""
_PARTIAL_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nid: 1"


class CrashEnding(Enum):
    """How the connections of a crashing process end."""

    RESET = "reset"
    CLOSE = "close"
    CLOSE_IN_RESPONSE = "close_in_response"
    SILENT = "silent"


class UpstreamCrasher:
    """Crash each upstream that runs a crashing request, and start it again."""

    def __init__(self, testbed: Testbed, observations: Observations, rng: random.Random) -> None:
        self.testbed = testbed
        self.observations = observations
        self.rng = rng
        self.down: set[str] = set()

    async def crash(self, upstream: Upstream) -> WireReply:
        """Return the reply of a process that ends; its address changes before the reply."""
        ending = self.rng.choice(list(CrashEnding))
        self.observations.crashes.append(UpstreamCrash(upstream.name, anyio.current_time()))
        if upstream.name not in self.down:
            self.down.add(upstream.name)
            down_s = self.rng.choice((0.0, self.rng.uniform(0.2, _DOWN_S)))
            if down_s:
                await upstream.link.stop_listening()
            self.testbed.tasks.start_soon(self._restart, upstream, ending, down_s)
        match ending:
            case CrashEnding.RESET:
                return WireReply(raw=b"", ending=Ending.RESET)
            case CrashEnding.SILENT:
                return WireReply(raw=b"", ending=Ending.SILENT)
            case CrashEnding.CLOSE:
                return WireReply(raw=b"", closes=True)
        return WireReply(raw=_PARTIAL_RESPONSE, closes=True)

    async def _restart(self, upstream: Upstream, ending: CrashEnding, down_s: float) -> None:
        if ending is CrashEnding.SILENT:
            upstream.link.state = LinkState.SILENT
        else:
            await upstream.link.reset_connections(1.0, self.rng)
        await anyio.sleep(down_s)
        upstream.link.state = LinkState.PASS
        upstream.replica.born_ms += 1
        if upstream.state == "ready":
            self.testbed.register_upstream(upstream)
        if down_s:
            await upstream.link.run(self.testbed.tasks)
        self.down.discard(upstream.name)


class CrashingRequestCaller(Caller):
    """Send one crashing request again and again, through any gateway."""

    def __init__(
        self, name: str, balancer: LoadBalancer, observations: Observations, rng: random.Random
    ) -> None:
        super().__init__(name, balancer, observations, rng)
        self.route = rng.choice((RoutePrefix.ORDER, RoutePrefix.GET, RoutePrefix.TURN))
        self.body = CRASH_MARKER + name.encode()

    async def run(self) -> None:
        """Send the request until cancelled."""
        for number in itertools.count():
            attempt = self._new_attempt(self.route, program=self.name, budget=1_000_000)
            attempt.body = self.body
            attempt.request_id = f"{self.name}-{number}"
            headers = [
                ("Skylarkferry-Program-Id", self.name),
                ("Skylarkferry-Session-Id", self.name),
            ]
            if self.route is RoutePrefix.TURN:
                headers.append(("Skylarkferry-Token-Budget", str(attempt.budget)))
                headers.append(("Skylarkferry-Token-Usage", f"50,{MAX_TURN_TOKENS}"))
            await self._send(attempt, f"{self.route.value}1", headers)
            await anyio.sleep(self.rng.uniform(0.0, _REPEAT_S))
