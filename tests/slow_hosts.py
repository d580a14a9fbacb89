"""Virtual-time models of upstreams on hosts of uneven speed, before the placement code itself."""

import heapq
import itertools
import random
from collections import deque

from skylarkferry_core.ids import FailureDomain, ProgramId, ServiceName, UpstreamId
from skylarkferry_gateway.messages import PromptPart, ReportedLoad, UpstreamEntry
from skylarkferry_gateway.placement import Placer
from skylarkferry_gateway.placement_messages import PlacementQuery, SpeedSample
from skylarkferry_gateway.upstreams import Upstreams

SERVICE = ServiceName("service")
PATH_S = 0.0014
"""One-way time between a gateway and an upstream in another failure domain."""
_TURN_DUE_S = 0.6
"""Time in which a turn is due: 1.5 times its time on an idle engine."""


def upstreams_of(count, slots):
    """Return this many listed upstreams in two failure domains."""
    known = Upstreams()
    known.update(
        [
            UpstreamEntry(
                UpstreamId(f"u{number}"),
                SERVICE,
                "127.0.0.1:9",
                FailureDomain("ab"[number % 2]),
                slots,
                is_leaving=False,
                born_ms=1,
            )
            for number in range(count)
        ],
        0.0,
    )
    return known.for_service(SERVICE)


def query_for(parts=(), output_tokens=0, **fields):
    """Return a question for the placement of a request with this prompt."""
    values = {
        "service": SERVICE,
        "failure_domain": FailureDomain("a"),
        "program_id": ProgramId("p"),
        "affinity_key": "",
        "is_sticky": False,
        "prompt_parts": parts,
        "prompt_tokens": sum(part.tokens for part in parts),
        "output_tokens": output_tokens,
        "time_left_s": 4.5,
    }
    return PlacementQuery(**(values | fields))


class Host:
    """One upstream with a queue; ``factor`` returns how long work takes there at a time."""

    def __init__(self, slots, factor, reported_factor):
        self.slots = slots
        self.factor = factor
        self.reported_factor = reported_factor
        self.running = 0
        self.queue = deque()

    def load(self, now):
        """Return the load report of a response."""
        slowdown = self.reported_factor(now)
        return ReportedLoad(self.running, len(self.queue), self.slots, slowdown)


class Run:
    """Requests of several gateways over time; each has a placer of its own, or all share one."""

    def __init__(self, seed, hosts, placers, engine=None):
        self.rng = random.Random(seed)
        self.hosts = hosts
        self.placers = placers
        self.engine = engine
        self.members = [upstreams_of(len(hosts), hosts[0].slots) for _ in placers]
        self.events = []
        self.order = itertools.count()
        self.asked = self.late = 0
        self.latencies = []

    def at(self, when, action, *arguments):
        """Schedule an action."""
        heapq.heappush(self.events, (when, next(self.order), action, arguments))

    def run(self):
        """Run until no action is left, and return the share of late answers."""
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)
        return self.late / self.asked

    def ask(self, now, work, due_s, query):
        """Place a request at a random gateway and send it."""
        self.asked += 1
        gateway = self.rng.randrange(len(self.placers))
        placer, members = self.placers[gateway], self.members[gateway]
        decision = placer.place(query, members, members, self.engine, now)
        upstream = decision.upstream
        view = placer.view_of(upstream)
        view.in_flight += 1
        if self.engine is not None:
            view.record_prompt(query.prompt_parts, self.engine.kv_tokens)
        host = self.hosts[members.index(upstream)]
        request = (now, gateway, upstream, decision, work, due_s)
        self.at(now + PATH_S, self.arrive, host, request)

    def arrive(self, now, host, request):
        """Begin or queue a request at its host."""
        if host.running >= host.slots:
            host.queue.append(request)
        else:
            self.begin(now, host, request)

    def begin(self, now, host, request):
        """Run a request, by the speed of the host when it begins."""
        host.running += 1
        decision, work = request[3], request[4]
        first_s, rest_s = work(decision, host) if callable(work) else (0.0, work)
        factor = host.factor(now)
        took = (first_s * factor, rest_s * factor)
        self.at(now + sum(took), self.end, host, request, took)

    def end(self, now, host, request, took):
        """End a request, and begin the one that waited longest."""
        load = host.load(now)
        host.running -= 1
        if host.queue:
            self.begin(now, host, host.queue.popleft())
        self.at(now + PATH_S, self.answered, request, load, took)

    def answered(self, now, request, load, took):
        """Let the gateway record what the response tells."""
        asked_at, gateway, upstream, decision, _, due_s = request
        placer = self.placers[gateway]
        view = placer.view_of(upstream)
        view.update_load(load, view.in_flight, now)
        view.in_flight -= 1
        self.observe(now, placer, upstream, decision, took)
        self.latencies.append(now - asked_at)
        self.late += now - asked_at > due_s

    def observe(self, now, placer, upstream, decision, took):
        """Record the speed of a call as the relays do."""
        if self.engine is None:
            placer.view_of(upstream).slowdown.check(1.0 / took[1], now)
            return
        uncached = 13_440 - decision.cached_tokens
        sample = SpeedSample(uncached, took[0], 250, took[1])
        placer.observe_speed(upstream, sample, now)


def redrawn(rng, share, factor, period_s, length_s):
    """Return a host's slowdown over time: ``factor`` for this share of it, redrawn each period."""
    offset = rng.random() * period_s
    draws = [factor if rng.random() < share else 1.0 for _ in range(int(length_s / period_s) + 20)]
    return lambda now: draws[int((now + offset) / period_s)]


def jittered(rng, factor, share=0.1):
    """Return a report of the slowdown that changes with every response."""
    return lambda now: factor(now) * rng.uniform(1 - share, 1 + share)


def plain_services(seed, *, rate, reports, gateways=29, length_s=12.0):
    """Six services of six slots; 0.15 of the hosts take 2.5 times as long, redrawn each 600 ms."""
    rng = random.Random(seed)
    hosts = []
    for _ in range(6):
        factor = redrawn(rng, 0.15, 2.5, 0.6, length_s)
        hosts.append(Host(6, factor, reports(rng, factor)))
    placers = [
        Placer(lambda upstream: upstream.local, random.Random(number), 8)
        for number in range(gateways)
    ]
    run = Run(seed, hosts, placers)
    kinds = ((0.014, 0.094), (0.057, 0.276), (0.038, 0.221))
    now = 0.0
    while (now := now + rng.expovariate(rate)) < length_s:
        work, due_s = rng.choice(kinds)
        run.at(now, run.ask, work, due_s, query_for())
    return run


def engines(seed, engine, *, rate, reports, length_s=12.0):
    """22 engines of which one in four runs at 0.55 of the speed of the others, one coordinator."""
    rng = random.Random(seed)
    hosts = []
    for number in range(22):
        factor = (1 / 0.55) if number % 4 == 0 else 1.0
        hosts.append(Host(16, lambda now, f=factor: f, reports(rng, lambda now, f=factor: f)))
    placers = [Placer(lambda upstream: upstream.shared, random.Random(seed), 64)]
    run = Run(seed, hosts, placers, engine)

    def work(decision, host):
        uncached = 13_440 - decision.cached_tokens
        return uncached / 199_000 * (1 + host.running / 8), 250 * 0.00129 * (1 + host.running / 16)

    now = 0.0
    numbers = itertools.count()
    while (now := now + rng.expovariate(rate)) < length_s:
        number = next(numbers)
        parts = (
            PromptPart(f"shared{number % 2}", 12_600),
            PromptPart(f"own{number}", 840),
        )
        run.at(now, run.ask, work, _TURN_DUE_S, query_for(parts, 250))
    return run


def none(rng, factor):
    """Return the report of an upstream that does not tell its slowdown."""
    return lambda now: None
