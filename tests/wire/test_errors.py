import grpc
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.entry_messages import ListReply, ListRequest
from skylarkferry_core.errors import ErrorCode, OverloadedError, SkylarkferryError
from skylarkferry_wire.clients import call, open_channel
from skylarkferry_wire.methods import ENTRY_LIST
from skylarkferry_wire.servers import add_handlers, new_server


async def refuse(request: ListRequest, context: grpc.aio.ServicerContext) -> ListReply:
    raise OverloadedError("full", retry_after_s=3.0)


@pytest.mark.anyio
async def test_client_receives_code_and_retry_delay_of_a_typed_error():
    server = new_server()
    add_handlers(server, {ENTRY_LIST: refuse})
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    channel = open_channel(f"127.0.0.1:{port}")
    with pytest.raises(SkylarkferryError) as caught:
        await call(channel, ENTRY_LIST, ListRequest(), 5.0)
    await channel.close()
    await server.stop(None)
    assert_that(caught.value.code, Equals(ErrorCode.OVERLOADED))
    assert_that(caught.value.retry_after_s, Equals(3.0))
