"""Retries of store calls; a write whose answer was lost is verified by a read."""

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import anyio
import xxhash

from skylarkferry_core.customer_ids import is_qualified, qualified_key_part
from skylarkferry_core.errors import PlatformUnavailableError, WriteConflictError
from skylarkferry_core.interfaces import Condition, Write
from skylarkferry_gateway import defaults
from skylarkferry_gateway.interfaces import Store

Result = TypeVar("Result")

_MAX_PART_CHARS = 120
"""Longest text used unchanged in a key, in characters; the store accepts 200 bytes."""


async def retry_until(call: Callable[[], Awaitable[Result]], deadline_at: float) -> Result:
    """Repeat a read until it succeeds or the monotonic time ``deadline_at`` is reached.

    Raise ``PlatformUnavailableError`` at the deadline.
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
    """Repeat a write until it certainly took effect; its conditions prevent a second effect.

    The row of the first write is read to verify it.  Raise ``WriteConflictError`` if another
    writer's rows exist, and ``PlatformUnavailableError`` at the monotonic time ``deadline_at``;
    in that case, the rows may have been written.
    """
    may_be_written = False
    delay_s = defaults.STORE_RETRY_S
    while True:
        try:
            with anyio.fail_after(max(deadline_at - anyio.current_time(), 0)):
                await store.transact(conditions, writes)
            return
        except WriteConflictError:
            row = await retry_until(lambda: store.read(writes[0].key), deadline_at)
            if may_be_written and row.value == writes[0].value:
                return
            raise
        except PlatformUnavailableError:
            may_be_written = True
            if anyio.current_time() + delay_s >= deadline_at:
                raise
        except TimeoutError as error:
            raise PlatformUnavailableError("the store did not answer in time") from error
        await anyio.sleep(delay_s)
        delay_s = min(delay_s * 2, defaults.STORE_RETRY_MAX_S)


async def pause_after(asked_at: float) -> None:
    """Wait before a feed is read again if its last answer came at once; the store may not wait."""
    await anyio.sleep_until(asked_at + defaults.STORE_RETRY_S)


def row_key(table: str, part: str, name: str) -> str:
    """Return the key of a row; ``part`` may hold any text without a slash."""
    return f"{table}/{part}/{name}"


def key_part(text: str) -> str:
    """Return a client's text as part of a row key: unchanged if it is safe, else hashed."""
    return qualified_key_part(text) if is_qualified(text) else name_part(text)


def name_part(text: str) -> str:
    """Return an operator's name, which may have any character, as part of a row key."""
    if len(text) <= _MAX_PART_CHARS and text.isascii() and text.replace("-", "").isalnum():
        return text
    return "x" + xxhash.xxh128_hexdigest(text.encode("utf-8", "surrogateescape"))
