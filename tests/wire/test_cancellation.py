import anyio
import grpc
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.entry_messages import ListReply, ListRequest
from skylarkferry_wire.clients import call, open_channel
from skylarkferry_wire.methods import ENTRY_LIST
from skylarkferry_wire.servers import add_handlers, new_server


async def never_reply(request: ListRequest, context: grpc.aio.ServicerContext) -> ListReply:
    await anyio.sleep_forever()
    raise AssertionError


@pytest.mark.anyio
async def test_cancelled_scope_around_rpc_does_not_cancel_the_task():
    server = new_server()
    add_handlers(server, {ENTRY_LIST: never_reply})
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    channel = open_channel(f"127.0.0.1:{port}")
    with anyio.move_on_after(0.05) as scope:
        await call(channel, ENTRY_LIST, ListRequest(), 30.0)
    await channel.close()
    await server.stop(None)
    assert_that(scope.cancelled_caught, Equals(True))
