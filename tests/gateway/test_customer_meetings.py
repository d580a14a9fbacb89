"""Ids of two callers that must not meet at a gateway."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.ids import CustomerId, ServiceName
from skylarkferry_gateway.customer_requests import metadata_within
from skylarkferry_gateway.messages import RequestMetadata, StreamOrigin, ToldStream
from skylarkferry_gateway.store_calls import key_part

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
