"""Loopback TCP proxy that delays, resets, refuses or stalls its connections."""

import random
import socket
import struct
from enum import Enum

import anyio
from anyio.abc import Listener, SocketAttribute, SocketStream, TaskGroup

_RECEIVE_BYTES = 65_536
_HELD_POLL_S = 0.05


class LinkState(Enum):
    """What the link does with its traffic."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    """Holds back the bytes of both directions; accepts new connections but forwards nothing."""
    DEAF = "deaf"
    """Holds back the bytes from the server but forwards the bytes to the server."""
    REFUSE = "refuse"
    """Resets new connections."""


class Link:
    """One proxied address; in the state ``DELAY`` each received chunk waits ``delay_s``."""

    def __init__(self, name: str, address: str, target: str) -> None:
        self.name = name
        self.address = address
        self.target = target
        self.state = LinkState.PASS
        self.delay_s = 0.05
        self.listener: Listener[SocketStream] | None = None
        self.accepting = anyio.CancelScope()
        self.accept_ended = anyio.Event()
        self.pairs: set[tuple[SocketStream, SocketStream]] = set()

    async def run(self, tasks: TaskGroup) -> None:
        """Listen, and return once connections are accepted."""
        host, _, port = self.address.rpartition(":")
        self.listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
        self.accepting, self.accept_ended = anyio.CancelScope(), anyio.Event()
        tasks.start_soon(self._accept, self.listener, self.accepting, self.accept_ended)

    async def _accept(
        self, listener: Listener[SocketStream], scope: anyio.CancelScope, ended: anyio.Event
    ) -> None:
        with scope:
            await listener.serve(self._serve)
        ended.set()

    async def stop_listening(self) -> None:
        """Refuse new connections until the link runs again.

        The listener is closed once nothing accepts from it: the event loop still has a callback for
        its descriptor until then, which another connection may have got.
        """
        if self.listener is not None:
            self.accepting.cancel()
            await self.accept_ended.wait()
            await self.listener.aclose()

    async def _serve(self, client: SocketStream) -> None:
        host, _, port = self.target.rpartition(":")
        if self.state is LinkState.REFUSE:
            await _reset(client)
            return
        try:
            server = await anyio.connect_tcp(host, int(port))
        except OSError:
            await _reset(client)
            return
        pair = (client, server)
        self.pairs.add(pair)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._copy, client, server, False, tasks)
                tasks.start_soon(self._copy, server, client, True, tasks)
        finally:
            self.pairs.discard(pair)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(client)
                await anyio.aclose_forcefully(server)

    async def _copy(
        self, source: SocketStream, sink: SocketStream, from_server: bool, tasks: TaskGroup
    ) -> None:
        try:
            while True:
                data = await source.receive(_RECEIVE_BYTES)
                await self._hold(from_server)
                await sink.send(data)
        except anyio.EndOfStream:
            await self._hold(from_server)
            if from_server:
                await sink.aclose()
                tasks.cancel_scope.cancel()
            else:
                await _send_eof(sink)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            await _reset(sink)
            tasks.cancel_scope.cancel()

    async def _hold(self, from_server: bool) -> None:
        if self.state is LinkState.DELAY:
            await anyio.sleep(self.delay_s)
        while self._is_held(from_server):  # noqa: ASYNC110
            await anyio.sleep(_HELD_POLL_S)

    def _is_held(self, from_server: bool) -> bool:
        return self.state is LinkState.SILENT or (self.state is LinkState.DEAF and from_server)

    async def reset_connections(self, share: float, rng: random.Random) -> None:
        """Reset a random share of the open connections."""
        for client, server in list(self.pairs):
            if rng.random() < share:
                await _reset(client)
                await _reset(server)


async def _send_eof(stream: SocketStream) -> None:
    try:
        await stream.send_eof()
    except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
        return  # the peer has closed; the copy in the other direction handles it


async def _reset(stream: SocketStream) -> None:
    """Close a connection so that its peer sees a reset."""
    raw = stream.extra(SocketAttribute.raw_socket)
    if raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await anyio.aclose_forcefully(stream)
