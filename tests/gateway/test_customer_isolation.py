"""Programs, turns, streams and quarantines of customers that send the same ids."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, LessThan, Not

from crashing_requests import client_request, record_crashes
from gateway_rig import (
    CRASH_MARKER,
    MAX_OUTPUT_TOKENS,
    ROUTES,
    config,
    forget_connections,
    headers,
    send,
    turn_headers,
    wait_until,
)
from skylarkferry_core.customer_ids import SEPARATOR
from skylarkferry_core.customers import Customer, key_digest
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import CustomerId, ServiceName
from skylarkferry_core.routes import RequestKind, Route, ServiceShare
from skylarkferry_gateway.crash_watch import fingerprints_of
from skylarkferry_gateway.customer_requests import metadata_within, request_for
from skylarkferry_gateway.messages import MAX_STREAM_CHARS, RequestMetadata, StreamOrigin
from skylarkferry_gateway.store_calls import key_part
from skylarkferry_standins.replica import EVENT_COUNT
from skylarkferry_standins.row_store import MAX_NAME_BYTES

pytestmark = pytest.mark.anyio

OUTPUT = b"".join(f"token {n}\n".encode() for n in range(1, EVENT_COUNT + 1))
GEARS, FISH = "key-of-gears", "key-of-fish"
TENANTS = [{"name": "gears", "apiKeys": [GEARS]}, {"name": "fish", "apiKeys": [FISH]}]
PUBLIC_KEPT = {**ROUTES["/kept/"], "public": True}
ALL_IDS = RequestMetadata(
    request_id="q",
    affinity_key="a",
    program_id="p",
    previous_turn="t",
    resumed_request="r",
    key_digest=key_digest(b"k"),
)


def customer_config():
    """Return a configuration with two customers and a public route that retains context."""
    return config(1, {**ROUTES, "/open/": PUBLIC_KEPT}, tenants=TENANTS)


@pytest.fixture
async def engine(rig):
    """Run two gateways and an engine where customers are configured."""
    rig.configure(customer_config())
    rig.engine = await rig.add_replica("e1", "engine")
    await rig.add_gateway("g1")
    await rig.add_gateway("g2")
    return rig


async def turn(rig, key, turn_id, body=b"p", previous="", *, path="/kept/1", gateway=0, **more):
    """Send a turn with a customer's key and return its response."""
    if previous:
        more["Previous_Turn"] = previous
    fields = turn_headers(turn_id, **more)
    if key:
        fields["Authorization"] = f"Bearer {key}"
    return await send(rig, path, fields, body, gateway=rig.gateways[gateway])


# Guards against a program that spends the budget of another customer's program.
async def test_programs_with_the_same_id_have_budgets_of_their_own(engine):
    sent = 0
    statuses = []
    while sent < 10 and 402 not in statuses:
        sent += 1
        answer = await turn(engine, GEARS, f"q-{sent}", path="/turn/1", budget=MAX_OUTPUT_TOKENS)
        statuses.append(answer.status_code)
    other = await turn(engine, FISH, "q-1", path="/turn/1", budget=MAX_OUTPUT_TOKENS)
    elsewhere = await turn(
        engine, GEARS, "q-x", path="/turn/1", budget=MAX_OUTPUT_TOKENS, gateway=1
    )
    found = (statuses[0], statuses[-1], other.status_code, elsewhere.status_code)
    assert_that(found, Equals((200, 402, 200, 402)))


# Guards against another customer's history in a prompt, from a cache or from the store.
@pytest.mark.parametrize("gateway", [0, 1])
async def test_another_customers_turn_is_not_found(engine, gateway):
    await turn(engine, GEARS, "t-1", b"secret ")
    answer = await turn(engine, FISH, "t-2", b"two", "t-1", gateway=gateway)
    assert_that(answer.status_code, Equals(404))
    assert_that(answer.json()["detail"], Equals("no turn t-1"))
    assert_that(engine.engine.runs, HasLength(1))
    own = await turn(engine, GEARS, "t-2", b"two", "t-1", gateway=gateway)
    assert_that(own.status_code, Equals(200))
    assert_that(engine.engine.runs[-1].body, Equals(b"secret " + OUTPUT + b"two"))


# Guards against a turn that replaces another customer's, or is refused because of it.
async def test_turns_with_the_same_id_continue_their_own_customers_chain(engine):
    for number, (key, name) in enumerate([(GEARS, b"gears "), (FISH, b"fish ")]):
        for turn_id, previous in (("t-1", ""), ("t-2", "t-1"), ("t-3", "t-2")):
            answer = await turn(engine, key, turn_id, name, previous, gateway=number)
            assert_that(answer.status_code, Equals(200))
    for key, name, gateway in ((GEARS, b"gears ", 1), (FISH, b"fish ", 0)):
        answer = await turn(engine, key, "t-4", name, "t-3", gateway=gateway)
        assert_that(answer.status_code, Equals(200))
        assert_that(engine.engine.runs[-1].body, Equals((name + OUTPUT) * 3 + name))


# Guards against a caller without a key that names a customer in an id, or a row's key.
async def test_a_caller_without_a_key_cannot_name_a_customers_turn(engine):
    await turn(engine, GEARS, "t-1", b"secret ")
    row = next(part for table, part, _ in engine.store.rows if table == "turns")
    for previous in ("t-1", "gears/t-1", f"gears{SEPARATOR}t-1".encode(), row, row[2:]):
        fields = {**turn_headers("t-2"), "Skylarkferry-Previous-Turn": previous}
        answer = await send(engine, "/open/1", fields, b"two")
        assert_that(answer.status_code, Equals(404))
    assert_that(engine.engine.runs, HasLength(1))


async def test_ids_on_the_wire_stay_the_clients(engine):
    await turn(engine, GEARS, "t-1", b"one")
    await turn(engine, GEARS, "t-2", b"two", "t-1")
    run = engine.engine.runs[-1]
    found = [
        run.headers[f"skylarkferry-{name}"]
        for name in ("request-id", "program-id", "previous-turn")
    ]
    assert_that(found, Equals(["t-2", "program", "t-1"]))


def resumption_sources(gateway):
    return [
        event.fields["source"]
        for event in gateway.log.ring
        if event.number == EventKind.GATEWAY_STREAM_RESUMED.number
    ]


# Guards against a stream that goes on where another customer's stream of the same id began.
async def test_another_customers_stream_is_not_resumed(engine):
    began = await turn(engine, GEARS, "s-1", path="/resume/1")
    resumed = {"Last-Event-Id": "2", "Resumes": "s-1"}
    for key in (FISH, GEARS):
        fields = {**turn_headers(f"s-2-{key}"), **resumed, "Authorization": f"Bearer {key}"}
        await send(engine, "/resume/1", fields, b"p")
    assert_that(began.status_code, Equals(200))
    first, second = resumption_sources(engine.gateways[0])
    assert_that((first, second), Equals(("assignment", "memory")))


# Guards against the version of another customer's stream, from a row, a gateway or a stopped one.
async def test_origins_of_streams_are_kept_by_customer(engine):
    gears, fish = (
        metadata_within(CustomerId(name), RequestMetadata(request_id="s-1"))
        for name in ("gears", "fish")
    )
    origins = engine.gateways[0].origins
    origin = StreamOrigin(ServiceName("engine"), "v9")
    origins.remember(gears.stream, origin)
    row = origins.store_row(gears.stream, origin)
    await wait_until(row.stored.is_set)
    second = engine.gateways[1].origins
    found = [await second.read(item.stream) for item in (gears, fish)]
    assert_that(found, Equals([origin, None]))
    second.take(origins.resumable())
    known = [second.get(item) for item in (gears.stream, fish.stream, "s-1")]
    assert_that(known, Equals([origin, None, None]))


# Guards against a customer whose requests are refused because another's crash upstreams.
async def test_quarantine_holds_for_the_customer_of_the_crashing_request(engine):
    replica = await engine.add_replica("r1")
    for gateway in engine.gateways:
        await wait_until(lambda gateway=gateway: "r1" in gateway.upstreams.upstreams)
    request = client_request(b"/once/1", request_id="q-1")
    crashing = request_for(request, ROUTE, Customer(CustomerId("gears")), [])
    record_crashes(engine.gateways[0], crashing)
    for gateway in engine.gateways:
        await wait_until(gateway.crashes.registry.quarantined)
    statuses = [
        (await once(engine, key, gateway)).status_code
        for key in (GEARS, FISH)
        for gateway in engine.gateways
    ]
    assert_that(statuses, Equals([503, 503, 200, 200]))
    assert_that({run.headers["skylarkferry-tenant"] for run in replica.runs}, Equals({"fish"}))


async def once(rig, key, gateway):
    fields = {**headers("q-2"), "Authorization": f"Bearer {key}"}
    return await send(rig, "/once/1", fields, CRASH_MARKER, gateway=gateway)


HASHED_PARTS = ["x9af7dbb1e9a872e97dcde7f48590a634", "x3d45c979bf71cc50955a936368c2b166"]
"""Row keys of two ids that are hashed, as they were before there were customers."""
ROUTE = Route("r", "h", "/", RequestKind.IDEMPOTENT, (ServiceShare(ServiceName("s")),), 1.0, 1.0)


# Guards against requests without a program or a previous turn that share a quarantine.
@pytest.mark.parametrize(("ids", "count"), [({}, 3), ({"program_id": "p"}, 6)])
def test_fingerprints_of_two_customers_and_of_nobody_differ(ids, count):
    request = client_request(b"/once/1", request_id="q", **ids)
    found = [
        fingerprints_of(request_for(request, ROUTE, customer, []))
        for customer in (None, Customer(CustomerId("gears")), Customer(CustomerId("fish")))
    ]
    assert_that(set().union(*found), HasLength(count))
    assert_that(found[0], Equals(fingerprints_of(request)))


# Guards against changed ids and rows on deployments without customers.
def test_without_a_customer_ids_and_rows_stay_as_they_were():
    request = client_request(b"/once/1", **msgspec.structs.asdict(ALL_IDS))
    unchanged = request_for(request, ROUTE, None, request.headers)
    assert_that(unchanged.metadata, Is(request.metadata))
    assert_that(unchanged.customer, Is(None))
    assert_that((ALL_IDS.turn_id, ALL_IDS.stream, ALL_IDS.assignment_key), Equals(("q", "r", "p")))
    parts = [key_part(text) for text in ("turn-1", "x" * 120, "two words", "x" * 121)]
    assert_that(parts[:2], Equals(["turn-1", "x" * 120]))
    assert_that(parts[2:], Equals(HASHED_PARTS))


def test_every_id_is_looked_up_within_the_customer():
    found = metadata_within(CustomerId("gears"), ALL_IDS)
    texts = [
        found.program_id,
        found.affinity_key,
        found.previous_turn,
        found.turn_id,
        found.stream,
        found.assignment_key,
    ]
    assert_that(texts, Equals([f"gears{SEPARATOR}{text}" for text in "patqrp"]))
    assert_that(found.request_id, Equals("q"))
    first = metadata_within(CustomerId("gears"), RequestMetadata(request_id="q"))
    assert_that((first.is_resumption, first.program_id), Equals((False, "")))
    assert_that((first.stream, first.previous_turn), Equals((f"gears{SEPARATOR}q", "")))


# Guards against rows that the store refuses for the length of their keys.
def test_row_keys_of_customers_stay_within_the_limits():
    metadata = metadata_within(CustomerId("n" * 100), RequestMetadata(request_id="q" * 5_000))
    part = key_part(metadata.turn_id)
    assert_that(len(part), LessThan(MAX_STREAM_CHARS + 1))
    assert_that(len(f"program.{part}"), LessThan(MAX_NAME_BYTES + 1))
    assert_that(key_part(part), Not(Equals(part)))


async def test_two_customers_share_the_cache_of_a_common_prompt_prefix(engine):
    prefix = {"Prompt_Prefix": "system:40,own:10"}
    await engine.add_replica("e2", "engine")
    for gateway in engine.gateways:
        await wait_until(lambda gateway=gateway: len(gateway.upstreams.upstreams) == 2)
    gateway = engine.gateways[0]
    for number, key in enumerate((GEARS, FISH)):
        answer = await turn(engine, key, f"q-{number}", path="/turn/1", program=key, **prefix)
        assert_that(answer.status_code, Equals(200))
        forget_connections(gateway)
    placed = [
        event.fields["cached"]
        for event in gateway.log.ring
        if event.number == EventKind.GATEWAY_PLACED.number
    ]
    assert_that(placed[-1], Not(Equals("0")))
