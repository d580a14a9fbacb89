"""Carry out a plan's faults, and note what they disturb and for how long."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio

from skylarkferry_soak.callers import Caller
from skylarkferry_soak.observations import Leaving, Observations, Span
from skylarkferry_soak.plans import Fault, FaultKind
from skylarkferry_soak.proxy import Link, LinkState
from skylarkferry_soak.world import GRACE_S, GatewayProcess, Upstream, World
from skylarkferry_standins.replica import Behaviour
from skylarkferry_standins.row_store import StoreFault

_SLOW_S = 0.25
"""Delay of a slow store's answers: 60 times the usual 4 ms."""
_SHARE = 0.3
"""Share of calls or requests that a fault hits; about that of the users' bench."""
_APPLY_S = 2.0
"""Time in which a change of the configuration is in force (the platform's bound)."""
_BAD = (
    Behaviour.SHED,
    Behaviour.FAIL,
    Behaviour.LOSE_ANSWER,
    Behaviour.SILENT,
    Behaviour.TRUNCATE,
    Behaviour.EXTRA,
    Behaviour.UNSIGNED,
    Behaviour.UNFRAMED_RESET,
    Behaviour.STALE_FIRST,
    Behaviour.RESET_UNRUN,
    Behaviour.BUSY_AFTER_ALL,
)


class Injector:
    """Carry out faults side by side; each ends what it began."""

    def __init__(
        self, world: World, seen: Observations, prober: Caller, seed: random.Random
    ) -> None:
        self.world = world
        self.seen = seen
        self.prober = prober
        self.seed = seed
        self.numbers = iter(range(1, 1_000))
        self.actions: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.PAUSE: self._pause,
            FaultKind.STOP: self._stop,
            FaultKind.KILL_ALL: self._kill_all,
            FaultKind.RELOAD: self._reload,
            FaultKind.STORE_REFUSES: lambda it: self._store(it, StoreFault.REFUSED, 1.0),
            FaultKind.STORE_REFUSES_ONE: lambda it: self._own_store(it, LinkState.REFUSE),
            FaultKind.STORE_SILENT: lambda it: self._own_store(it, LinkState.SILENT),
            FaultKind.STORE_LOSES_ANSWERS: lambda it: self._store(it, StoreFault.LOST, _SHARE),
            FaultKind.STORE_LATE: lambda it: self._store(it, StoreFault.LATE, _SHARE),
            FaultKind.STORE_SLOW: self._store_slow,
            FaultKind.STORE_FORGETS: self._store_forgets,
            FaultKind.UPSTREAM_MISBEHAVES: self._misbehave,
            FaultKind.UPSTREAM_DOWN: self._upstream_down,
            FaultKind.UPSTREAM_LEAVES: self._upstream_leaves,
            FaultKind.UPSTREAM_REPLACED: self._upstream_replaced,
            FaultKind.LINK_DELAYED: lambda it: self._link(it, LinkState.DELAY),
            FaultKind.LINK_SILENT: lambda it: self._link(it, LinkState.SILENT),
            FaultKind.LINK_DEAF: lambda it: self._link(it, LinkState.DEAF),
            FaultKind.LINK_RESET: self._link_reset,
            FaultKind.CONFIG: self._config,
        }

    async def run(self, plan: list[Fault]) -> None:
        """Carry out a plan and return when its last fault has ended."""
        began = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for fault in plan:
                await anyio.sleep_until(began + fault.at)
                tasks.start_soon(self._carry_out, fault)

    async def _carry_out(self, fault: Fault) -> None:
        await self.actions[fault.kind](fault)

    def _begin(self, name: str, fault: Fault) -> Span:
        span = Span(name, fault.kind.value, anyio.current_time(), float("inf"))
        self.seen.spans.append(span)
        return span

    def _gateway(self, fault: Fault) -> GatewayProcess:
        return self.world.gateways[int(fault.pick * len(self.world.gateways))]

    def _upstream(self, fault: Fault) -> Upstream:
        ready = [item for item in self.world.upstreams.values() if item.state == "ready"]
        return ready[int(fault.pick * len(ready))]

    async def _kill(self, fault: Fault) -> None:
        await self._kill_one(self._gateway(fault), fault)

    async def _restart(self, gateway: GatewayProcess, number: signal.Signals) -> None:
        """Signal a gateway and start it again, unless another restart does that already."""
        gateway.signal(number)
        if gateway.is_restarting:
            await gateway.restarted.wait()
            return
        gateway.is_restarting = True
        with anyio.move_on_after(GRACE_S):
            await gateway.ended()
        gateway.signal(signal.SIGKILL)
        await gateway.ended()
        self.world.boot(gateway)
        gateway.is_restarting = False
        gateway.restarted.set()
        gateway.restarted = anyio.Event()

    async def _kill_one(self, gateway: GatewayProcess, fault: Fault) -> None:
        span = self._begin(gateway.name, fault)
        await self._restart(gateway, signal.SIGKILL)
        span.ended_at = anyio.current_time()

    async def _kill_all(self, fault: Fault) -> None:
        async with anyio.create_task_group() as tasks:
            for gateway in self.world.gateways:
                tasks.start_soon(self._kill_one, gateway, fault)

    async def _pause(self, fault: Fault) -> None:
        gateway = self._gateway(fault)
        span = self._begin(gateway.name, fault)
        gateway.signal(signal.SIGSTOP)
        await anyio.sleep(fault.for_s)
        gateway.signal(signal.SIGCONT)
        span.ended_at = anyio.current_time()

    async def _stop(self, fault: Fault) -> None:
        """Stop a gateway as planned; only its successor's start counts as a disturbance."""
        gateway = self._gateway(fault)
        stop = Span(gateway.name, fault.kind.value, anyio.current_time(), float("inf"))
        self.seen.stops.append(stop)
        await self._restart(gateway, signal.SIGTERM)
        stop.ended_at = anyio.current_time()

    async def _reload(self, fault: Fault) -> None:
        gateway = self._gateway(fault)
        gateway.write_settings()
        gateway.signal(signal.SIGHUP)

    async def _store(self, fault: Fault, kind: StoreFault, share: float) -> None:
        span = self._begin("", fault)
        self.world.store_fails(kind, self.seed, share)
        await anyio.sleep(fault.for_s)
        self.world.store_recovers()
        span.ended_at = anyio.current_time()

    async def _own_store(self, fault: Fault, state: LinkState) -> None:
        gateway = self._gateway(fault)
        span = self._begin(gateway.name, fault)
        await gateway.store.reset_some(1.0 if state is LinkState.REFUSE else 0.0, self.seed)
        await self._set_link(gateway.store, state, fault.for_s)
        span.ended_at = anyio.current_time()

    async def _set_link(self, link: Link, state: LinkState, for_s: float) -> None:
        link.state = state
        await anyio.sleep(for_s)
        link.state = LinkState.PASS

    async def _store_slow(self, fault: Fault) -> None:
        span = self._begin("", fault)
        self.world.store_slow_s = _SLOW_S
        await anyio.sleep(fault.for_s)
        self.world.store_slow_s = 0.0
        span.ended_at = anyio.current_time()

    async def _store_forgets(self, fault: Fault) -> None:
        span = self._begin("", fault)
        self.world.store.discard_history()
        span.ended_at = anyio.current_time()

    async def _misbehave(self, fault: Fault) -> None:
        upstream = self._upstream(fault)
        span = self._begin("", fault)
        bad = self.seed.choice(_BAD)
        upstream.replica.behaviour = lambda request: (
            bad if self.seed.random() < _SHARE else Behaviour.SERVE
        )
        await anyio.sleep(fault.for_s)
        upstream.replica.behaviour = lambda request: Behaviour.SERVE
        span.ended_at = anyio.current_time()

    async def _upstream_down(self, fault: Fault) -> None:
        upstream = self._upstream(fault)
        span = self._begin("", fault)
        await upstream.link.reset_some(1.0, self.seed)
        await self._set_link(upstream.link, LinkState.REFUSE, fault.for_s)
        span.ended_at = anyio.current_time()

    async def _upstream_leaves(self, fault: Fault) -> None:
        """Let an upstream leave, with a successor at an address of its own."""
        upstream = self._upstream(fault)
        name = f"{upstream.service}-new-{next(self.numbers)}"
        await self.world.add_upstream(name, upstream.service)
        await anyio.sleep(1.0)
        upstream.state = "draining"
        self.world.list_upstream(upstream)
        self.seen.leavings.append(Leaving(upstream.name, anyio.current_time()))
        await anyio.sleep(fault.for_s + _APPLY_S)
        self.world.unlist(upstream)

    async def _upstream_replaced(self, fault: Fault) -> None:
        """Give an upstream's address to another service without a word."""
        upstream = self._upstream(fault)
        span = self._begin("", fault)
        other = "tools" if upstream.service == "engine" else "engine"
        await self.world.add_upstream(
            f"{upstream.service}-new-{next(self.numbers)}", upstream.service
        )
        upstream.state = "gone"
        await upstream.link.reset_some(1.0, self.seed)
        link = upstream.link
        await self.world.add_upstream(f"{other}-reused-{next(self.numbers)}", other, link)
        await anyio.sleep(fault.for_s)
        self.world.unlist(upstream)
        span.ended_at = anyio.current_time()

    async def _link(self, fault: Fault, state: LinkState) -> None:
        links = self.world.links()
        link = links[int(fault.pick * len(links))]
        span = self._begin("", fault)
        await self._set_link(link, state, fault.for_s)
        span.ended_at = anyio.current_time()

    async def _link_reset(self, fault: Fault) -> None:
        links = self.world.links()
        span = self._begin("", fault)
        await links[int(fault.pick * len(links))].reset_some(0.5, self.seed)
        span.ended_at = anyio.current_time()

    async def _config(self, fault: Fault) -> None:
        """Add a route and ask every gateway for it, again and again."""
        self.world.version += self.seed.randint(1, 5)
        number = self.world.version
        self.world.added.append(number)
        self.world.configure()
        for _ in range(4):
            await anyio.sleep(self.seed.uniform(0.2, _APPLY_S))
            for gateway in self.world.gateways:
                await self.prober.probe(gateway.entrance, number)
