"""Protocols of what the gateway takes from an adapter of its platform."""

from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from skylarkferry_core.interfaces import Row, Table
from skylarkferry_core.routes import RoutingTable
from skylarkferry_gateway.messages import (
    Headers,
    ReplyMetadata,
    RequestMetadata,
    UpstreamEntry,
    UpstreamRequestMetadata,
)


class Changes(msgspec.Struct, frozen=True):
    """Rows that changed after a version, and the version to go on from."""

    rows: Sequence[Row]
    version: int


class Snapshot(msgspec.Struct, frozen=True):
    """A row, and the newest version of the store when it was read."""

    row: Row
    version: int


class Store(Table, Protocol):
    """The platform's table service with its feed of changes; keys are ``table/part/key``."""

    async def snapshot(self, key: str) -> Snapshot:
        """Return a row and the version to follow changes from."""

    async def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version, waiting for the first one at most ``wait_s``.

        Raise ``HistoryLostError`` when they are gone and ``PlatformUnavailableError``.
        """

    def lost_s(self) -> float:
        """Return for how many seconds no call has succeeded while calls failed; 0 when well."""


class Directory(Protocol):
    """What the platform says of configuration and upstreams."""

    async def upstreams(self) -> list[UpstreamEntry]:
        """Return the entries that can be read; raise ``PlatformUnavailableError``."""

    async def routing(self, wait_s: float) -> RoutingTable | None:
        """Return a routing table that is newer than the last one, or ``None`` after ``wait_s``.

        Raise ``PlatformUnavailableError``.
        """


class HeaderCodec(Protocol):
    """Names of headers on the wire."""

    def decode_request(self, headers: Headers) -> RequestMetadata:
        """Decode a client's headers; raise ``BadRequestError`` for values that cannot be read."""

    def forwarded_headers(self, headers: Headers) -> Headers:
        """Return a client's headers that go to the upstream unchanged."""

    def upstream_headers(self, metadata: UpstreamRequestMetadata) -> Headers:
        """Return the headers that the gateway sets."""

    def decode_reply(self, headers: Headers) -> ReplyMetadata:
        """Decode an upstream's headers."""

    def client_headers(self, headers: Headers) -> Headers:
        """Return an upstream's headers that go to the client."""


class Platform(msgspec.Struct, frozen=True):
    """What an adapter gives a gateway; ``directory`` reads through the store it is given."""

    store: Store
    directory: Callable[[Store], Directory]
    codec: HeaderCodec
