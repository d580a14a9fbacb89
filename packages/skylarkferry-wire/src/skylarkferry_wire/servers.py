"""Create gRPC servers and register method handlers."""

from collections.abc import Mapping
from typing import Any

import grpc

from skylarkferry_core.errors import SettingsInvalidError
from skylarkferry_wire.codec import decoder, encode
from skylarkferry_wire.errors import abort_on_typed_error
from skylarkferry_wire.methods import Cardinality, Method

MAX_MESSAGE_BYTES = 16 * 1024 * 1024

SERVER_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.min_ping_interval_without_data_ms", 500),
)


def _rpc_handler(method: Method, handler: Any) -> grpc.RpcMethodHandler:
    """Return the gRPC handler of one method."""
    codec = {
        "request_deserializer": decoder(method.request),
        "response_serializer": encode,
    }
    match method.cardinality:
        case Cardinality.UNARY:
            return grpc.unary_unary_rpc_method_handler(abort_on_typed_error(handler), **codec)
        case Cardinality.SERVER_STREAM:
            return grpc.unary_stream_rpc_method_handler(handler, **codec)
        case Cardinality.BOTH_STREAM:
            return grpc.stream_stream_rpc_method_handler(handler, **codec)


def add_handlers(server: grpc.aio.Server, handlers: Mapping[Method, Any]) -> None:
    """Register a handler for each method: ``async (request, context)`` or an async generator."""
    by_service: dict[str, dict[str, grpc.RpcMethodHandler]] = {}
    for method, handler in handlers.items():
        rpc = _rpc_handler(method, handler)
        by_service.setdefault(method.service, {})[method.name] = rpc
    for service, rpcs in by_service.items():
        generic = grpc.method_handlers_generic_handler(service, rpcs)
        server.add_generic_rpc_handlers((generic,))


def new_server() -> grpc.aio.Server:
    """Return a server without a listening port."""
    return grpc.aio.server(options=SERVER_OPTIONS)


def listen(server: grpc.aio.Server, address: str) -> None:
    """Listen on ``host:port``; raise ``SettingsInvalidError`` if the address is unavailable."""
    try:
        server.add_insecure_port(address)
    except RuntimeError as error:
        raise SettingsInvalidError(f"cannot listen on {address}") from error
