"""Ids of two callers that must not meet at a gateway."""

import pytest
import xxhash
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_rig import ROUTES, config, headers, send
from skylarkferry_core.customer_ids import SEPARATOR
from skylarkferry_core.ids import CustomerId, ServiceName
from skylarkferry_gateway.customer_requests import metadata_within
from skylarkferry_gateway.messages import RequestMetadata, StreamOrigin, ToldStream
from skylarkferry_gateway.store_calls import key_part
from skylarkferry_gateway.version_assignments import _key
from skylarkferry_standins.replica import Behaviour

pytestmark = pytest.mark.anyio


# Guards against a caller without a key whose stream has the id of the row of a customer's stream,
# so that the customer's is not taken over from a gateway that ends.
async def test_told_stream_of_a_customer_is_taken_beside_one_that_is_named_as_its_row(rig):
    gateway = await rig.add_gateway()
    stream = metadata_within(CustomerId("gears"), RequestMetadata(request_id="s-1")).stream
    first, second = (StreamOrigin(ServiceName("engine"), name) for name in ("v1", "v2"))
    gateway.origins.remember(key_part(stream), first)
    gateway.origins.take([ToldStream(key_part(stream), second, 0.0)])
    assert_that(gateway.origins.get(stream), Equals(second))


# Guards against a response to one customer's request that is passed to another customer, or to a
# caller without a key, whose request on the same connection has the same id.
@pytest.mark.parametrize("second", ["fish", None])
async def test_late_response_to_another_customers_request_is_not_passed_on(
    rig, monkeypatch, second
):
    tenants = [{"name": name, "apiKeys": [f"key-of-{name}"]} for name in ("gears", "fish")]
    routes = {**ROUTES, "/order/": {**ROUTES["/order/"], "public": True}}
    rig.configure(config(1, routes, tenants=tenants))
    replica = await rig.add_replica("r1")
    await rig.add_gateway()
    identity = replica._headers
    earlier = {"an-earlier-request": "q-1"}
    monkeypatch.setattr(replica, "_headers", lambda found: identity(earlier.get(found, found)))
    bodies = []
    for name, kind in (("gears", Behaviour.SERVE), (second, Behaviour.STALE_FIRST)):
        replica.behaviour = lambda request, kind=kind: (
            kind if request.body != b"gears" and is_reused(rig) else Behaviour.SERVE
        )
        fields = headers("q-1")
        if name:
            fields["Authorization"] = f"Bearer key-of-{name}"
        bodies.append((await send(rig, "/order/1", fields, str(name).encode())).content)
    assert_that(bodies, Equals([b"answer to gears", f"answer to {second}".encode()]))


def is_reused(rig):
    """Return whether the gateway has sent a request on a connection that carried another one."""
    counter = rig.gateways[0].metrics.upstream_connections.labels(state="reused")
    return counter._value.get() > 0


# Guards against other rows for services whose names have the separator of qualified ids.
def test_row_of_a_service_is_as_it_was_before_there_were_customers():
    name = ServiceName(f"a{SEPARATOR}b")
    assert_that(_key(name).endswith("x" + xxhash.xxh128_hexdigest(name.encode())), Equals(True))
