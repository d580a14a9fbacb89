"""A fleet of gateways that exchange quotas over a simulated network, in virtual time."""

import asyncio
import random
from types import SimpleNamespace

import anyio

from skylarkferry_admission.quota_limits import QuotaMargin
from skylarkferry_core.customers import Customer, CustomerKeys, CustomerTable, Quota
from skylarkferry_core.ids import CustomerId, NodeId
from skylarkferry_core.routes import ClientLimits, RoutingTable
from skylarkferry_gateway import defaults
from skylarkferry_gateway.gateway_list import GatewayMember
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.quota_exchange import QuotaExchange, shard_for
from skylarkferry_gateway.quota_messages import QUOTA_SHARDS
from skylarkferry_gateway.quota_owners import OwnedPools, QuotaOwnerRanks
from skylarkferry_gateway.quotas import QuotaStage

WINDOW_S, OVER, SLACK = 5.0, 0.1, 20.0
MARGIN = QuotaMargin(WINDOW_S, OVER, SLACK)


class _InstantSelector:
    """Selector that never waits: the loop's time jumps to the next timer."""

    def __init__(self, loop, selector):
        self.loop = loop
        self.selector = selector

    def select(self, timeout=None):
        events = self.selector.select(0)
        if not events and timeout:
            self.loop.moment += timeout
        return events

    def __getattr__(self, name):
        return getattr(self.selector, name)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time."""

    def __init__(self):
        self.moment = 1_000.0
        super().__init__()
        self._selector = _InstantSelector(self, self._selector)

    def time(self):
        return self.moment


def run_virtually(work, *args):
    """Run a coroutine function in virtual time and return its result."""
    return anyio.run(work, *args, backend_options={"loop_factory": VirtualLoop})


class _Log:
    """Log that keeps its events and prints none."""

    def __init__(self):
        self.events = []

    def emit(self, kind, *args, **fields):
        self.events.append((kind, fields))


class _Calls:
    """Calls of one process to owners, over the simulated network."""

    def __init__(self, fleet, node):
        self.fleet = fleet
        self.node = node

    def next_number(self):
        self.fleet.numbers += 1
        return self.fleet.numbers

    async def ask_quota(self, address, ask, timeout_s):
        process = self.fleet.processes[self.node]
        asked_at = anyio.current_time()
        found = []
        answered = anyio.Event()

        def on_answer(answer):
            found.append(answer)
            answered.set()

        self.fleet.send(self.node, address, ask, on_answer)
        with anyio.move_on_after(timeout_s):
            await answered.wait()
        await process.thawed()
        is_late = anyio.current_time() - asked_at > timeout_s + defaults.QUOTA_TIMEOUT_S
        return found[0] if found and not is_late else None

    def probe_quota(self, address, ask, on_answer):
        self.fleet.send(self.node, address, ask, lambda _: on_answer())


class Process:
    """One gateway process; a frozen one runs nothing, and gets what came meanwhile at once."""

    def __init__(self, fleet, node):
        self.fleet = fleet
        self.node = node
        self.frozen_until = 0.0
        self.is_dead = False
        self.has_store = True
        self.lists = SimpleNamespace(
            node=NodeId(node),
            member=fleet.members[node],
            members=dict(fleet.members),
            nodes=tuple(sorted(fleet.members)),
            is_counted=lambda now: self.has_store,
            has_read_own=True,
        )
        log, metrics = _Log(), GatewayMetrics()
        self.log = log
        clock = anyio.current_time
        fleet.nonces += 1
        self.metrics = metrics
        self.owned = OwnedPools(fleet.nonces, fleet.margin, clock)
        ranks = QuotaOwnerRanks(self.lists, log, metrics)
        calls = _Calls(fleet, node)
        self.exchanges = [
            QuotaExchange(
                shard,
                ranks,
                self.owned,
                calls,
                margin=fleet.margin,
                clock=clock,
                log=log,
                metrics=metrics,
            )
            for shard in range(QUOTA_SHARDS)
        ]
        self.stage = QuotaStage(self.exchanges, fleet.config, clock, log, metrics)

    async def thawed(self):
        while self.frozen_until > anyio.current_time():  # noqa: ASYNC110
            await anyio.sleep(self.frozen_until - anyio.current_time())

    async def run(self, exchange):
        await anyio.sleep(self.fleet.rng.random() * 0.1)
        while not self.is_dead:
            await exchange.wait_until_due()
            await self.thawed()
            if not self.is_dead:
                await exchange.step(self.stage.current())


class Fleet:
    """Gateways by name; ``runs`` holds the times of admitted requests by customer."""

    def __init__(self, tasks, count, seed, margin=MARGIN):
        self.tasks = tasks
        self.rng = random.Random(seed)
        self.margin = margin
        self.numbers = self.nonces = 0
        self.config = SimpleNamespace(current=None)
        self.messages = 0
        self.loss = 0.0
        self.delay_s = 0.001
        self.cut = set()
        self.customers = {}
        self.runs = {}
        self.refusals = {}
        self.members = {
            NodeId(f"g{index}"): GatewayMember(f"g{index}", 1.0) for index in range(count)
        }
        self.processes = {}
        for node in self.members:
            self.start(node)

    def start(self, node):
        process = self.processes[node] = Process(self, node)
        for exchange in process.exchanges:
            self.tasks.start_soon(process.run, exchange)
        return process

    def kill(self, node):
        self.processes[node].is_dead = True

    def owner(self, customer):
        """Return the gateway that is first in rank for a customer."""
        ranks = self.processes["g0"].exchanges[0].ranks
        return ranks._ranked(shard_for(customer))[0]

    def send(self, sender, receiver, ask, on_answer):
        self.messages += 1
        self.tasks.start_soon(self._deliver, sender, receiver, ask, on_answer)

    async def _deliver(self, sender, receiver, ask, on_answer):
        if not await self._transmit(sender, receiver):
            return
        process = self.processes[receiver]
        await process.thawed()
        if process.is_dead:
            return
        answer = process.owned.answer(ask)
        asker = self.processes[sender]
        if await self._transmit(receiver, sender):
            await asker.thawed()
            if not asker.is_dead:
                on_answer(answer)

    async def _transmit(self, sender, receiver):
        if (sender, receiver) in self.cut or self.rng.random() < self.loss:
            return False
        await anyio.sleep(self.delay_s * self.rng.uniform(0.5, 1.5))
        return True

    def add_customer(self, name, rate, burst):
        """Publish a configuration with a new customer, or with another limit of a known one."""
        self.customers[name] = Customer(CustomerId(name), None, Quota(rate, burst))
        version = self.config.current.version + 1 if self.config.current is not None else 1
        table = CustomerTable(CustomerKeys(customer) for customer in self.customers.values())
        self.config.current = RoutingTable(version, (), {}, ClientLimits(), table)
        self.runs.setdefault(name, [])
        self.refusals.setdefault(name, [])

    async def request(self, name, node, *, is_begun=True):
        """Send one request; return whether it was admitted, ``None`` if the gateway is away."""
        process = self.processes[node]
        if process.is_dead or process.frozen_until > anyio.current_time():
            return None
        deadline = anyio.current_time() + 3.0
        error = await process.stage.charge(name, deadline, is_begun=is_begun)
        await process.thawed()
        if process.is_dead:
            return None
        if error is None:
            self.runs[name].append(anyio.current_time())
        else:
            self.refusals[name].append((anyio.current_time(), error.retry_after_s))
        return error is None

    async def load(self, name, per_s, seconds, nodes=None, *, is_begun=True):
        """Send requests at random times to random gateways."""
        end = anyio.current_time() + seconds
        while True:
            await anyio.sleep(self.rng.expovariate(per_s))
            if anyio.current_time() >= end:
                return
            node = self.rng.choice(nodes or list(self.members))
            self.tasks.start_soon(self._request, name, node, is_begun)

    async def _request(self, name, node, is_begun):
        await self.request(name, node, is_begun=is_begun)


def most_in_window(times, window_s=WINDOW_S):
    """Return the largest number of times in any window."""
    times = sorted(times)
    most = start = 0
    for end, moment in enumerate(times):
        while times[start] <= moment - window_s:
            start += 1
        most = max(most, end - start + 1)
    return most


def window_bound(rate, burst, margin=MARGIN, window_s=WINDOW_S):
    """Return the number of requests that any window may have."""
    return (rate * window_s + burst) * (1 + margin.over) + margin.slack


class ExactBucket:
    """One token bucket that sees all requests."""

    def __init__(self, rate, burst, now):
        self.rate, self.burst, self.tokens, self.at = rate, burst, burst, now

    def take(self, now):
        self.tokens = min(self.tokens + (now - self.at) * self.rate, self.burst)
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def simulate(count, seed, work, margin=MARGIN):
    """Run ``work`` with a fleet in virtual time and return the fleet."""

    async def run():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks, count, seed, margin)
            await work(fleet)
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()
        return fleet

    return run_virtually(run)
