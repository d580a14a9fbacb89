"""Inject the faults of a plan and record which gateways they disturb, and when."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio

from skylarkferry_soak.callers import Caller
from skylarkferry_soak.checks import DRAIN_NOTICE_S, LIMIT_WINDOW_S, UNDISTURBED_S
from skylarkferry_soak.observations import (
    DrainStart,
    FaultInterval,
    LimitInterval,
    Observations,
)
from skylarkferry_soak.plans import Fault, FaultKind
from skylarkferry_soak.proxy import Link, LinkState
from skylarkferry_soak.testbed import (
    ENGINE_VERSIONS,
    GRACE_S,
    GatewayProcess,
    Testbed,
    Upstream,
)
from skylarkferry_standins.replica import Behaviour
from skylarkferry_standins.row_store import StoreFault
from skylarkferry_standins.wire_server import WireRequest

_STORE_DELAY_S = 0.25
"""Response delay of a slow store: 60 times the usual 4 ms."""
_LIMIT_HEADER = "Server-Limit"
_FAULT_SHARE = 0.3
"""Share of calls or requests that a fault affects; close to the share in the users' benchmark."""
_CONFIG_APPLY_S = 2.0
"""Time until a configuration change is in effect (the platform's bound)."""
_MISBEHAVIOURS = (
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


class FaultInjector:
    """Injects faults concurrently and reverts each after its duration."""

    def __init__(
        self, testbed: Testbed, observations: Observations, prober: Caller, rng: random.Random
    ) -> None:
        self.testbed = testbed
        self.observations = observations
        self.prober = prober
        self.rng = rng
        self.upstream_numbers = iter(range(1, 1_000))
        self.actions: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.PAUSE: self._pause,
            FaultKind.STOP: self._stop,
            FaultKind.KILL_ALL: self._kill_all,
            FaultKind.RELOAD: self._reload,
            FaultKind.STORE_REFUSES: lambda fault: self._disturb_store(
                fault, StoreFault.REFUSED, 1.0
            ),
            FaultKind.STORE_REFUSES_ONE: lambda fault: self._disturb_gateway_store(
                fault, LinkState.REFUSE
            ),
            FaultKind.STORE_SILENT: lambda fault: self._disturb_gateway_store(
                fault, LinkState.SILENT
            ),
            FaultKind.STORE_LOSES_ANSWERS: lambda fault: self._disturb_store(
                fault, StoreFault.LOST, _FAULT_SHARE
            ),
            FaultKind.STORE_LATE: lambda fault: self._disturb_store(
                fault, StoreFault.LATE, _FAULT_SHARE
            ),
            FaultKind.STORE_SLOW: self._store_slow,
            FaultKind.STORE_FORGETS: self._store_forgets,
            FaultKind.UPSTREAM_MISBEHAVES: self._misbehave,
            FaultKind.UPSTREAM_DOWN: self._upstream_down,
            FaultKind.UPSTREAM_LEAVES: self._upstream_leaves,
            FaultKind.UPSTREAM_ANNOUNCES: self._upstream_announces,
            FaultKind.UPSTREAM_LIMITED: self._upstream_limited,
            FaultKind.UPSTREAM_REPLACED: self._upstream_replaced,
            FaultKind.LINK_DELAYED: lambda fault: self._disturb_link(fault, LinkState.DELAY),
            FaultKind.LINK_SILENT: lambda fault: self._disturb_link(fault, LinkState.SILENT),
            FaultKind.LINK_DEAF: lambda fault: self._disturb_link(fault, LinkState.DEAF),
            FaultKind.LINK_RESET: self._link_reset,
            FaultKind.CONFIG: self._config,
            FaultKind.STREAMS_CUT: self._cut_streams,
            FaultKind.VERSION_REPLACED: self._replace_version,
        }

    async def run(self, plan: list[Fault]) -> None:
        """Inject the faults of a plan and return when the last one has ended."""
        started_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for fault in plan:
                await anyio.sleep_until(started_at + fault.at_s)
                tasks.start_soon(self._inject, fault)

    async def _inject(self, fault: Fault) -> None:
        await self.actions[fault.kind](fault)

    def _start_disturbance(self, gateway: str, fault: Fault) -> FaultInterval:
        disturbance = FaultInterval(gateway, fault.kind.value, anyio.current_time(), float("inf"))
        self.observations.disturbances.append(disturbance)
        return disturbance

    def _target_gateway(self, fault: Fault) -> GatewayProcess:
        return self.testbed.gateways[int(fault.target_fraction * len(self.testbed.gateways))]

    def _target_upstream(self, fault: Fault) -> Upstream:
        ready = [item for item in self.testbed.upstreams.values() if item.state == "ready"]
        return ready[int(fault.target_fraction * len(ready))]

    async def _kill(self, fault: Fault) -> None:
        await self._kill_and_restart(self._target_gateway(fault), fault)

    async def _restart(self, gateway: GatewayProcess, signal_number: signal.Signals) -> None:
        """Signal a gateway and restart it, unless a restart is already in progress."""
        gateway.signal(signal_number)
        if gateway.is_restarting:
            await gateway.restarted.wait()
            return
        gateway.is_restarting = True
        with anyio.move_on_after(GRACE_S):
            await gateway.wait_until_exited()
        gateway.signal(signal.SIGKILL)
        await gateway.wait_until_exited()
        self.testbed.start_gateway(gateway)
        gateway.is_restarting = False
        gateway.restarted.set()
        gateway.restarted = anyio.Event()

    async def _kill_and_restart(self, gateway: GatewayProcess, fault: Fault) -> None:
        disturbance = self._start_disturbance(gateway.name, fault)
        await self._restart(gateway, signal.SIGKILL)
        disturbance.ended_at = anyio.current_time()

    async def _kill_all(self, fault: Fault) -> None:
        async with anyio.create_task_group() as tasks:
            for gateway in self.testbed.gateways:
                tasks.start_soon(self._kill_and_restart, gateway, fault)

    async def _pause(self, fault: Fault) -> None:
        gateway = self._target_gateway(fault)
        disturbance = self._start_disturbance(gateway.name, fault)
        gateway.signal(signal.SIGSTOP)
        await anyio.sleep(fault.duration_s)
        gateway.signal(signal.SIGCONT)
        disturbance.ended_at = anyio.current_time()

    async def _stop(self, fault: Fault) -> None:
        """Stop a gateway with SIGTERM and restart it; a planned stop is not a disturbance."""
        gateway = self._target_gateway(fault)
        stop = FaultInterval(gateway.name, fault.kind.value, anyio.current_time(), float("inf"))
        self.observations.stops.append(stop)
        await self._restart(gateway, signal.SIGTERM)
        stop.ended_at = anyio.current_time()

    async def _reload(self, fault: Fault) -> None:
        gateway = self._target_gateway(fault)
        gateway.write_settings()
        gateway.signal(signal.SIGHUP)

    async def _disturb_store(self, fault: Fault, kind: StoreFault, share: float) -> None:
        disturbance = self._start_disturbance("", fault)
        self.testbed.set_store_fault(kind, self.rng, share)
        await anyio.sleep(fault.duration_s)
        self.testbed.clear_store_fault()
        disturbance.ended_at = anyio.current_time()

    async def _disturb_gateway_store(self, fault: Fault, state: LinkState) -> None:
        gateway = self._target_gateway(fault)
        disturbance = self._start_disturbance(gateway.name, fault)
        await gateway.store_link.reset_connections(
            1.0 if state is LinkState.REFUSE else 0.0, self.rng
        )
        await self._set_link_state(gateway.store_link, state, fault.duration_s)
        disturbance.ended_at = anyio.current_time()

    async def _set_link_state(self, link: Link, state: LinkState, duration_s: float) -> None:
        link.state = state
        await anyio.sleep(duration_s)
        link.state = LinkState.PASS

    async def _store_slow(self, fault: Fault) -> None:
        disturbance = self._start_disturbance("", fault)
        self.testbed.store_delay_s = _STORE_DELAY_S
        await anyio.sleep(fault.duration_s)
        self.testbed.store_delay_s = 0.0
        disturbance.ended_at = anyio.current_time()

    async def _store_forgets(self, fault: Fault) -> None:
        disturbance = self._start_disturbance("", fault)
        self.testbed.store.discard_history()
        disturbance.ended_at = anyio.current_time()

    async def _misbehave(self, fault: Fault) -> None:
        upstream = self._target_upstream(fault)
        disturbance = self._start_disturbance("", fault)
        misbehaviour = self.rng.choice(_MISBEHAVIOURS)
        upstream.replica.behaviour = lambda request: (
            misbehaviour if self.rng.random() < _FAULT_SHARE else Behaviour.SERVE
        )
        await anyio.sleep(fault.duration_s)
        upstream.replica.behaviour = lambda request: Behaviour.SERVE
        disturbance.ended_at = anyio.current_time()

    async def _cut_streams(self, fault: Fault) -> None:
        """Make all engines cut some streams in an event, and answer some resumptions wrongly."""
        disturbance = self._start_disturbance("", fault)
        engines = [item for item in self.testbed.upstreams.values() if item.service == "engine"]
        for engine in engines:
            engine.replica.behaviour = self._break_stream
        await anyio.sleep(fault.duration_s)
        for engine in engines:
            engine.replica.behaviour = lambda request: Behaviour.SERVE
        disturbance.ended_at = anyio.current_time()

    def _break_stream(self, request: WireRequest) -> Behaviour:
        if self.rng.random() >= _FAULT_SHARE:
            return Behaviour.SERVE
        if "last-event-id" in request.headers:
            return self.rng.choice((Behaviour.CUT_IN_EVENT, Behaviour.FOREIGN_REST))
        return Behaviour.CUT_IN_EVENT

    async def _replace_version(self, fault: Fault) -> None:
        """Replace the engines' commoner version while streams break and all gateways are killed."""
        ready = [item for item in self.testbed.upstreams.values() if item.state == "ready"]
        engines = [item for item in ready if item.service == "engine"]
        served = [item.version for item in engines]
        new, old = sorted(ENGINE_VERSIONS, key=served.count)
        leaving = [item for item in engines if item.version == old]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cut_streams, fault)
            await anyio.sleep(fault.duration_s * fault.target_fraction)
            tasks.start_soon(self._kill_all, fault)
            for engine in leaving:
                name = f"engine-{new}-{next(self.upstream_numbers)}"
                await self.testbed.add_upstream(name, "engine", version=new)
                engine.state = "gone"
                self.testbed.unregister_upstream(engine)

    async def _upstream_down(self, fault: Fault) -> None:
        upstream = self._target_upstream(fault)
        disturbance = self._start_disturbance("", fault)
        await upstream.link.reset_connections(1.0, self.rng)
        await self._set_link_state(upstream.link, LinkState.REFUSE, fault.duration_s)
        disturbance.ended_at = anyio.current_time()

    async def _upstream_leaves(self, fault: Fault) -> None:
        """Drain an upstream after adding a replacement at a new address."""
        upstream = self._target_upstream(fault)
        name = f"{upstream.service}-new-{next(self.upstream_numbers)}"
        await self.testbed.add_upstream(name, upstream.service)
        await anyio.sleep(1.0)
        upstream.state = "draining"
        self.testbed.register_upstream(upstream)
        self.observations.drain_starts.append(DrainStart(upstream.name, anyio.current_time()))
        await anyio.sleep(fault.duration_s + _CONFIG_APPLY_S)
        self.testbed.unregister_upstream(upstream)

    async def _upstream_announces(self, fault: Fault) -> None:
        """Let an upstream say in its responses that it is leaving, while its entry does not."""
        upstream = self._target_upstream(fault)
        name = f"{upstream.service}-new-{next(self.upstream_numbers)}"
        await self.testbed.add_upstream(name, upstream.service)
        upstream.replica.report["Server-Leaving"] = "1"
        await anyio.sleep(fault.duration_s + 2 * DRAIN_NOTICE_S)
        upstream.state = "gone"
        self.testbed.unregister_upstream(upstream)

    async def _upstream_limited(self, fault: Fault) -> None:
        """Let an upstream name a request limit, long enough for the check."""
        upstream = self._target_upstream(fault)
        if _LIMIT_HEADER in upstream.replica.report:
            return
        limit_per_s = round(self.rng.uniform(0.5, 6.0), 1)
        interval = LimitInterval(upstream.name, limit_per_s, anyio.current_time(), float("inf"))
        self.observations.limits.append(interval)
        upstream.replica.report[_LIMIT_HEADER] = str(limit_per_s)
        await anyio.sleep(fault.duration_s + UNDISTURBED_S + LIMIT_WINDOW_S)
        del upstream.replica.report[_LIMIT_HEADER]
        interval.ended_at = anyio.current_time()

    async def _upstream_replaced(self, fault: Fault) -> None:
        """Reuse an upstream's address for another service without announcing it."""
        upstream = self._target_upstream(fault)
        disturbance = self._start_disturbance("", fault)
        other = "tools" if upstream.service == "engine" else "engine"
        await self.testbed.add_upstream(
            f"{upstream.service}-new-{next(self.upstream_numbers)}", upstream.service
        )
        upstream.state = "gone"
        await upstream.link.reset_connections(1.0, self.rng)
        link = upstream.link
        await self.testbed.add_upstream(
            f"{other}-reused-{next(self.upstream_numbers)}", other, link
        )
        await anyio.sleep(fault.duration_s)
        self.testbed.unregister_upstream(upstream)
        disturbance.ended_at = anyio.current_time()

    async def _disturb_link(self, fault: Fault, state: LinkState) -> None:
        links = self.testbed.links()
        link = links[int(fault.target_fraction * len(links))]
        disturbance = self._start_disturbance("", fault)
        await self._set_link_state(link, state, fault.duration_s)
        disturbance.ended_at = anyio.current_time()

    async def _link_reset(self, fault: Fault) -> None:
        links = self.testbed.links()
        disturbance = self._start_disturbance("", fault)
        await links[int(fault.target_fraction * len(links))].reset_connections(0.5, self.rng)
        disturbance.ended_at = anyio.current_time()

    async def _config(self, fault: Fault) -> None:
        """Add a route and send requests for it to every gateway several times."""
        self.testbed.version += self.rng.randint(1, 5)
        version = self.testbed.version
        self.testbed.added_versions.append(version)
        self.testbed.write_configuration()
        for _ in range(4):
            await anyio.sleep(self.rng.uniform(0.2, _CONFIG_APPLY_S))
            for gateway in self.testbed.gateways:
                await self.prober.probe(gateway.endpoint, version)
