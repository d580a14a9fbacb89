"""Check from outside whether an upstream's process ended after an attempt on it was lost."""

import random
from enum import Enum

import anyio
import msgspec

from skylarkferry_core.errors import UpstreamLostError
from skylarkferry_gateway.http_client import connect
from skylarkferry_gateway.upstreams import Upstream, Upstreams

_CONNECT_TIMEOUT_S = 0.3
"""Connect timeout of a check; a lost SYN is not repeated within it."""
_CONTROLS = 4
"""Other upstreams to connect to if one is silent, as the gateway itself may be cut off."""


class ProcessState(Enum):
    """What a check found out about an upstream's process."""

    ENDED = "ended"
    ACCEPTING = "accepting"
    """The address accepts connections: of the same process, or of one started since."""
    UNKNOWN = "unknown"
    """Neither this upstream nor others react, so the gateway may be cut off."""


class CheckResult(msgspec.Struct, frozen=True):
    """Result of a check and the observation that it rests on."""

    state: ProcessState
    detail: str


class ProcessChecker:
    """Check the process of an upstream by connecting to its address."""

    def __init__(self, upstreams: Upstreams, rng: random.Random) -> None:
        self.upstreams = upstreams
        self.rng = rng

    async def check(self, upstream: Upstream) -> CheckResult:
        """Return whether the upstream's process has ended, as far as a connection shows it."""
        reachability = await _reachability(upstream)
        if reachability is _Reachability.ACCEPTS:
            return CheckResult(ProcessState.ACCEPTING, "accepts connections")
        if reachability is _Reachability.REFUSES:
            return CheckResult(ProcessState.ENDED, "refuses connections")
        if await self._reaches_others(upstream):
            return CheckResult(ProcessState.ENDED, "silent, while other upstreams are reachable")
        return CheckResult(ProcessState.UNKNOWN, "silent, as are other upstreams")

    def check_list(self, upstream: Upstream, before: CheckResult) -> CheckResult:
        """Return the result of an earlier check, revised by what the upstream list says now."""
        entry = upstream.entry
        if upstream.removed_at is None:
            return before
        listed = self.upstreams.upstreams.get(entry.upstream)
        if listed is not None and listed.entry.born_ms != entry.born_ms:
            return CheckResult(ProcessState.ENDED, "listed with another start time")
        if listed is not None or entry.is_leaving:
            return before
        if entry.address in {item.entry.address for item in self.upstreams.upstreams.values()}:
            return CheckResult(ProcessState.ENDED, "another upstream has its address")
        if before.state is ProcessState.UNKNOWN:
            return CheckResult(ProcessState.ENDED, "silent, and no longer listed")
        return before

    async def _reaches_others(self, upstream: Upstream) -> bool:
        """Return whether any of a few other upstreams reacts to a connection attempt."""
        others = [
            item
            for item in self.upstreams.upstreams.values()
            if item.entry.address != upstream.entry.address
        ]
        found: list[_Reachability] = []

        async def ask(control: Upstream) -> None:
            found.append(await _reachability(control))

        async with anyio.create_task_group() as tasks:
            for control in self.rng.sample(others, min(_CONTROLS, len(others))):
                tasks.start_soon(ask, control)
        return any(item is not _Reachability.SILENT for item in found)


class _Reachability(Enum):
    ACCEPTS = "accepts"
    REFUSES = "refuses"
    SILENT = "silent"


async def _reachability(upstream: Upstream) -> _Reachability:
    try:
        connection = await connect(upstream.entry.address, _CONNECT_TIMEOUT_S)
    except UpstreamLostError as error:
        is_silent = isinstance(error.__cause__, TimeoutError)
        return _Reachability.SILENT if is_silent else _Reachability.REFUSES
    await connection.abort()
    return _Reachability.ACCEPTS
