"""Retention of KV cache at the engine and release of cache that no program needs any more."""

from http import HTTPStatus

import httpx
import msgspec

from skylarkferry_core.errors import StaleEpochError
from skylarkferry_core.events import EventKind
from skylarkferry_core.frames import ReleaseProgram
from skylarkferry_core.ids import ProgramId, partition_of
from skylarkferry_core.kv_holds import KvHolds
from skylarkferry_core.messages import Fence, Order
from skylarkferry_daemon.sidecar_state import SidecarState
from skylarkferry_daemon.upstream_adapters import fence_headers

REQUEST_TIMEOUT_S = 5.0


class ReleaseBody(msgspec.Struct):
    """Body of a release request."""

    prompt_cache_key: str


class KvListing(msgspec.Struct):
    """The engine's cached tokens by program."""

    programs: dict[ProgramId, int]


class KvRetention:
    """Tracks the calls of programs and releases their cache at the engine."""

    def __init__(self, client: httpx.AsyncClient, holds: KvHolds, state: SidecarState) -> None:
        self.client = client
        self.holds = holds
        self.fences = state.fences
        self.memory = state.memory
        self.gate = state.table.gate
        self.timers = state.timers
        self.log = state.log
        self.is_releasing = False

    def on_started(self, order: Order) -> None:
        """Record that a call started."""
        self.holds.on_started(order.program_id, order.fence)

    def on_ended(self, order: Order) -> None:
        """Record that a call ended."""
        self.holds.on_ended(order.program_id, order.keep_kv_s, self.timers.now())
        if order.keep_kv_s > 0:
            self.timers.after(order.keep_kv_s, self.release_due)

    def release(self, frame: ReleaseProgram) -> None:
        """Schedule the release of a program's cache; ignore a request with a stale fence."""
        if self.fences.is_stale_else_record(frame.fence):
            self.log.emit(EventKind.ORDER_STALE, frame.program_id, order="release")
            return
        self.holds.on_release(frame.program_id, frame.fence, self.timers.now())
        self.gate.released(frame.program_id)
        self.timers.after(0.0, self.release_due)

    async def release_due(self) -> None:
        """Request the due releases, including those that become due while this method runs."""
        if self.is_releasing:
            return
        self.is_releasing = True
        try:
            while due := self.holds.due(self.timers.now()):
                for program_id, fence in due:
                    await self._release(program_id, fence)
        finally:
            self.is_releasing = False

    async def _release(self, program_id: ProgramId, fence: Fence | None) -> None:
        try:
            await self._request_release(program_id, fence or self._known_fence(program_id))
        except StaleEpochError:
            self.log.emit(EventKind.ORDER_STALE, program_id, order="release")
            self.holds.on_freed(program_id)
        except httpx.HTTPError as error:
            self.log.emit(EventKind.KV_RELEASE_FAILED, program_id, error=type(error).__name__)
            self.holds.on_failed(program_id, self.timers.now())
        else:
            self.log.emit(EventKind.KV_RELEASED, program_id)
            self.holds.on_freed(program_id)

    def _known_fence(self, program_id: ProgramId) -> Fence | None:
        """Return the highest fence seen for an unclaimed program's partition, or ``None``."""
        try:
            partition = partition_of(program_id)
        except ValueError:
            return None
        epoch = self.fences.highest.get(partition)
        return Fence(partition, epoch) if epoch is not None else None

    async def _request_release(self, program_id: ProgramId, fence: Fence | None) -> None:
        response = await self.client.post(
            "/v1/kv/release",
            content=msgspec.json.encode(ReleaseBody(program_id)),
            headers=fence_headers(fence) if fence is not None else {},
            timeout=REQUEST_TIMEOUT_S,
        )
        if response.status_code == HTTPStatus.CONFLICT:
            raise StaleEpochError("the engine saw a higher epoch")
        response.raise_for_status()

    async def sweep(self) -> None:
        """Find caches at the engine that no entry claims; update the engine's memory size."""
        try:
            response = await self.client.get("/v1/kv", timeout=REQUEST_TIMEOUT_S)
            response.raise_for_status()
            listing = msgspec.json.decode(response.content, type=KvListing)
        except (httpx.HTTPError, msgspec.DecodeError):
            return
        self.memory.tokens = self.memory.free_tokens + sum(listing.programs.values())
        self.gate.kv_tokens = self.memory.tokens
        for program_id in self.holds.on_listing(set(listing.programs), self.timers.now()):
            self.log.emit(EventKind.KV_ORPHAN_FOUND, program_id)
