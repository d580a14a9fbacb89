"""Store calls that are tried again: a write whose answer is lost is settled by reading."""

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import anyio
import xxhash

from skylarkferry_core.errors import PlatformUnavailableError, WriteConflictError
from skylarkferry_core.interfaces import Condition, Write
from skylarkferry_gateway import defaults
from skylarkferry_gateway.interfaces import Store

Result = TypeVar("Result")

_MAX_PART = 120
"""Longest text used as it is in a key; the store takes 200 bytes."""


async def retry_until(call: Callable[[], Awaitable[Result]], deadline_at: float) -> Result:
    """Repeat a call that changes nothing until it succeeds or the monotonic time ``by`` comes.

    Raise ``PlatformUnavailableError`` then.
    """
    delay_s = defaults.STORE_RETRY_S
    while True:
        try:
            with anyio.fail_after(max(deadline_at - anyio.current_time(), 0)):
                return await call()
        except PlatformUnavailableError:
            if anyio.current_time() + delay_s >= deadline_at:
                raise
        except TimeoutError as error:
            raise PlatformUnavailableError("the store did not answer in time") from error
        await anyio.sleep(delay_s)
        delay_s = min(delay_s * 2, defaults.STORE_RETRY_MAX_S)


async def write_once(
    store: Store, conditions: Sequence[Condition], writes: Sequence[Write], deadline_at: float
) -> None:
    """Write rows until it is certain that they are written; the conditions make it once.

    The first write names the row that proves it.  Raise ``WriteConflictError`` when another
    writer's rows are there, ``PlatformUnavailableError`` at the time ``by``: perhaps written.
    """
    is_unsure = False
    delay_s = defaults.STORE_RETRY_S
    while True:
        try:
            with anyio.fail_after(max(deadline_at - anyio.current_time(), 0)):
                await store.transact(conditions, writes)
            return
        except WriteConflictError:
            row = await retry_until(lambda: store.read(writes[0].key), deadline_at)
            if is_unsure and row.value == writes[0].value:
                return
            raise
        except PlatformUnavailableError:
            is_unsure = True
            if anyio.current_time() + delay_s >= deadline_at:
                raise
        except TimeoutError as error:
            raise PlatformUnavailableError("the store did not answer in time") from error
        await anyio.sleep(delay_s)
        delay_s = min(delay_s * 2, defaults.STORE_RETRY_MAX_S)


def row_key(table: str, part: str, name: str) -> str:
    """Return the key of a row; ``part`` may hold any text without a slash."""
    return f"{table}/{part}/{name}"


def key_part(text: str) -> str:
    """Return a text from a client as part of a row's key: as it is where that is safe."""
    if len(text) <= _MAX_PART and text.isascii() and text.replace("-", "").isalnum():
        return text
    return "x" + xxhash.xxh128_hexdigest(text.encode("utf-8", "surrogateescape"))
