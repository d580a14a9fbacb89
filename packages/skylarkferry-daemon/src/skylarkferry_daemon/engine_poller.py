"""Polling of a model engine for the load and cache events that heartbeats carry."""

import httpx
import msgspec

from skylarkferry_core.ids import ProgramId
from skylarkferry_core.messages import CacheEvent
from skylarkferry_daemon.sidecar_state import SidecarState

REQUEST_TIMEOUT_S = 1.0
MAX_PENDING_EVENTS = 10_000


class EngineLoad(msgspec.Struct):
    """Load as reported by the engine; it lags behind the actual load."""

    free_kv_tokens: int = 0


class EngineEvent(msgspec.Struct):
    """A change in the number of tokens that the engine caches for a program."""

    sequence: int
    prompt_cache_key: ProgramId
    cached_tokens: int


class EngineEvents(msgspec.Struct):
    """The engine's events after a sequence number; they may be late and have gaps."""

    events: list[EngineEvent]


class EnginePoller:
    """Polls the engine and adds new data to the sidecar's state."""

    def __init__(self, client: httpx.AsyncClient, state: SidecarState) -> None:
        self.client = client
        self.state = state
        self.after = 0
        self.crashes_seen = 0

    async def poll(self) -> None:
        """Read load and events; keep the last known load when the engine does not answer."""
        try:
            await self._read_load()
            await self._read_events()
        except (httpx.HTTPError, msgspec.DecodeError):
            return

    async def _read_load(self) -> None:
        load = msgspec.json.decode(await self._get("/v1/load"), type=EngineLoad)
        self.state.memory.free_tokens = load.free_kv_tokens

    async def _read_events(self) -> None:
        """Read new events; after a crash, read from 0 because the engine's numbering restarts."""
        if self.crashes_seen != self.state.upstream_crashes:
            self.crashes_seen = self.state.upstream_crashes
            self.after = 0
        body = await self._get(f"/v1/kv/events?after={self.after}")
        for event in msgspec.json.decode(body, type=EngineEvents).events:
            self.after = max(self.after, event.sequence)
            self.state.cache_events.append(
                CacheEvent(event.sequence, event.prompt_cache_key, event.cached_tokens)
            )
        del self.state.cache_events[:-MAX_PENDING_EVENTS]

    async def _get(self, path: str) -> bytes:
        response = await self.client.get(path, timeout=REQUEST_TIMEOUT_S)
        response.raise_for_status()
        return response.content
