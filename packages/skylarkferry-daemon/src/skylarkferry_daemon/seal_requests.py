"""Ask a sidecar whether a call ran."""

from contextlib import AsyncExitStack

import anyio

from skylarkferry_core.errors import UpstreamLostError
from skylarkferry_core.frames import SealReply, SealRequest
from skylarkferry_wire.clients import call, open_channel
from skylarkferry_wire.methods import SIDECAR_SEAL

TIMEOUT_S = 2.0
RETRY_S = 0.1
MAX_ATTEMPTS = 3


async def seal_at(address: str, request: SealRequest) -> SealReply:
    """Settle whether a call ran; each try opens a new channel.

    Raise ``UpstreamLostError`` when nobody answers, and ``StaleEpochError``.
    """
    for _ in range(MAX_ATTEMPTS - 1):
        try:
            return await _seal_once(address, request)
        except UpstreamLostError:
            await anyio.sleep(RETRY_S)
    return await _seal_once(address, request)


async def _seal_once(address: str, request: SealRequest) -> SealReply:
    async with AsyncExitStack() as stack:
        channel = open_channel(address)
        stack.push_async_callback(channel.close)
        reply = await call(channel, SIDECAR_SEAL, request, TIMEOUT_S)
    assert isinstance(reply, SealReply)
    return reply
