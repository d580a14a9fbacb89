"""Probe for whether the upstream accepts connections."""

from urllib.parse import urlsplit

import anyio

PROBE_TIMEOUT_S = 1.0
PROBE_PAUSE_S = 0.05
PROBE_CONNECTIONS = 2
DEFAULT_PORTS = {"http": 80, "https": 443}


class UpstreamProbe:
    """Tests the upstream by opening and closing TCP connections."""

    def __init__(self, upstream_url: str) -> None:
        parts = urlsplit(upstream_url)
        self.host = parts.hostname or ""
        self.port = parts.port or DEFAULT_PORTS[parts.scheme]

    async def accepts_connections(self) -> bool:
        """Return whether ``PROBE_CONNECTIONS`` connections in a row are accepted."""
        for _ in range(PROBE_CONNECTIONS):
            if not await self._connects():
                return False
            await anyio.sleep(PROBE_PAUSE_S)
        return True

    async def _connects(self) -> bool:
        try:
            with anyio.fail_after(PROBE_TIMEOUT_S):
                stream = await anyio.connect_tcp(self.host, self.port)
        except (OSError, TimeoutError):
            return False
        await stream.aclose()
        return True
