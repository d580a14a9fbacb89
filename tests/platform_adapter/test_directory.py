import json

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from skylarkferry_core.customers import Customer, Quota, key_digest
from skylarkferry_core.ids import CustomerId
from skylarkferry_core.interfaces import Row
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway.interfaces import Snapshot
from skylarkferry_platform.directory import PlatformDirectory

pytestmark = pytest.mark.anyio

SOUND = {
    "service": "tools",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "sequence": 1,
    "born": 1,
}


def with_field(name, value):
    """Return the bytes of a sound entry with one other field, given as JSON text."""
    text = json.dumps({key: item for key, item in SOUND.items() if key != name})
    return f'{text[:-1]}, "{name}": {value}}}'.encode()


UNUSABLE = {
    "Deeply nested unknown field": with_field("labels", "[" * 100_000),
    "Deeply nested known field": with_field("slots", "[" * 100_000 + "]" * 100_000),
    "Slots beyond 64 bits": with_field("slots", 1 << 64),
    "Slots beyond any upstream": with_field("slots", 1 << 31),
    "Negative slots": with_field("slots", -1),
    "Infinite slots": with_field("slots", "1e999"),
    "Start beyond 64 bits": with_field("born", 1 << 80),
    "Sequence beyond 64 bits": with_field("sequence", 1 << 80),
    "Port zero": with_field("address", '"10.0.0.1:0"'),
    "Port beyond 16 bits": with_field("address", '"10.0.0.1:65536"'),
    "Long port": with_field("address", '"10.0.0.1:' + "9" * 5_000 + '"'),
    "Port in other digits": with_field("address", '"10.0.0.1:٨٠"'),
    "Without version": json.dumps({k: v for k, v in SOUND.items() if k != "version"}).encode(),
    "Host name": with_field("address", '"upstream.example:80"'),
    "Unknown state": with_field("state", '"new"'),
    "Not UTF-8": b'{"service": "\xff"}',
    "Half a character": with_field("service", '"\\ud800"'),
    "Cut": with_field("zone", '"b"')[:-9],
    "Empty": b"",
    "List": b"[]",
}


class ListedRows:
    """Rows of the upstream list, as the store returns them."""

    def __init__(self, **rows):
        self.rows = rows

    async def scan(self, prefix):
        return [Row(prefix + name, value, 1) for name, value in self.rows.items()]


async def listed(log, **rows):
    entries = await PlatformDirectory(ListedRows(**rows), log).upstreams()
    return [entry.upstream for entry in entries]


# Guards against processes that end, or follow the list no more, for one odd entry.
@pytest.mark.parametrize("unusable", UNUSABLE)
async def test_entry_of_another_writer_names_no_upstream_and_the_others_hold(unusable):
    log = EventLog("node", 100)
    found = await listed(log, other=UNUSABLE[unusable], r1=json.dumps(SOUND).encode())
    assert_that(found, Equals(["r1"]))
    assert_that(
        [(event.number, event.fields["entry"]) for event in log.ring], Equals([(855, "other")])
    )


# Guards against requests that fail for an id that no header can carry.
@pytest.mark.parametrize("name", ["two words", "line\r\nbreak", "naïve", "\x7f"])
async def test_id_that_cannot_be_sent_in_a_header_names_no_upstream(name):
    log = EventLog("node", 100)
    found = await listed(
        log, **{name: json.dumps(SOUND).encode(), "r1": json.dumps(SOUND).encode()}
    )
    assert_that(found, Equals(["r1"]))


# Guards against memory that grows with each odd entry.
async def test_refused_entries_that_change_with_each_read_do_not_accumulate():
    log = EventLog("node", 100)
    store = ListedRows()
    directory = PlatformDirectory(store, log)
    for read in range(50):
        filler = json.dumps(str(read) * 1_000)
        store.rows = {"other": with_field("slots", f'"x", "filler": {filler}')}
        store.rows[f"other-{read}"] = with_field("address", filler)
        await directory.upstreams()
    assert_that(len(repr(directory.refused)), LessThan(1_000))
    logged = [event.fields["entry"] for event in log.ring]
    assert_that(logged.count("other"), Equals(1))


class StoredConfig:
    """A store that holds one configuration."""

    def __init__(self, document):
        self.document = document

    async def snapshot(self, key):
        return Snapshot(Row(key, json.dumps(self.document).encode(), 1), 1)


async def routing(**fields):
    route = {"host": "h", "prefix": "/p/", "kind": "idempotent", "service": "s"}
    document = {"version": 1, "routes": [{**route, "public": True}, {**route, "prefix": "/q/"}]}
    directory = PlatformDirectory(StoredConfig({**document, **fields}), EventLog("n", 100))
    return await directory.routing(0.0)


async def test_customers_are_decoded():
    tenants = [
        {"name": "gears", "apiKeys": ["k1", "k2", ""], "priority": 1, "ratePerS": 35, "burst": 7},
        {"name": "fish", "apiKeys": ["k3"], "ratePerS": 0},
    ]
    table = await routing(tenants=tenants)
    gears = Customer(CustomerId("gears"), 1, Quota(35.0, 7.0))
    fish = Customer(CustomerId("fish"))
    keys = [b"k1", b"k2", b"k3", b""]
    found = [table.customers.holder(key_digest(key)) for key in keys]
    assert_that(found, Equals([gears, gears, fish, None]))
    assert_that([route.is_public for route in table.routes], Equals([True, False]))


async def test_a_configuration_without_customers_has_none():
    assert_that(bool((await routing()).customers), Equals(False))


# Guards against a quota that no message between gateways can hold, which would block all others.
async def test_quota_beyond_any_load_is_bounded():
    tenants = [{"name": "gears", "apiKeys": ["k1"], "ratePerS": 1e13, "burst": 1e300}]
    table = await routing(tenants=tenants)
    assert_that(table.customers.holder(key_digest(b"k1")).quota, Equals(Quota(1e9, 1e9)))
