"""Conversations that meet at one gateway are refused although their replicas are nearly idle."""

import asyncio
import os
import random
import signal
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
TURNS = int(os.environ.get("TURNS", "18"))
INPUT_BYTES = int(os.environ.get("INPUT_BYTES", "100000"))
SESSIONS = int(os.environ.get("SESSIONS", "16"))
GATEWAYS = 4
ENGINES = 6
SLOTS = 16
TURN_WORK_S = 0.6
GAP_S = 2.0
"""The site's roll_term: share 1.0, one machine at a time, gap_s 2.0."""
GO_ON_S = 8.0
KV_TOKENS = 487_834
AIM_S = 30.0
"""1.6 x the idle time of a program of 22 turns, of 0.85 s each with their tools and pauses."""
TRIES = 6
"""A turn has two client attempts and is sent again twice."""


class Session:
    """One design-session; its client sends a failed turn again as the pages say."""

    def __init__(self, number, deployment, gateway):
        self.name = f"session-{number}"
        self.program = f"{number:06x}"
        self.deployment = deployment
        self.record = deployment.record
        self.gateway = gateway
        self.previous = ""
        self.turns = 0
        self.served = self.unreached = 0
        self.began = 0.0

    def reached(self, identity):
        replicas = self.deployment.replicas.values()
        return any(identity in replica.received_ids for replica in replicas)

    async def turn(self):
        """Send the next turn in up to six tries; return whether it was served."""
        body = random.randbytes(INPUT_BYTES // 2).hex().encode()
        reached = False
        for number in range(TRIES):
            identity = request_id()
            left_ms = round((self.began + AIM_S - self.record.now()) * 1_000)
            headers = turn_headers(
                identity, self.program, self.name, self.previous, turns=self.turns + 1, finish_ms=left_ms
            )
            client = Client(self.gateway.ip)
            pause = random.uniform(0.1, 0.4) if number % 2 else 0.0
            detail = b""
            try:
                reply = await asyncio.wait_for(
                    client.send("POST", "/design-session/4b", headers, body), 3.2
                )
                status = reply.status
                if status != 200:
                    detail = reply.body[60:200]
                pause = max(pause, min(float(reply.headers.get("retry-after", "0")), 1.0))
            except (OSError, EOFError, TimeoutError) as error:
                status = repr(error)
            client.close()
            reached = reached or self.reached(identity)
            self.record.write(
                f"{self.name} turn {identity} try {number + 1} to {self.gateway.name}"
                f" answered {status} reached={self.reached(identity)} {detail!r}"
            )
            if status == 200:
                self.previous = identity
                self.turns += 1
                self.served += 1
                return True
            await asyncio.sleep(pause)
        if not reached and self.record.now() < self.began + AIM_S:
            self.unreached += 1
            self.record.write(f"{self.name}: its turn reached no replica in {TRIES} tries")
        return False


async def scenario(deployment, tasks, trouble):
    record = deployment.record
    await deployment.start(tasks, configuration(1, **{"design-session": DESIGN_SESSION}))
    busy = {"now": 0, "most": 0, "tokens": 0, "most_tokens": 0}
    for number in range(ENGINES):
        name = f"i-{number}"

        async def handle(request, name=name):
            usage = request.headers.get("skylarkferry-token-usage", "0,0").split(",")
            tokens = sum(map(int, usage))
            busy["now"] += 1
            busy["tokens"] += tokens
            busy["most"] = max(busy["most"], busy["now"])
            busy["most_tokens"] = max(busy["most_tokens"], busy["tokens"])
            reply = await deployment.replicas[name].handle(request)
            await asyncio.sleep(0.0)
            asyncio.get_running_loop().call_later(reply.delay_s, done, tokens)
            return reply

        def done(tokens):
            busy["now"] -= 1
            busy["tokens"] -= tokens

        await deployment.add_replica(name, "calc-models", handle, slots=SLOTS, work_s=TURN_WORK_S)
    for _ in range(GATEWAYS):
        deployment.add_gateway(memory_mb=170, cores=2.15)
    for gateway in deployment.gateways:
        await gateway.wait_until_ready()
    await asyncio.sleep(7)
    sessions = [
        Session(number, deployment, deployment.gateways[number % GATEWAYS])
        for number in range(SESSIONS)
    ]

    async def build(session):
        session.began = record.now()
        for _ in range(TURNS):
            if not await session.turn():
                raise RuntimeError(f"{session.name} was not served before the planned stops")
        session.served = 0

    await asyncio.gather(*[build(session) for session in sessions])
    for replica in deployment.replicas.values():
        replica.runs.clear()
    if trouble:
        for gateway in deployment.gateways[:-1]:
            os.kill(gateway.process.pid, signal.SIGTERM)
            record.write(f"SIGTERM to {gateway.name}, which leaves")
            await asyncio.sleep(GAP_S)
        for session in sessions:
            session.gateway = deployment.gateways[-1]
        await asyncio.sleep(0.5)
    busy["most"] = busy["most_tokens"] = 0
    first = []
    end = record.now() + GO_ON_S

    async def go_on(session):
        while record.now() < end:
            if not await session.turn():
                return  # the program fails
            await asyncio.sleep(0.06)

    async def first_turns():
        number = 0
        while record.now() < end:
            number += 1
            identity = request_id()
            client = Client(deployment.gateways[-1].ip)
            headers = turn_headers(identity, f"f{number:05x}", f"first-{number}")
            try:
                await client.send("POST", "/design-session/4b", headers, b"x" * 17_000)
            except (OSError, EOFError):
                pass
            client.close()
            first.append(any(identity in r.received_ids for r in deployment.replicas.values()))
            record.write(f"first turn {identity} sent; reached a replica: {first[-1]}")
            await asyncio.sleep(0.3)

    await asyncio.gather(first_turns(), *[go_on(session) for session in sessions])
    served = sum(session.served for session in sessions)
    unreached = sum(session.unreached for session in sessions)
    record.say(f"turns served: {served}; sessions whose turn reached no replica in {TRIES} tries, before"
        f" their aim: {unreached} of {SESSIONS}")
    record.say(
        f"most requests at the replicas at once: {busy['most']} of {ENGINES * SLOTS} places, with"
        f" {busy['most_tokens']} of {ENGINES * KV_TOKENS} tokens"
    )
    record.say(f"first turns that reached a replica: {sum(first)} of {len(first)}")
    is_full = busy["most"] * 2 >= ENGINES * SLOTS or busy["most_tokens"] * 2 >= ENGINES * KV_TOKENS
    if not unreached:
        return HELD
    return NOT_RUN if sum(first) < 0.9 * len(first) or is_full else BROKEN


run(FOLDER, scenario)
