"""Turns that a gateway does not find under the customer that a key had before."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_rig import ROUTES, config, send, turn_headers, wait_until
from skylarkferry_admission.access import CONFIRMED_WITHIN_S
from skylarkferry_core.errors import PlatformUnavailableError

pytestmark = pytest.mark.anyio

KEY = "key-of-a-caller"


def held_by(version, name):
    return config(version, ROUTES, tenants=[{"name": name, "apiKeys": [KEY]}])


async def unavailable(wait_s):
    raise PlatformUnavailableError("the feed does not answer")


async def turn(rig, turn_id, previous, gateway):
    fields = {**turn_headers(turn_id, **previous), "Authorization": f"Bearer {KEY}"}
    return await send(rig, "/kept/1", fields, b"p", gateway=gateway)


# Guards against a final 404 by a gateway that has missed the version that moves the key.
async def test_unknown_turn_is_uncertain_while_a_version_may_be_missing(rig):
    rig.configure(held_by(1, "gears"))
    await rig.add_replica("e1", "engine")
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    second.config.directory.routing = unavailable
    await wait_until(lambda: second.config.age_s(anyio.current_time()) > CONFIRMED_WITHIN_S)
    rig.configure(held_by(2, "fish"))
    await wait_until(lambda: first.config.current.version == 2)
    began = await turn(rig, "t-1", {}, first)
    found = await turn(rig, "t-2", {"Previous_Turn": "t-1"}, second)
    missing = await turn(rig, "t-3", {"Previous_Turn": "t-0"}, first)
    assert_that(second.config.current.version, Equals(1))
    statuses = [answer.status_code for answer in (began, found, missing)]
    assert_that(statuses, Equals([200, 503, 404]))
