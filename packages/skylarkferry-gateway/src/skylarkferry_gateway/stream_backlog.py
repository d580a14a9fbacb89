"""Bytes of a stream that its client has not accepted yet, so that its upstream can go on."""

from collections import deque

import anyio

from skylarkferry_daemon.background_tasks import TaskStarter
from skylarkferry_gateway import defaults
from skylarkferry_gateway.held_memory import HeldBytes, MemoryShare
from skylarkferry_gateway.http_server import ClientConnection, ClientLeftError
from skylarkferry_gateway.metrics import GatewayMetrics


class BacklogFullError(Exception):
    """There is no memory left for a stream whose client reads too slowly."""


class StreamBacklog:
    """Send a stream to its client; hold the stream back for a while, then read ahead of the client.

    Bytes go to the client directly while its socket accepts them. Otherwise they are sent in the
    background, and the caller waits: until the client has accepted all, or ``STREAM_HOLD_S`` after
    it ceased to keep up. From then on the bytes are kept within the memory for streams.
    """

    def __init__(
        self,
        client: ClientConnection,
        tasks: TaskStarter | None,
        memory: MemoryShare,
        metrics: GatewayMetrics,
    ) -> None:
        self.client = client
        self.tasks = tasks
        self.metrics = metrics
        self.held = HeldBytes(memory, uncounted=0)
        self.parts: deque[bytes] = deque()
        self.size = 0
        self.behind_since = 0.0
        self.is_sending = False
        self.is_ahead = False
        self.scope: anyio.CancelScope | None = None
        self.progress: anyio.Event | None = None
        self.failure: ClientLeftError | None = None

    async def send(self, data: bytes) -> None:
        """Send bytes, or keep them; raise ``ClientLeftError`` or ``BacklogFullError``."""
        if self.failure is not None:
            raise self.failure
        if not self.is_sending:
            is_short = len(data) <= defaults.SEND_BYTES
            if self.tasks is None or (is_short and self.client.is_writable()):
                await self.client.send_data(data)
                return
            self.behind_since = anyio.current_time()
        if not await self._make_room(len(data)):
            await self.client.send_data(data)
            return
        self._keep(data)
        if not self.is_sending and self.tasks is not None:
            self.is_sending = True
            self.scope = anyio.CancelScope()
            self.tasks.start_soon(self._send_kept, self.scope)
        if await self._wait_until_sent(self.behind_since + defaults.STREAM_HOLD_S):
            return
        if not self.is_ahead:
            self.is_ahead = True
            self.metrics.slow_streams.labels(outcome="buffered").inc()

    def _keep(self, data: bytes) -> None:
        self.parts.extend(
            data[start : start + defaults.SEND_BYTES]
            for start in range(0, len(data), defaults.SEND_BYTES)
        )
        self.size += len(data)

    async def _make_room(self, count: int) -> bool:
        """Reserve memory; wait for it as long as the stream may be held back.

        Return False if there is none and nothing is kept: the stream is then held back as if there
        were no backlog, so that slow clients cost the others no stream.
        """
        with anyio.move_on_after(defaults.STREAM_HOLD_S):
            while not self.held.resize(self.size + count):
                if not self.is_sending:
                    return False
                await self._wait_for_progress()
                if self.failure is not None:
                    raise self.failure
            return True
        self.metrics.slow_streams.labels(outcome="ended").inc()
        raise BacklogFullError(
            f"the client reads too slowly; {self.size} bytes of its stream are waiting"
        )

    async def _wait_until_sent(self, until: float) -> bool:
        """Return whether the client has accepted all bytes by this time."""
        with anyio.move_on_at(until):
            while self.is_sending:
                await self._wait_for_progress()
        if self.failure is not None:
            raise self.failure
        return not self.is_sending

    async def _wait_for_progress(self) -> None:
        self.progress = anyio.Event()
        await self.progress.wait()

    def _report_progress(self) -> None:
        if self.progress is not None:
            self.progress.set()

    async def _send_kept(self, scope: anyio.CancelScope) -> None:
        """Send what is kept until nothing is left."""
        try:
            with scope:
                while self.parts:
                    part = self.parts.popleft()
                    await self.client.send_data(part)
                    self.size -= len(part)
                    self.held.resize(self.size)
                    self._report_progress()
        except ClientLeftError as error:
            self.failure = error
        finally:
            self.is_sending = False
            if self.size and self.failure is None:
                # An unexpected end must not let the stream pass for complete.
                self.failure = ClientLeftError()
            self._report_progress()

    async def flush(self) -> None:
        """Wait until the client has accepted all bytes; raise ``ClientLeftError``."""
        while self.is_sending:
            await self._wait_for_progress()
        if self.failure is not None:
            raise self.failure

    def close(self) -> None:
        """Stop sending and release the memory."""
        if self.scope is not None:
            self.scope.cancel()
        self.parts.clear()
        self.held.release()
        self.size = 0
