"""Call gRPC methods of other skylarkferry processes."""

from collections.abc import AsyncIterator
from typing import Any

import grpc

from skylarkferry_wire.cancellation import await_rpc
from skylarkferry_wire.codec import decoder, encode
from skylarkferry_wire.errors import typed_error
from skylarkferry_wire.methods import Method
from skylarkferry_wire.servers import MAX_MESSAGE_BYTES

KEEPALIVE_INTERVAL_MS = 2_000
KEEPALIVE_TIMEOUT_MS = 2_000

CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_retries", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.keepalive_time_ms", KEEPALIVE_INTERVAL_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
)


def open_channel(address: str) -> grpc.aio.Channel:
    """Return a channel to ``host:port``, which the caller must close."""
    return grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)


async def call(channel: grpc.aio.Channel, method: Method, request: Any, timeout_s: float) -> Any:
    """Call a unary method; raise the peer's typed error, or ``ConnectionLostError``."""
    rpc = channel.unary_unary(
        method.path, request_serializer=encode, response_deserializer=decoder(method.reply)
    )
    try:
        return await await_rpc(rpc(request, timeout=timeout_s))
    except grpc.aio.AioRpcError as error:
        raise typed_error(error) from error


async def stream(channel: grpc.aio.Channel, method: Method, request: Any) -> AsyncIterator[Any]:
    """Iterate over the replies of a server-streaming method; raise errors like :func:`call`."""
    rpc = channel.unary_stream(
        method.path, request_serializer=encode, response_deserializer=decoder(method.reply)
    )
    try:
        replies = rpc(request)
        while (reply := await await_rpc(replies.read())) is not grpc.aio.EOF:
            yield reply
    except grpc.aio.AioRpcError as error:
        raise typed_error(error) from error


def open_stream(channel: grpc.aio.Channel, method: Method) -> grpc.aio.StreamStreamCall:
    """Open a bidirectional stream, which the caller must cancel."""
    rpc = channel.stream_stream(
        method.path, request_serializer=encode, response_deserializer=decoder(method.reply)
    )
    return rpc()
