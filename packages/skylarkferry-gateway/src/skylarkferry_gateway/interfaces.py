"""Interfaces that a platform adapter implements for the gateway."""

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
    """Rows that changed after a version, and the version from which to continue."""

    rows: Sequence[Row]
    version: int


class Snapshot(msgspec.Struct, frozen=True):
    """A row and the store's latest version at the time of the read.

    ``age_s`` is the time since the read, if a peer made it earlier.
    """

    row: Row
    version: int
    age_s: float = 0.0


def ignore_arrival(count: int) -> None:
    """Ignore that bytes of an answer have arrived."""


class Span(msgspec.Struct, frozen=True):
    """Rows of a part, ``prefix``, from the name ``first`` to before ``end``, at most ``rows``."""

    prefix: str
    first: str
    end: str
    rows: int


class Store(Table, Protocol):
    """The platform's table store and its change feed; keys have the form ``table/part/key``."""

    async def scan_span(
        self, span: Span, on_arrival: Callable[[int], None] = ignore_arrival
    ) -> list[Row]:
        """Return the rows of a span, in key order; raise ``PlatformUnavailableError``.

        ``on_arrival`` is called with the number of bytes of the answer whenever some arrive.
        """

    async def snapshot(self, key: str) -> Snapshot:
        """Return a row and the version after which to follow its changes."""

    async def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version, waiting up to ``wait_s`` for the first one.

        Raise ``HistoryLostError`` if the store no longer has them, or ``PlatformUnavailableError``.
        """

    def unavailable_s(self) -> float:
        """Return the seconds since the store became unreachable; 0 while calls succeed."""


class Directory(Protocol):
    """The platform's registry of upstreams and routing configuration.

    ``routing_age_s`` is the time since the store gave the last answer about the configuration when
    it was returned: a peer may tell what it read earlier.
    """

    routing_age_s: float

    async def upstreams(self) -> list[UpstreamEntry]:
        """Return the valid entries; raise ``PlatformUnavailableError``."""

    async def routing(self, wait_s: float) -> RoutingTable | None:
        """Return a routing table newer than the last one returned, or ``None`` after ``wait_s``.

        Raise ``PlatformUnavailableError``.
        """

    def names(self) -> tuple[str, ...]:
        """Return the keys and prefixes that it reads from the store."""


class HeaderCodec(Protocol):
    """Translation between header fields and request metadata, and of engines' reports."""

    def decode_request(self, headers: Headers) -> RequestMetadata:
        """Decode a client's headers; raise ``BadRequestError`` for invalid values."""

    def forwarded_headers(self, headers: Headers) -> Headers:
        """Return the client headers to forward unchanged to the upstream."""

    def headers_without_key(self, headers: Headers) -> Headers:
        """Return a client's headers without its key, also if that cannot be decoded."""

    def upstream_headers(self, metadata: UpstreamRequestMetadata) -> Headers:
        """Return the headers that the gateway adds to a request to an upstream."""

    def decode_reply(self, headers: Headers) -> ReplyMetadata:
        """Decode an upstream's headers."""

    def client_headers(self, headers: Headers) -> Headers:
        """Return the upstream headers to pass to the client."""

    def process_report_target(self) -> bytes:
        """Return the target of a GET request for an engine's report about its process."""

    def decode_process_report(self, body: bytes) -> int:
        """Return the start time of the process in Unix milliseconds, 0 if the report has none.

        Raise ``MalformedDataError``.
        """


class Platform(msgspec.Struct, frozen=True):
    """Components of a platform adapter; ``directory`` builds one that reads the given store."""

    store: Store
    directory: Callable[[Store], Directory]
    codec: HeaderCodec
