"""Transmit typed errors over gRPC in the status details."""

from collections.abc import Awaitable, Callable
from typing import Any, NoReturn

import grpc
import msgspec

from skylarkferry_core.entry_messages import Failure, to_error, to_failure
from skylarkferry_core.errors import ConnectionLostError, SkylarkferryError


async def abort_with(context: grpc.aio.ServicerContext, error: SkylarkferryError) -> NoReturn:
    """Abort the RPC with a typed error in the status details."""
    details = msgspec.json.encode(to_failure(error)).decode()
    await context.abort(grpc.StatusCode.FAILED_PRECONDITION, details)
    raise AssertionError(details)


def typed_error(error: grpc.aio.AioRpcError) -> SkylarkferryError:
    """Return the typed error of a failed RPC.

    A transport failure becomes ``ConnectionLostError``, since the request may have run.
    """
    if error.code() == grpc.StatusCode.FAILED_PRECONDITION:
        try:
            return to_error(msgspec.json.decode(error.details() or "", type=Failure))
        except msgspec.DecodeError:
            pass
    return ConnectionLostError(f"RPC failed: {error.code().name}")


Handler = Callable[[Any, grpc.aio.ServicerContext], Awaitable[Any]]


def abort_on_typed_error(handler: Handler) -> Handler:
    """Wrap a unary handler to abort the RPC with the typed errors that it raises."""

    async def wrapped(request: Any, context: grpc.aio.ServicerContext) -> Any:
        try:
            return await handler(request, context)
        except SkylarkferryError as error:
            await abort_with(context, error)

    return wrapped
