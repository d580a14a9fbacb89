"""Quotas in real gateways, whose requests all carry one customer's key."""

import json

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from gateway_rig import config, headers, send, turn_headers, wait_until
from skylarkferry_core.customers import key_digest
from skylarkferry_gateway import defaults
from skylarkferry_gateway.attempts import Attempts
from skylarkferry_standins.replica import Behaviour

pytestmark = pytest.mark.anyio

KEY = "key-of-a"


@pytest.fixture(autouse=True)
def fast_gateway_list(monkeypatch):
    monkeypatch.setattr(defaults, "GATEWAY_HEARTBEAT_S", 0.2)


def limited(version, rate, burst):
    document = config(version)
    document["tenants"] = [
        {"name": "a", "apiKeys": [KEY], "ratePerS": rate, "burst": burst},
        {"name": "b", "apiKeys": ["key-of-b"]},
    ]
    return document


def authenticate(role, key=KEY):
    """Let every request of a gateway carry a key."""
    decode = role.gateway._decode

    def decode_with_key(received, received_at):
        request = decode(received, received_at)
        metadata = msgspec.structs.replace(request.metadata, key_digest=key_digest(key.encode()))
        return msgspec.structs.replace(request, metadata=metadata)

    role.gateway._decode = decode_with_key


async def add_gateways(rig, count, *, rate, burst, key=KEY):
    rig.configure(limited(2, rate, burst))
    for index in range(count):
        gateway = await rig.add_gateway(f"g{index}")
        authenticate(gateway, key)
    await wait_until(lambda: all(len(item.gateways.nodes) == count for item in rig.gateways))
    await wait_until(lambda: all(has_full_pool(gateway) for gateway in rig.gateways))


def has_full_pool(gateway):
    """Return whether all shares of the burst have counted at the gateway's owners."""
    return all(
        exchange.burst_owner.counts_burst(exchange.clock()) and exchange.heard > 0.99
        for exchange in gateway.quotas.exchanges
    )


async def send_many(rig, count, path="/once/1", first=0):
    """Send requests through all gateways in turn; return the responses."""
    responses = []
    for number in range(first, first + count):
        gateway = rig.gateways[number % len(rig.gateways)]
        responses.append(await send(rig, path, headers(f"id-{number}"), gateway=gateway))
    return responses


def statuses(responses):
    return [response.status_code for response in responses]


def charged(gateway):
    """Return the tokens that a gateway has charged requests."""
    charges = gateway.metrics.quota_charges
    return sum(charges.labels(source=source)._value.get() for source in ("owner", "stock"))


async def test_requests_beyond_the_quota_are_refused_with_the_time_to_come_back(rig):
    replica = await rig.add_replica("r1")
    await add_gateways(rig, 1, rate=4.0, burst=10.0)
    await anyio.sleep(4.0)  # gateways begin without tokens
    responses = await send_many(rig, 30)
    served = statuses(responses).count(200)
    assert_that(served, GreaterThan(7))
    assert_that(served, LessThan(15))
    refused = next(response for response in responses if response.status_code == 429)
    body = json.loads(refused.content)
    assert_that((body["code"], body["word"]), Equals(("customer_limit", "not_run")))
    assert_that(0 < float(refused.headers["retry-after"]) < 10, Equals(True))
    assert_that(len(replica.received_ids), Equals(served))


async def test_gateways_share_one_quota(rig):
    """Guards against a limit that each gateway keeps by itself, so that all exceed it."""
    await rig.add_replica("r1")
    await add_gateways(rig, 3, rate=4.0, burst=12.0)
    await anyio.sleep(4.0)
    served = statuses(await send_many(rig, 40)).count(200)
    assert_that(served, GreaterThan(8))
    assert_that(served, LessThan(18))


async def test_small_customer_is_served_at_any_gateway(rig):
    """Guards against shares of less than one token at each gateway."""
    await rig.add_replica("r1")
    await add_gateways(rig, 3, rate=2.5, burst=3.0)
    await anyio.sleep(2.0)
    found = []
    for number in range(4):
        found += statuses(await send_many(rig, 1, first=number))
        await anyio.sleep(0.6)
    assert_that(found, Equals([200] * 4))


async def test_customer_without_a_quota_is_not_counted(rig):
    await rig.add_replica("r1")
    await add_gateways(rig, 1, rate=0.1, burst=1.0, key="key-of-b")
    assert_that(statuses(await send_many(rig, 15)), Equals([200] * 15))


async def test_quota_of_the_newest_configuration_applies(rig):
    await rig.add_replica("r1")
    await add_gateways(rig, 1, rate=0.1, burst=1.0)
    gateway = rig.gateways[0]
    assert_that(statuses(await send_many(rig, 6)).count(429), GreaterThan(3))
    rig.configure(limited(3, 1_000.0, 1_000.0))
    await wait_until(lambda: gateway.config.current.version == 3)
    await anyio.sleep(0.5)
    assert_that(statuses(await send_many(rig, 10, first=10)), Equals([200] * 10))


async def test_request_that_certainly_did_not_run_costs_nothing(rig):
    """Guards against a quota that is spent on upstreams which refuse."""
    replica = await rig.add_replica("r1")
    replica.behaviour = lambda request: Behaviour.SHED
    await add_gateways(rig, 1, rate=20.0, burst=20.0)
    await anyio.sleep(1.0)
    gateway = rig.gateways[0]
    found = statuses(await send_many(rig, 6))
    returned = gateway.metrics.quota_returns._value.get()
    assert_that((found, returned, charged(gateway)), Equals(([503] * 6, 6.0, 6.0)))


async def test_each_attempt_that_may_have_run_is_charged(rig):
    """Guards against retries that exceed the limit of what upstreams run."""
    for name in ("r1", "r2"):
        replica = await rig.add_replica(name)
        replica.behaviour = lambda request: Behaviour.LOSE_ANSWER
    await add_gateways(rig, 1, rate=100.0, burst=100.0)
    await anyio.sleep(0.5)
    gateway = rig.gateways[0]
    await send(rig, "/get/1", headers("id-1"))
    found = (rig.arrivals(), charged(gateway) - gateway.metrics.quota_returns._value.get())
    assert_that(found, Equals((2, 2.0)))


async def test_attempt_without_an_upstream_asks_for_no_token(rig):
    """Guards against a known response that is held back until a token is granted or refused."""
    replica = await rig.add_replica("r1")
    replica.behaviour = lambda request: Behaviour.LOSE_ANSWER
    await add_gateways(rig, 1, rate=100.0, burst=100.0)
    await anyio.sleep(0.5)
    await send(rig, "/get/1", headers("id-1"))
    assert_that((rig.arrivals(), charged(rig.gateways[0])), Equals((1, 1.0)))


async def test_turns_are_charged(rig):
    await rig.add_replica("e1", "engine")
    await add_gateways(rig, 1, rate=100.0, burst=100.0)
    await anyio.sleep(0.5)
    response = await send(rig, "/turn/1", turn_headers("id-1"))
    gateway = rig.gateways[0]
    assert_that((response.status_code, charged(gateway)), Equals((200, 1.0)))


async def test_gateways_that_start_together_serve_before_the_next_heartbeat(rig, monkeypatch):
    """Guards against 6 s without tokens, until all have read each other's row."""
    monkeypatch.setattr(defaults, "GATEWAY_HEARTBEAT_S", 5.0)
    await rig.add_replica("r1")
    rig.configure(limited(2, 20.0, 20.0))
    for index in range(3):
        authenticate(await rig.add_gateway(f"g{index}"))
    began = anyio.current_time()
    await wait_until(lambda: all(has_full_pool(gateway) for gateway in rig.gateways))
    await anyio.sleep(0.5)
    found = statuses(await send_many(rig, 3))
    assert_that((found, anyio.current_time() - began < 4.5), Equals(([200] * 3, True)))


async def test_end_of_an_owner_is_bridged(rig):
    await rig.add_replica("r1")
    await add_gateways(rig, 3, rate=40.0, burst=40.0)
    await anyio.sleep(1.5)
    owner = rig.gateways[0].quotas.exchanges[0].burst_owner.owner
    ended = next(item for item in rig.gateways if item.settings.node == owner)
    ended.scope.cancel()
    await ended.ended.wait()
    rig.gateways.remove(ended)
    await anyio.sleep(1.5)
    found = statuses(await send_many(rig, 15, first=100))
    rig.gateways.append(ended)
    assert_that(found, Equals([200] * 15))


async def test_deployment_without_quotas_sends_nothing(rig, monkeypatch):
    """Guards against costs for those who have no customers."""
    await rig.add_replica("r1")
    for index in range(2):
        await rig.add_gateway(f"g{index}")
    assert_that(statuses(await send_many(rig, 4)), Equals([200] * 4))
    await anyio.sleep(1.0)
    sent = [
        gateway.metrics.quota_exchanges.labels(outcome=outcome)._value.get()
        for gateway in rig.gateways
        for outcome in ("answered", "silent", "own", "repeated")
    ]
    assert_that(sum(sent), Equals(0.0))


def test_attempts_without_a_quota_hold_no_tokens():
    attempts = Attempts.__new__(Attempts)
    attempts.charge, attempts.attempts_made = None, 0
    attempts.count_sent()
    assert_that(attempts.attempts_made, Equals(1))
