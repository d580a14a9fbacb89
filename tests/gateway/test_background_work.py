import json
import socket

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from gateway_rig import headers, send, wait_until
from skylarkferry_core.events import EventKind
from skylarkferry_gateway import placement_messages
from skylarkferry_gateway.placement_messages import Ended
from skylarkferry_gateway.upstream_views import AttemptOutcome

pytestmark = pytest.mark.anyio

WORK = {
    "Upstream list": ("upstream_watcher.directory", "upstreams"),
    "Configuration": ("config.directory", "routing"),
    "Gateway list": ("gateways.store", "scan"),
    "Crash reports": ("crashes.reports.store", "changes"),
    "Datagrams": ("placement_calls", "_receive"),
    "Probe of the store": ("store.direct", "unavailable_s"),
    "Expired attempts": ("coordinator", "forget_expired"),
}
"""What background work calls, as an attribute path from the role and a method."""


class UnexpectedError(Exception):
    """An error that no part of the gateway knows."""


def break_once(monkeypatch, gateway, path, method, failed):
    """Make the next call of a method raise, and set the event ``failed`` then."""
    component = gateway
    for name in path.split("."):
        component = getattr(component, name)
    original = getattr(component, method)

    def failing(*args, **kwargs):
        if failed.is_set():
            return original(*args, **kwargs)
        failed.set()
        raise UnexpectedError(method)

    monkeypatch.setattr(component, method, failing)


# Guards against processes that end by an error in one part of their background work.
@pytest.mark.parametrize("work", WORK)
async def test_unexpected_error_in_background_work_does_not_end_the_gateway(rig, monkeypatch, work):
    path, method = WORK[work]
    await rig.add_replica("r1")
    rig.expects_task_failures = True
    failed = anyio.Event()
    gateway = await rig.add_gateway(
        prepare=lambda gateway: break_once(monkeypatch, gateway, path, method, failed)
    )
    await failed.wait()
    await anyio.sleep(0.05)  # by then, an error that is not contained has ended the gateway
    assert_that(gateway.ended.is_set(), Equals(False))
    await wait_until(lambda: gateway.upstreams.read_at is not None)
    answer = await send(rig, "/order/1", headers("id-1"))
    assert_that(answer.status_code, Equals(200))
    failures = [event for event in gateway.log.ring if event.number == EventKind.TASK_FAILED.number]
    assert_that(failures[0].fields["detail"], Contains("UnexpectedError"))


# Guards against requests that an error in one step of a planned stop cuts.
@pytest.mark.parametrize(
    ("path", "method"), [("handover.origins", "resumable"), ("accounts", "release_all")]
)
async def test_unexpected_error_in_a_planned_stop_does_not_cut_requests(
    rig, monkeypatch, path, method
):
    replica = await rig.add_replica("r1")
    replica.work_s = 0.5
    rig.expects_task_failures = True
    gateway = await rig.add_gateway()
    failed = anyio.Event()
    break_once(monkeypatch, gateway, path, method, failed)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_soon, gateway)
        answer = await send(rig, "/order/1", headers("id-1"))
    assert_that(answer.status_code, Equals(200))
    await gateway.ended.wait()
    assert_that((failed.is_set(), rig.errors), Equals((True, [])))


async def _stop_soon(gateway):
    await anyio.sleep(0.2)
    gateway.stop.set()


ROWS = {
    "Nested": b"\x92\xa1x" + b"\x91" * 5_000,
    "Reserved byte": b"\xc1",
    "Cut": b"\x92\xaf127.0",
    "Text": b"another writer",
    "Other type": b"\x80",
    "Address without a port": b"\x92\xa8gateway1\xcb?\xf0\x00\x00\x00\x00\x00\x00",
    "Not a number of cores": b"\x92\xab127.0.0.1:9\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00",
    "Empty": b"",
}
"""Values of a row that no gateway wrote."""

TABLES = {
    "gateways": ("", "another"),
    "crashes": ("", "another"),
    "account-owners": ("", "0001"),
    "assignments": ("assignments", "tools"),
    "streams": ("streams", "another"),
}
"""Tables that gateways read in the background, with the part and the key of a row."""


# Guards against processes that end for an unreadable row of a table.
@pytest.mark.parametrize("value", ROWS)
async def test_unreadable_rows_do_not_end_the_gateway_nor_stop_its_list(rig, value):
    await rig.add_replica("r1")
    for table, (part, key) in TABLES.items():
        rig.store.put(table, part, key, ROWS[value])
    gateway = await rig.add_gateway()
    await wait_until(lambda: gateway.gateways.nodes)
    assert_that(list(gateway.gateways.members), Equals(["gateway-1"]))
    assert_that(gateway.gateways.is_first(), Equals(True))
    await rig.add_replica("r2")
    await wait_until(lambda: "r2" in gateway.upstreams.upstreams)
    answer = await send(rig, "/order/1", headers("id-1"))
    assert_that((answer.status_code, gateway.ended.is_set()), Equals((200, False)))


# Guards against processes that end, or follow the list no more, for one odd entry.
async def test_upstream_list_is_followed_beside_an_entry_that_is_nested_too_deeply(rig):
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    entry = json.loads(rig.store.value("servers", "", "r1"))
    text = json.dumps(entry)[:-1] + ', "labels": ' + "[" * 100_000
    rig.store.put("servers", "", "another", text.encode())
    await rig.add_replica("r2")
    await wait_until(lambda: "r2" in gateway.upstreams.upstreams)
    answer = await send(rig, "/order/1", headers("id-1"))
    assert_that((answer.status_code, gateway.ended.is_set()), Equals((200, False)))


# Guards against processes that end for a datagram of another process.
async def test_nested_datagram_does_not_end_the_gateway(rig):
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    host, _, port = gateway.settings.peer_listen.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        ended = bytearray(placement_messages.encode(Ended(1, AttemptOutcome.SERVED)))
        ended[0] += 1  # the array has one more item, of a field that only other versions know
        sender.sendto(bytes(ended) + b"\x91" * 5_000, (host, int(port)))
    kinds = gateway.log.ring
    await wait_until(
        lambda: any(event.number == EventKind.GATEWAY_DATAGRAM_DROPPED.number for event in kinds)
    )
    answer = await send(rig, "/order/1", headers("id-1"))
    assert_that((answer.status_code, gateway.ended.is_set()), Equals((200, False)))
