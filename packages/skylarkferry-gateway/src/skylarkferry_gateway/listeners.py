"""Listening sockets of a process and the loops that accept their connections."""

from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from typing import Any

import anyio
from anyio.abc import Listener, SocketStream
from anyio.lowlevel import checkpoint
from anyio.streams.stapled import MultiListener

from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.events import EventKind
from skylarkferry_daemon.background_tasks import BackgroundTasks, describe_errors
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway.sockets import is_readable

Serve = Callable[[SocketStream], Coroutine[Any, Any, None]]

_LISTEN_BACKLOG = 1_024
_LISTEN_RETRY_S = 0.2
_LISTEN_WAIT_S = 5.0
"""Longest wait for a port: an earlier process may hold it, and a host may not be up yet."""
_LISTEN_RETRY_MAX_S = 5.0
_ACCEPT_RETRY_S = 0.1
"""Pause after a connection could not be accepted; it waits in the queue of the listener."""
_MAX_ACCEPT_S = 0.5
"""Longest time for which a closing listener accepts connections that have arrived."""


class Listeners:
    """Open the listeners of one process; each connection is served in a background task."""

    def __init__(self, background: BackgroundTasks, log: EventLog) -> None:
        self.background = background
        self.log = log

    async def listen(
        self, stack: AsyncExitStack, address: str, serve: Serve
    ) -> MultiListener[SocketStream]:
        """Accept connections at ``ip:port`` until ``stack`` closes the listener.

        Connections that are open continue after that.  Raise ``OSError`` if the port cannot be
        opened for some seconds.
        """
        end = anyio.current_time() + _LISTEN_WAIT_S
        while True:
            try:
                return await self._open(stack, address, serve)
            except OSError as error:
                if anyio.current_time() >= end:
                    raise
                self._log_failed(address, error, is_required=True)
            await anyio.sleep(_LISTEN_RETRY_S)

    async def listen_if_possible(self, stack: AsyncExitStack, address: str, serve: Serve) -> None:
        """Accept connections as ``listen`` does; if that fails, go on and try again until it works.

        This is for ports without which the process can serve.
        """
        try:
            await self._open(stack, address, serve)
        except OSError as error:
            self._log_failed(address, error, is_required=False)
            self.background.start_soon(self._listen_later, stack, address, serve)

    async def _listen_later(self, stack: AsyncExitStack, address: str, serve: Serve) -> None:
        delay_s = _LISTEN_RETRY_S
        while True:
            await anyio.sleep(delay_s)
            try:
                await self._open(stack, address, serve)
                return
            except OSError as error:
                self._log_failed(address, error, is_required=False)
            delay_s = min(delay_s * 2, _LISTEN_RETRY_MAX_S)

    def _log_failed(self, address: str, error: OSError, *, is_required: bool) -> None:
        self.log.emit(
            EventKind.GATEWAY_LISTEN_FAILED,
            address=address,
            required=is_required,
            detail=repr(error),
        )

    async def _open(
        self, stack: AsyncExitStack, address: str, serve: Serve
    ) -> MultiListener[SocketStream]:
        host, _, port = address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=_LISTEN_BACKLOG
        )
        ended = anyio.Event()
        stack.push_async_callback(_wait_unless_set, ended)
        await stack.enter_async_context(listener)
        self.background.start_soon(self._accept, listener, serve, ended)
        return listener

    async def _accept(
        self, listener: Listener[SocketStream], serve: Serve, ended: anyio.Event
    ) -> None:
        """Accept connections until the listener is closed.

        ``ended`` is set when all accepted connections are being served.
        """
        try:
            await self._accept_until_closed(listener, serve)
        finally:
            ended.set()

    async def _accept_until_closed(self, listener: Listener[SocketStream], serve: Serve) -> None:
        contained = self.background.contain(serve)
        is_open = True
        while is_open:
            try:
                await listener.serve(contained, task_group=self.background.tasks)
            except* anyio.ClosedResourceError:
                is_open = False
            except* Exception as errors:  # such as no descriptor or memory left for a connection
                self.log.emit(
                    EventKind.TASK_FAILED,
                    code=ErrorCode.INTERNAL.value,
                    detail=describe_errors(errors),
                )
                await anyio.sleep(_ACCEPT_RETRY_S)


async def accept_waiting(listener: MultiListener[SocketStream]) -> None:
    """Let the connections that have arrived be accepted; closing the listener would reset them."""
    with anyio.move_on_after(_MAX_ACCEPT_S):
        while any(is_readable(item) for item in listener.listeners):
            await checkpoint()


async def _wait_unless_set(event: anyio.Event) -> None:
    """Wait for an event, without a checkpoint if it is set: a failed exit keeps its error then."""
    if not event.is_set():
        await event.wait()
