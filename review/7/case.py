"""A conversation whose client moves to another zone is never served there on a slow link."""

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
    SlowLink,
    configuration,
    request_id,
    run,
    turn_headers,
)

FOLDER = Path(__file__).parent
LINK_BYTES_PER_S = 15_000_000 / 8
TURNS = int(os.environ.get("TURNS", "11"))
INPUT_BYTES = int(os.environ.get("INPUT_BYTES", "100000"))
SESSIONS = int(os.environ.get("SESSIONS", "3"))
TRIES = 6
"""A turn has two client attempts and is sent again twice."""
TURN_WORK_S = 0.2
PAUSE_S = 0.06
AIM_S = 16.0
"""1.6 x the idle time of a program of 22 turns, of 0.45 s each with their tools and pauses."""


class Session:
    """One design-session: a line of turns, each of which continues the one before."""

    def __init__(self, number, deployment):
        self.name = f"session-{number}"
        self.program = f"{number:06x}"
        self.record = deployment.record
        self.deployment = deployment
        self.previous = ""
        self.turns = 0
        self.began = self.record.now()

    def left_ms(self):
        return round((self.began + AIM_S - self.record.now()) * 1_000)

    def reached(self, identity):
        replicas = self.deployment.replicas.values()
        return any(identity in replica.received_ids for replica in replicas)

    async def turn(self, gateways):
        """Send the next turn in up to six tries; return (served, tries that reached a replica)."""
        body = random.randbytes(INPUT_BYTES // 2).hex().encode()
        reached = 0
        for number in range(TRIES):
            gateway = gateways[number % len(gateways)]
            identity = request_id()
            client = Client(gateway.ip)
            headers = turn_headers(
                identity, self.program, self.name, self.previous, turns=self.turns + 1, finish_ms=self.left_ms()
            )
            began = self.record.now()
            pause = random.uniform(0.1, 0.4) if number % 2 else 0.0
            try:
                reply = await asyncio.wait_for(
                    client.send("POST", "/design-session/4b", headers, body), 3.2
                )
                status, detail = reply.status, reply.body[-160:] if reply.status != 200 else b""
                pause = max(pause, min(float(reply.headers.get("retry-after", "0")), 1.0))
            except (OSError, EOFError, TimeoutError) as error:
                status, detail = repr(error), b""
            finally:
                client.close()
            reached += self.reached(identity)
            self.record.write(
                f"{self.name} turn {identity} after {self.previous or 'none'} to {gateway.name}"
                f" sent {began:.3f} answered {status} reached={self.reached(identity)} {detail!r}"
            )
            if status == 200:
                self.previous = identity
                self.turns += 1
                return True, reached
            await asyncio.sleep(pause)
        return False, reached


async def first_turns(deployment, gateways, stop, outcomes):
    """Send first turns of other programs, one each half second."""
    number = 0
    while not stop.is_set():
        number += 1
        identity = request_id()
        client = Client(gateways[number % len(gateways)].ip)
        headers = turn_headers(identity, f"f{number:05x}", f"first-{number}")
        try:
            await asyncio.wait_for(client.send("POST", "/design-session/4b", headers, b"x" * 17_000), 3.2)
        except (OSError, EOFError, TimeoutError):
            pass
        client.close()
        outcomes.append(any(identity in r.received_ids for r in deployment.replicas.values()))
        deployment.record.write(f"first turn {identity} sent; reached a replica: {outcomes[-1]}")
        await asyncio.sleep(0.5)


async def scenario(deployment, tasks, trouble):
    record = deployment.record
    routes = {"design-session": DESIGN_SESSION}
    await deployment.start(tasks, configuration(1, **routes))
    for number in range(4):
        await deployment.add_replica(f"i-{number}", "calc-models", work_s=TURN_WORK_S)
    for number in range(4):
        link = SlowLink(deployment.store_address, LINK_BYTES_PER_S)
        await link.start()
        zone = "arusha-a" if number < 2 else "arusha-b"
        deployment.add_gateway(link.address, memory_mb=128, link_mbps=15.0, zone=zone)
    for gateway in deployment.gateways:
        await gateway.wait_until_ready()
    await asyncio.sleep(7)
    home, other = deployment.gateways[:2], deployment.gateways[2:]
    stop, outcomes = asyncio.Event(), []
    tasks.start_soon(first_turns, deployment, deployment.gateways, stop, outcomes)
    lost = 0
    for number in range(SESSIONS):
        session = Session(number, deployment)
        for _ in range(TURNS):
            served, _ = await session.turn(home[:1])
            if not served:
                record.say(f"{session.name} was not served in its first zone")
                return NOT_RUN
            await asyncio.sleep(PAUSE_S)
        record.write(f"{session.name} {'moves to the other zone' if trouble else 'stays'}")
        served, reached = await session.turn(other if trouble else home[:1])
        left_s = session.left_ms() / 1_000
        record.say(
            f"{session.name}: next turn served: {served}, tries that reached a replica: {reached},"
            f" {left_s:.1f} s left to the program's aim"
        )
        lost += not served and reached == 0 and left_s > 0
    stop.set()
    share = sum(outcomes) / max(len(outcomes), 1)
    record.say(f"first turns that reached a replica: {sum(outcomes)} of {len(outcomes)}")
    record.say(f"sessions whose turn reached no replica in {TRIES} tries: {lost} of {SESSIONS}")
    if share < 0.9:
        return NOT_RUN
    return BROKEN if lost else HELD


run(FOLDER, scenario)
