"""Calls and streams to another entry that end as soon as the partition has another owner."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from skylarkferry_core.errors import NotOwnerError, SkylarkferryError
from skylarkferry_daemon.attempt_history import with_unknown_outcome

CHECK_INTERVAL_S = 0.1
MAX_BUFFERED_ITEMS = 64


class PeerReply:
    """Result of a call that a task group may cancel: a reply or a typed error."""

    def __init__(self) -> None:
        self.reply: Any = None
        # The owner may have executed the request before the partition moved.
        moved_error = with_unknown_outcome(NotOwnerError("the partition moved during the call"))
        self.error: SkylarkferryError | None = moved_error

    async def await_call(self, call: Awaitable[Any]) -> None:
        """Wait for the call and store its reply or error."""
        try:
            self.reply = await call
            self.error = None
        except SkylarkferryError as error:
            self.error = error

    def get(self) -> Any:
        """Return the reply or raise the error; a cancelled call raises ``NotOwnerError``."""
        if self.error is not None:
            raise self.error
        return self.reply


class _StreamReader:
    """Reads a stream in its own task and forwards the items to a memory stream."""

    def __init__(self, items: AsyncIterator[Any], send: MemoryObjectSendStream[Any]) -> None:
        self.items = items
        self.send = send
        self.scope = anyio.CancelScope()
        self.error: SkylarkferryError | None = None

    async def run(self) -> None:
        """Read until the stream ends, fails or is cancelled."""
        with self.scope, self.send:
            try:
                async for item in self.items:
                    await self.send.send(item)
            except SkylarkferryError as error:
                self.error = error


async def follow_until_moved(
    items: AsyncIterator[Any], moved: Callable[[], bool], tasks: TaskGroup
) -> AsyncIterator[Any]:
    """Iterate over a peer's stream; raise ``NotOwnerError`` once ``moved`` returns true.

    A frozen peer keeps its stream open without sending, so the end of the stream alone does not
    show a move.  The reader runs in ``tasks``; the stream's own typed error is raised at its end.
    """
    send, receive = anyio.create_memory_object_stream[Any](MAX_BUFFERED_ITEMS)
    reader = _StreamReader(items, send)
    tasks.start_soon(reader.run)
    try:
        while True:
            item = None
            with anyio.move_on_after(CHECK_INTERVAL_S):
                try:
                    item = await receive.receive()
                except anyio.EndOfStream:
                    break
            if item is not None:
                yield item
            elif moved():
                raise NotOwnerError("the program moved to another owner")
    finally:
        reader.scope.cancel()
        receive.close()
    if reader.error is not None:
        raise reader.error
