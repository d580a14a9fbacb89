"""Requests that crash upstreams, and what gateways record of them."""

from contextlib import suppress

import httpx
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_rig import (
    CRASH_MARKER,
    HOST,
    AfterCrash,
    headers,
    send,
    turn_headers,
    wait_until,
)
from skylarkferry_core.ids import CrashId
from skylarkferry_gateway.crash_reports import CrashReport
from skylarkferry_gateway.crash_watch import fingerprints_of
from skylarkferry_gateway.messages import ClientRequest, RequestMetadata

SERVICES = {"/once/1": "tools", "/turn/1": "engine"}

CRASHES = 3


async def add_crashing_replicas(rig, path, ending, after=AfterCrash.REFUSES):
    """Add one replica more than a request may crash."""
    for number in range(CRASHES + 1):
        await rig.add_crashing_replica(f"r{number}", SERVICES[path], ending, after)


async def send_crashing(rig, path, request_id, gateway):
    """Send a crashing request and return the status, or ``None`` for a broken response."""
    make_headers = turn_headers if SERVICES[path] == "engine" else headers
    fields = make_headers(request_id)
    with suppress(httpx.RemoteProtocolError, httpx.ReadError):
        return (await send(rig, path, fields, CRASH_MARKER, gateway=gateway)).status_code


def client_request(target, body=CRASH_MARKER, **metadata):
    """Return a decoded request of a client."""
    path = target.decode().partition("?")[0]
    fields = RequestMetadata(**metadata)
    return ClientRequest(b"POST", target, HOST, path, [], body, fields, 0.0)


def record_crashes(gateway, request):
    """Record that a request ran at as many crashes as quarantine it."""
    for fingerprint in fingerprints_of(request):
        for number in range(CRASHES):
            report = CrashReport(fingerprint, CrashId(f"crash-{number}"))
            gateway.crashes.reports.add(report, "")


async def assert_not_sent_any_more(rig, path, gateway, arrivals=CRASHES):
    """Assert that a gateway rejects the request, once it knows of the crashes."""
    await wait_until(gateway.crashes.registry.quarantined)
    status = await send_crashing(rig, path, "id-last", gateway)
    assert_that((status, rig.arrivals()), Equals((503, arrivals)))
