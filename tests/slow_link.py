"""A proxy in front of a server that passes its answers on at the rate of a link."""

import anyio

from skylarkferry_standins.ports import free_address

SMALL_LINK_MBPS = 15.0
"""The smallest link of a gateway."""
_PART_BYTES = 16_384
_CLOSED = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


async def slow_store(rig, mbps=SMALL_LINK_MBPS):
    """Return the address of a rig's store behind a slow link, and the link."""
    link = SlowLink(rig.store_address, mbps)
    address = free_address()
    await rig.listen(address, link)
    return address, link


class SlowLink:
    """All connections share the link; once ``stalls_after_bytes`` have passed, nothing arrives."""

    def __init__(self, target, mbps, up_mbps=None):
        self.target = target
        self.byte_s = 8 / (mbps * 1e6)
        self.up_byte_s = 8 / (up_mbps * 1e6) if up_mbps else 0.0
        self.free_at = {}
        self.passed_bytes = 0
        self.stalls_after_bytes = None

    async def serve(self, client):
        """Serve one connection."""
        host, _, port = self.target.rpartition(":")
        server = await anyio.connect_tcp(host, int(port))
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._copy, client, server, "up", self.up_byte_s, tasks)
                tasks.start_soon(self._copy, server, client, "down", self.byte_s, tasks)
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(client)
                await anyio.aclose_forcefully(server)

    async def _copy(self, source, sink, way, byte_s, tasks):
        try:
            while True:
                data = await source.receive(_PART_BYTES)
                now = anyio.current_time()
                self.free_at[way] = max(self.free_at.get(way, 0.0), now) + len(data) * byte_s
                if byte_s:
                    await anyio.sleep(self.free_at[way] - now)
                if way == "down":
                    self.passed_bytes += len(data)
                    if self._is_stalled():
                        await anyio.sleep_forever()
                await sink.send(data)
        except _CLOSED:
            tasks.cancel_scope.cancel()

    def _is_stalled(self):
        limit = self.stalls_after_bytes
        return limit is not None and self.passed_bytes >= limit
