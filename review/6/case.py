"""Conversations that go on at a gateway after others were killed make it exceed its memory."""

import asyncio
import os
import random
from pathlib import Path

from harness_2 import (
    BROKEN,
    DESIGN_SESSION,
    HELD,
    NOT_RUN,
    Client,
    configuration,
    request_id,
    run,
    turn_headers,
)

FOLDER = Path(__file__).parent
MEMORY_MB = 170
TURNS = int(os.environ.get("TURNS", "11"))
INPUT_TOKENS = 16_800
"""At the ratio of the site's largest input, 4,200 tokens to 100,000 bytes."""
INPUT_BYTES = int(os.environ.get("INPUT_BYTES", "400000"))
SESSIONS_EACH = int(os.environ.get("SESSIONS_EACH", "4"))
GATEWAYS = 4
ORDERERS = 12
"""Clients of the gateway that is not killed, each with one connection that it keeps for its stock orders."""
DOWN_S = 2.0
RESTART_S = 0.5
CONTACT_S = 3.0
TRIES = 6


class Platform:
    """Ends a process that exceeds its memory, and starts processes again after a short delay."""

    def __init__(self, deployment):
        self.record = deployment.record
        self.gateways = deployment.gateways
        self.peak_mb = {gateway.name: 0.0 for gateway in self.gateways}
        self.held_down = set()
        self.memory_ends = []
        """Gateway and time of each process that was ended because of its memory."""

    async def watch(self):
        while True:
            for gateway in self.gateways:
                used_mb = gateway.memory_mb()
                self.peak_mb[gateway.name] = max(self.peak_mb[gateway.name], used_mb)
                if used_mb > MEMORY_MB:
                    gateway.kill()
                    self.memory_ends.append((gateway.name, self.record.now()))
                    self.record.say(
                        f"{gateway.name} used {used_mb:.0f} MB of {MEMORY_MB} MB and was ended"
                    )
                    asyncio.get_running_loop().call_later(RESTART_S, self.restart, gateway)
            await asyncio.sleep(0.005)

    def restart(self, gateway):
        if gateway.name not in self.held_down and not gateway.is_running():
            gateway.start()

    def node_kill(self, gateways):
        for gateway in gateways:
            self.held_down.add(gateway.name)
            gateway.kill()
            self.record.write(f"{gateway.name} killed, down for {DOWN_S} s")

    def bring_back(self, gateways):
        for gateway in gateways:
            self.held_down.discard(gateway.name)
            gateway.start()


class Session:
    """One design-session; after a failure it goes on at any gateway that accepts connections."""

    def __init__(self, number, deployment, gateway):
        self.name = f"session-{number}"
        self.program = f"{number:06x}"
        self.deployment = deployment
        self.record = deployment.record
        self.gateway = gateway
        self.previous = ""
        self.turns = 0

    async def turn(self):
        body = random.randbytes(INPUT_BYTES // 2).hex().encode()
        for number in range(TRIES):
            if not self.gateway.is_running():
                running = [item for item in self.deployment.gateways if item.is_running()]
                self.gateway = random.choice(running) if running else self.gateway
            identity = request_id()
            headers = turn_headers(
                identity,
                self.program,
                self.name,
                self.previous,
                turns=self.turns + 1,
                tokens=INPUT_TOKENS,
            )
            client = Client(self.gateway.ip)
            try:
                reply = await asyncio.wait_for(
                    client.send("POST", "/design-session/4b", headers, body), 3.2
                )
                status = reply.status
                wait_s = min(float(reply.headers.get("retry-after", "0")), 1.0)
            except (OSError, EOFError, TimeoutError) as error:
                status, wait_s = repr(error), 0.0
            client.close()
            self.record.write(
                f"{self.name} turn {identity} after {self.previous or 'none'}"
                f" to {self.gateway.name} answered {status}"
            )
            if status == 200:
                self.previous = identity
                self.turns += 1
                return True
            await asyncio.sleep(max(random.uniform(0.1, 0.4), wait_s))
        return False


class Orderer:
    """A client that sends one stock order after the other on a connection that it keeps."""

    def __init__(self, deployment, gateway, platform):
        self.deployment = deployment
        self.record = deployment.record
        self.gateway = gateway
        self.platform = platform
        self.sent = self.answered = 0
        self.cut = []
        """Times at which a kept connection ended without an answer to an order that ran."""

    async def run(self):
        client = Client(self.gateway.ip)
        while True:
            identity = request_id()
            headers = {
                "Skylarkferry-Request-Id": identity,
                "Skylarkferry-Affinity-Key": "17",
                "Skylarkferry-Deadline-Ms": 3_000,
            }
            is_kept = client.writer is not None
            try:
                self.sent += 1
                reply = await client.send("POST", "/stock-order/2f", headers, b"o" * 600)
                self.answered += reply.status == 200
                self.record.write(f"order {identity} to {self.gateway.name}: {reply.status}")
            except (OSError, EOFError, TimeoutError) as error:
                ran = any(identity in r.received_ids for r in self.deployment.replicas.values())
                if is_kept and ran:
                    self.cut.append(self.record.now())
                    self.record.write(
                        f"order {identity} ran; its kept connection to {self.gateway.name}"
                        f" ended without an answer: {error!r}"
                    )
                await asyncio.sleep(0.2)


async def scenario(deployment, tasks, trouble):
    record = deployment.record
    order = {"kind": "non_idempotent", "service": "shop-apps", "maxAttempts": 1, "priority": 2}
    routes = {"design-session": DESIGN_SESSION, "stock-order": order}
    await deployment.start(tasks, configuration(1, **routes))
    for number in range(6):
        await deployment.add_replica(f"i-{number}", "calc-models", slots=16, work_s=0.2)
    for number in range(5):
        await deployment.add_replica(f"s-{number}", "shop-apps", slots=6, work_s=0.104)
    for _ in range(GATEWAYS):
        deployment.add_gateway(memory_mb=MEMORY_MB, cores=2.15)
    for gateway in deployment.gateways:
        await gateway.wait_until_ready()
    platform = Platform(deployment)
    tasks.start_soon(platform.watch)
    last = deployment.gateways[-1]
    orderers = [Orderer(deployment, last, platform) for _ in range(ORDERERS)]
    for orderer in orderers:
        tasks.start_soon(orderer.run)
    await asyncio.sleep(7)
    sessions = [
        Session(number, deployment, deployment.gateways[number % GATEWAYS])
        for number in range(GATEWAYS * SESSIONS_EACH)
    ]
    async def build(session):
        for _ in range(TURNS):
            if not await session.turn():
                raise RuntimeError(f"{session.name} was not served before the disruption")

    for first in range(0, len(sessions), 2 * GATEWAYS):
        await asyncio.gather(*[build(item) for item in sessions[first : first + 2 * GATEWAYS]])
        for replica in deployment.replicas.values():
            replica.runs.clear()
    if platform.memory_ends:
        return NOT_RUN
    await asyncio.sleep(CONTACT_S)
    record.say(
        f"{len(sessions)} sessions of {TURNS} turns with {INPUT_BYTES} bytes each; most memory: "
        + ", ".join(f"{name} {used:.0f} MB" for name, used in platform.peak_mb.items())
    )
    served = []

    async def go_on(session):
        for _ in range(2):
            served.append(await session.turn())
            await asyncio.sleep(0.3)

    killed = deployment.gateways[:-1]
    if trouble:
        platform.node_kill(killed)
        asyncio.get_running_loop().call_later(DOWN_S, platform.bring_back, killed)
    await asyncio.gather(*[go_on(session) for session in sessions])
    await asyncio.sleep(2)
    ends = [at for name, at in platform.memory_ends if name == last.name]
    cut = [
        at
        for orderer in orderers
        for at in orderer.cut
        if any(abs(at - ended_at) < 0.5 for ended_at in ends)
    ]
    record.say(
        "most memory: "
        + ", ".join(f"{name} {used:.0f} MB" for name, used in platform.peak_mb.items())
    )
    record.say(f"turns served afterwards: {sum(served)} of {len(served)}")
    record.say(
        f"processes ended because of their memory: {len(platform.memory_ends)}, of these"
        f" {len(ends)} of {last.name}, which no disruption met"
    )
    record.say(f"orders that ran and whose kept connection was closed without an answer: {len(cut)}")
    return BROKEN if len(cut) > 3 else HELD


run(FOLDER, scenario)
