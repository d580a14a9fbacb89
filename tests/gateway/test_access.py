"""Access to routes by the keys of customers, at the real gateway."""

from contextlib import suppress

import anyio
import httpx
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan, Not

from gateway_rig import HOST, ROUTES, TIMEOUT_S, config, headers, send, turn_headers, wait_until
from skylarkferry_admission.access import CONFIRMED_WITHIN_S
from skylarkferry_core.events import EventKind
from skylarkferry_gateway import defaults
from skylarkferry_gateway.settings import RevocationBounds
from skylarkferry_gateway.watchers import ConfigWatcher
from skylarkferry_standins.row_store import StoreFault

pytestmark = pytest.mark.anyio

GEARS_KEY, FISH_KEY, SHARED_KEY, ODD_KEY = "key-of-gears", "key-of-fish", "shared-key", "odd-key"
GEARS = {"name": "gears", "apiKeys": [GEARS_KEY, SHARED_KEY], "priority": 0}
FISH = {"name": "fish", "apiKeys": [FISH_KEY, SHARED_KEY]}
TENANTS = [GEARS, FISH]
PUBLIC = {"kind": "idempotent", "service": "tools", "public": True}
UNCONFIRMED_S = CONFIRMED_WITHIN_S + 0.2


def customer_config(version=1, tenants=None):
    """Return a configuration with customers and a public route."""
    routes = {**ROUTES, "/open/": PUBLIC}
    return config(version, routes, tenants=TENANTS if tenants is None else tenants)


def with_key(fields, key, scheme="Bearer"):
    return {**fields, "Authorization": f"{scheme} {key}"}


async def get(rig, request_id, key=None, path="/get/1", gateway=None, **more):
    """Send a request with a key, if there is one, and return its response."""
    fields = {**headers(request_id), **more}
    fields = with_key(fields, key) if key is not None else fields
    return await send(rig, path, fields, method="GET", gateway=gateway)


async def apply(rig, version, tenants):
    """Write a version and wait until it is in force."""
    rig.configure(customer_config(version, tenants))
    await wait_until(
        lambda: all(gateway.config.current.version == version for gateway in rig.gateways)
    )


def named_by(replica):
    """Return the customer that each request of a replica named."""
    return [run.headers.get("skylarkferry-tenant") for run in replica.runs]


def logged(gateway, kind):
    """Return the fields of a gateway's log lines of one kind."""
    return [event.fields for event in gateway.log.ring if event.number == kind.number]


@pytest.fixture
async def served(rig):
    """Run a gateway and a replica where customers are configured."""
    rig.configure(customer_config())
    rig.replica = await rig.add_replica("r1")
    rig.gateway = await rig.add_gateway()
    return rig


# Guards against a request in another customer's name, and against a key that leaves the gateway.
async def test_upstream_gets_the_holder_of_the_key_and_not_the_key(served):
    claimed = {"Skylarkferry-Tenant": "fish"}
    await get(served, "q-1", GEARS_KEY, **claimed)
    await get(served, "q-2", FISH_KEY, **claimed)
    assert_that(named_by(served.replica), Equals(["gears", "fish"]))
    assert_that(str([run.headers for run in served.replica.runs]), Not(Contains("key-of")))
    assert_that([run.request_id for run in served.replica.runs], Equals(["q-1", "q-2"]))


# Guards against keys that reach upstreams on routes that need none.
async def test_public_route_serves_any_request_and_names_the_holder_of_a_known_key(served):
    claimed = {"Skylarkferry-Tenant": "fish"}
    keys = [None, "unknown", SHARED_KEY, GEARS_KEY]
    answers = [await get(served, f"q-{key}", key, "/open/1", **claimed) for key in keys]
    assert_that([answer.status_code for answer in answers], Equals([200] * 4))
    assert_that(named_by(served.replica), Equals([None, None, None, "gears"]))
    assert_that(str([run.headers for run in served.replica.runs]), Not(Contains("authorization")))


# Guards against changes for deployments without customers.
async def test_without_customers_authorization_is_forwarded_and_no_customer_is_named(rig):
    replica = await rig.add_replica("r1")
    await rig.add_gateway()
    answer = await get(rig, "q-1", "any key", **{"Skylarkferry-Tenant": "fish"})
    assert_that(answer.status_code, Equals(200))
    assert_that(replica.runs[0].headers["authorization"], Equals("Bearer any key"))
    assert_that(named_by(replica), Equals([None]))


REFUSED = {
    "no key": [],
    "unknown key": [("Authorization", "Bearer secret-unknown")],
    "empty key": [("Authorization", "Bearer")],
    "no scheme": [("Authorization", GEARS_KEY)],
    "another scheme": [("Authorization", f"Basic {GEARS_KEY}")],
    "two keys": [("Authorization", f"Bearer {GEARS_KEY}"), ("Authorization", f"Bearer {FISH_KEY}")],
    "shared key": [("Authorization", f"Bearer {SHARED_KEY}")],
    "long key": [("Authorization", f"Bearer {'secret-' * 800}")],
    "key in two parts": [("Authorization", f"Bearer {GEARS_KEY} {GEARS_KEY}")],
}


# Guards against a request that runs without one holder of its key, and against keys in responses,
# logs and metrics.
@pytest.mark.parametrize("fields", REFUSED.values(), ids=list(REFUSED))
async def test_request_without_one_known_key_is_rejected(served, fields):
    second = await served.add_gateway("g2")
    bodies = set()
    for gateway in served.gateways:
        answer = await send(served, "/get/1", [*headers("q").items(), *fields], gateway=gateway)
        assert_that(answer.status_code, Equals(401))
        assert_that(answer.headers["www-authenticate"], Equals("Bearer"))
        bodies.add(answer.content)
    assert_that((len(bodies), served.replica.received_ids), Equals((1, [])))
    log = str([event.fields for event in second.log.ring])
    shown = log + str(bodies) + second.metrics.text().decode()
    for key in (GEARS_KEY, FISH_KEY, SHARED_KEY, "secret-"):
        assert_that(shown, Not(Contains(key)))
    assert_that(logged(second, EventKind.GATEWAY_ACCESS_REFUSED)[0]["request"], Equals("q"))


@pytest.mark.parametrize(
    "value", [f"bearer {GEARS_KEY}", f"BEARER  {GEARS_KEY}", f"Bearer {GEARS_KEY}"]
)
async def test_scheme_is_read_in_any_case_and_spaces_do_not_matter(served, value):
    fields = [*headers("q").items(), ("Authorization", value), ("Authorization", value)]
    answer = await send(served, "/get/1", fields)
    assert_that((answer.status_code, named_by(served.replica)), Equals((200, ["gears"])))


async def test_key_is_found_among_a_thousand_headers(served):
    fillers = [(f"x{number}", "1") for number in range(1_000)]
    fields = [*headers("q").items(), *fillers, ("Authorization", f"Bearer {GEARS_KEY}")]
    answer = await send(served, "/get/1", fields)
    assert_that((answer.status_code, named_by(served.replica)), Equals((200, ["gears"])))
    assert_that(str(served.replica.runs[0].headers), Not(Contains(GEARS_KEY)))


# Guards against a key in the text of an error.
@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"Authorization: Bearer secret\x00key\r\n", b"400"),
        (b"Authorization : Bearer secret-key\r\n", b"400"),
        (b"Authorization: Bearer " + b"secret" * 200_000 + b"\r\n", b"431"),
        (b"X-Filler: secret\r\n" * 1_000, b"431"),
    ],
)
async def test_malformed_and_large_heads_are_refused_without_repeating_them(served, head, status):
    host, _, port = served.gateway.settings.client_listen.rpartition(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        with anyio.move_on_after(TIMEOUT_S):
            request = b"GET /get/1 HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\n" + head + b"\r\n"
            with suppress(anyio.BrokenResourceError):  # refused before all of it was sent
                await stream.send(request)
            answer = await stream.receive()
    assert_that(answer, Contains(status))
    shown = answer.decode() + str([event.fields for event in served.gateway.log.ring])
    assert_that(shown, Not(Contains("secret")))


# Guards against a key that stays valid, or stays unknown, for as long as a connection is kept.
async def test_keys_are_checked_again_for_each_request_of_a_kept_connection(served):
    moved = [{"name": "gears", "apiKeys": []}, {"name": "fish", "apiKeys": [GEARS_KEY]}]
    steps = [
        (TENANTS, 200),
        ([FISH], 401),
        (TENANTS, 200),
        (moved, 200),
    ]
    statuses = []
    async with httpx.AsyncClient(timeout=TIMEOUT_S) as client:
        for version, (tenants, _) in enumerate(steps, 2):
            await apply(served, version, tenants)
            fields = with_key(headers(f"q-{version}"), GEARS_KEY)
            answer = await client.get(served.url("/get/1"), headers=fields)
            statuses.append(answer.status_code)
            assert_that(served.gateway.clients, Not(Equals(set())))
        assert_that(len(served.gateway.clients), Equals(1))
    assert_that(statuses, Equals([status for _, status in steps]))
    assert_that(named_by(served.replica), Equals(["gears", "gears", "fish"]))


async def test_the_first_and_the_last_of_ten_thousand_keys_are_known(served):
    keys = [f"key-{number}" for number in range(10_000)]
    await apply(served, 2, [{"name": "gears", "apiKeys": keys}])
    answers = [await get(served, key, key) for key in (keys[0], keys[-1], "key-10000")]
    assert_that([answer.status_code for answer in answers], Equals([200, 200, 401]))


async def test_shared_keys_are_logged_once_for_each_version(served):
    await apply(served, 2, TENANTS)
    await get(served, "q", SHARED_KEY)
    lines = logged(served.gateway, EventKind.GATEWAY_KEYS_SHARED)
    expected = {"keys": "1", "customers": "2: 'fish', 'gears'"}
    assert_that(lines, Equals([{"version": "1", **expected}, {"version": "2", **expected}]))


# Guards against a name that splits a header or that upstreams read in different ways.
@pytest.mark.parametrize("name", ["a\r\nX-Injected: 1", "na\u00efve", "\u6f22", "", "n" * 5_000])
async def test_customer_that_cannot_be_named_is_refused_and_others_are_served(served, name):
    await apply(served, 2, [FISH, {"name": name, "apiKeys": [ODD_KEY]}])
    odd, other = await get(served, "q-1", ODD_KEY), await get(served, "q-2", FISH_KEY)
    assert_that((odd.status_code, other.status_code), Equals((503, 200)))
    assert_that(named_by(served.replica), Equals(["fish"]))
    lines = logged(served.gateway, EventKind.GATEWAY_CUSTOMERS_UNSENDABLE)
    assert_that([len(lines), len(str(lines)) < 200], Equals([1, True]))


# Guards against a customer's requests that keep the priority of their route.
async def test_priority_of_the_customer_takes_precedence_over_that_of_the_route(rig):
    rig.configure(customer_config())
    replica = await rig.add_replica("e1", "engine")
    await rig.add_gateway()
    for key in (GEARS_KEY, FISH_KEY):
        await send(rig, "/turn/1", with_key(turn_headers(key), key))
    sent = [run.headers["skylarkferry-request-priority"] for run in replica.runs]
    assert_that(sent, Equals(["1", "4"]))


# Guards against a final answer by a gateway that knows no keys.
async def test_gateway_without_a_configuration_answers_503(served):
    served.gateway.config.current = None
    answer = await get(served, "q", "any key")
    assert_that((answer.status_code, served.replica.received_ids), Equals((503, [])))
    assert_that(float(answer.headers["retry-after"]), LessThan(1.1))


async def be_unconfirmed(gateway):
    await wait_until(lambda: gateway.config.age_s(anyio.current_time()) > UNCONFIRMED_S)


# Guards against a final 401 or 404 for what a missed version allows.
async def test_unknown_keys_and_routes_are_uncertain_while_the_store_is_away(served):
    served.store.fault = lambda request: StoreFault.REFUSED
    await be_unconfirmed(served.gateway)
    for key, path in ((None, "/get/1"), ("added", "/get/1"), (GEARS_KEY, "/added/1")):
        answer = await get(served, "q", key, path)
        assert_that(answer.status_code, Equals(503))
        assert_that(float(answer.headers["retry-after"]), LessThan(0.5))
        assert_that(answer.headers["connection"], Equals("close"))
    assert_that(served.replica.received_ids, Equals([]))
    assert_that((await get(served, "known", GEARS_KEY)).status_code, Equals(200))
    causes = [item["cause"] for item in logged(served.gateway, EventKind.GATEWAY_ACCESS_REFUSED)]
    assert_that(set(causes), Equals({"unconfirmed"}))
    served.store.fault = lambda request: StoreFault.NONE
    await wait_until(lambda: served.gateway.config.age_s(anyio.current_time()) < CONFIRMED_WITHIN_S)
    assert_that((await get(served, "q", "added")).status_code, Equals(401))


# Guards against an unknown route that is uncertain on deployments without customers.
async def test_without_customers_an_unknown_route_stays_unknown(rig):
    gateway = await rig.add_gateway()
    gateway.config.confirmed_at = -1_000.0
    assert_that((await get(rig, "q", None, "/added/1")).status_code, Equals(404))


# Guards against gateways that refuse unknown keys for as long as the store turns them away.
async def test_gateway_that_reaches_the_store_through_a_peer_is_certain(rig, frequent_reads):
    rig.configure(customer_config())
    replica = await rig.add_replica("r1")
    is_away = []
    address = await rig.add_store_listener(
        lambda request: StoreFault.REFUSED if is_away else StoreFault.NONE
    )
    await rig.add_gateway("g1")
    second = await rig.add_gateway("g2", address)
    await wait_until(second.owners.peers)
    is_away.append(True)
    await wait_until(lambda: second.store.is_relayed)
    await anyio.sleep(UNCONFIRMED_S)
    rejected = await get(rig, "q-1", "added", gateway=second)
    await apply(rig, 2, [*TENANTS, {"name": "new", "apiKeys": ["added"]}])
    answer = await get(rig, "q-2", "added", gateway=second)
    assert_that((rejected.status_code, answer.status_code), Equals((401, 200)))
    assert_that(named_by(replica), Equals(["new"]))


@pytest.mark.parametrize(("is_strict", "status"), [(True, 503), (False, 200)])
async def test_known_key_is_refused_past_its_limit_where_that_is_strict(rig, is_strict, status):
    rig.configure(customer_config())
    await rig.add_replica("r1")
    bounds = RevocationBounds(is_strict, CONFIRMED_WITHIN_S)
    gateway = await rig.add_gateway(revocation=bounds)
    assert_that((await get(rig, "q-1", GEARS_KEY)).status_code, Equals(200))
    rig.store.fault = lambda request: StoreFault.REFUSED
    await be_unconfirmed(gateway)
    assert_that((await get(rig, "q-2", GEARS_KEY)).status_code, Equals(status))
    assert_that((await get(rig, "q-3", None, "/open/1")).status_code, Equals(200))


class LateAnswers:
    """A directory whose answer is read late, as by a process that was paused meanwhile."""

    routing_age_s = 0.0

    def __init__(self, clock, delay_s):
        self.clock = clock
        self.delay_s = delay_s

    async def routing(self, wait_s):
        self.clock.now_s += self.delay_s
        await anyio.lowlevel.checkpoint()


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def current_time(self):
        return self.now_s


# Guards against an answer from before a pause that confirms the configuration of after it.
@pytest.mark.parametrize(
    ("delay_s", "age_s"), [(0.01, 0.0), (1.0, 0.0), (30.0, 30.0 - defaults.CONFIG_POLL_TIMEOUT_S)]
)
async def test_an_answer_read_late_confirms_what_was_current_when_it_was_given(
    monkeypatch, delay_s, age_s
):
    clock = Clock()
    monkeypatch.setattr("skylarkferry_gateway.watchers.anyio.current_time", clock.current_time)
    watcher = ConfigWatcher(LateAnswers(clock, delay_s), None, None, None)
    with anyio.CancelScope() as scope:

        async def end(asked_at):
            scope.cancel()
            await anyio.lowlevel.checkpoint()

        monkeypatch.setattr("skylarkferry_gateway.watchers.pause_after", end)
        await watcher.run()
    assert_that(round(watcher.age_s(clock.now_s), 6), Equals(age_s))


async def test_log_and_metrics_tell_of_refusals_and_customers(served):
    await get(served, "q-1", GEARS_KEY)
    await get(served, "q-2", "unknown")
    named = {
        item["request"]: item.get("customer")
        for item in logged(served.gateway, EventKind.GATEWAY_ANSWERED)
    }
    assert_that(named, Equals({"q-1": "gears", "q-2": None}))
    text = served.gateway.metrics.text().decode()
    line = 'skylarkferry_gateway_access_refusals_total{cause="unknown_key"} 1.0'
    assert_that(text, Contains(line))
    assert_that(text, Not(Contains("gears")))
