"""Calls between gateways: token reservations at a partition's owner, and relayed store calls."""

from collections.abc import Callable
from contextlib import AsyncExitStack, suppress
from enum import Enum
from http import HTTPStatus
from typing import TypeVar

import anyio
import msgspec

from skylarkferry_core.errors import (
    AnswerInvalidError,
    BadRequestError,
    ConnectionLostError,
    MalformedDataError,
    NotOwnerError,
    PlatformUnavailableError,
    SkylarkferryError,
    TokensSpentError,
    UpstreamLostError,
)
from skylarkferry_core.ids import ProgramId, TurnId
from skylarkferry_gateway import defaults
from skylarkferry_gateway.accounts import AccountManager, AllowancePendingError
from skylarkferry_gateway.decoding import check_address, decode
from skylarkferry_gateway.http_client import HttpConnection, connect
from skylarkferry_gateway.http_server import ClientConnection, ClientLeftError, ReceivedRequest
from skylarkferry_gateway.interfaces import Store, ignore_arrival
from skylarkferry_gateway.messages import (
    HandedPartition,
    Reservation,
    StreamOrigin,
    ToldStream,
    ToldStreams,
)
from skylarkferry_gateway.relayed_calls import (
    CallKind,
    RelayedCall,
    RelayedReply,
    perform_within_memory,
)
from skylarkferry_gateway.remembered_rows import RememberedRows
from skylarkferry_gateway.stream_origins import StreamOrigins
from skylarkferry_gateway.transfer_room import TransferRoom
from skylarkferry_gateway.transfer_timeout import TransferTimeout

Reply = TypeVar("Reply")

_RESERVE = b"/reserve"
_SETTLE = b"/settle"
_STORE = b"/store"
_STREAM = b"/stream"
_STREAMS = b"/streams"
_PARTITION = b"/partition"
_PEER_HEADER = b"skylarkferry-peer"
"""Names the address at which the calling gateway serves calls of others."""
_MAX_CALLERS = 8
_MAX_REPLY_BYTES = 65_536
"""Largest reply to a call that is not relayed to the store."""
_MAX_PROGRESS_RESPONSES = 1 + round(defaults.PEER_TRANSFER_TIMEOUT_S / defaults.PEER_PROGRESS_S)


class Verdict(Enum):
    """An owner's answer to a reservation."""

    GRANTED = "granted"
    SPENT = "spent"
    PENDING = "pending"
    NOT_OWNER = "not_owner"
    NO_STORE = "no_store"


class ReserveReply(msgspec.Struct, frozen=True):
    """Reply to a reservation: the verdict and, if refused, its reason."""

    verdict: Verdict
    detail: str = ""


class Settlement(msgspec.Struct, frozen=True):
    """Number of tokens of a turn that were sent to its client."""

    program_id: ProgramId
    turn: TurnId
    tokens: int


class ToldReply(msgspec.Struct, frozen=True):
    """Reply to a gateway that tells its streams: how many of them were new."""

    taken: int


class TakenReply(msgspec.Struct, frozen=True):
    """Reply to an owner that hands a partition over: whether it was taken."""

    is_taken: bool


_SETTLEMENT = msgspec.json.Decoder(Settlement)
_RELAYED_CALL = msgspec.json.Decoder(RelayedCall)
_STREAM_ID = msgspec.json.Decoder(str)
_RESERVATION = msgspec.json.Decoder(Reservation)
_TOLD_STREAMS = msgspec.json.Decoder(ToldStreams)
_HANDED_PARTITION = msgspec.json.Decoder(HandedPartition)
_TAKEN_REPLY = msgspec.json.Decoder(TakenReply)
_RESERVE_REPLY = msgspec.json.Decoder(ReserveReply)
_RELAYED_REPLY = msgspec.json.Decoder(RelayedReply)
_TOLD_REPLY = msgspec.json.Decoder(ToldReply)
_STREAM_REPLY: msgspec.json.Decoder[StreamOrigin | None] = msgspec.json.Decoder(StreamOrigin | None)


class PeerSilentError(SkylarkferryError):
    """A peer did not answer in time; it may have performed the call."""


class PeerDownError(SkylarkferryError):
    """A peer's process does not listen, ended during the call or gave no valid answer.

    It may have performed the call.
    """


class PeerUnreachableError(PeerDownError):
    """The connection to a peer failed; no call was sent."""


class PeerCallers:
    """Addresses of the gateways that called last; a process that starts knows no others."""

    def __init__(self) -> None:
        self.addresses: dict[str, None] = {}

    def add(self, value: bytes) -> None:
        """Add the address that a call names; a malformed one is left out."""
        address = value.decode("latin-1")
        try:
            check_address(address)
        except MalformedDataError:
            return
        self.addresses.pop(address, None)
        self.addresses[address] = None
        if len(self.addresses) > _MAX_CALLERS:
            del self.addresses[next(iter(self.addresses))]


class PeerServer:
    """Serve calls from other gateways."""

    def __init__(
        self,
        accounts: AccountManager,
        store: Store,
        origins: StreamOrigins,
        remembered: RememberedRows | None = None,
        callers: PeerCallers | None = None,
        *,
        transfers: TransferRoom | None = None,
    ) -> None:
        self.accounts = accounts
        self.store = store
        self.origins = origins
        self.remembered = remembered or RememberedRows()
        self.callers = callers or PeerCallers()
        self.transfers = transfers
        self.feeds = anyio.Semaphore(defaults.PEER_FEEDS)

    async def handle(self, received: ReceivedRequest, client: ClientConnection) -> None:
        """Serve one call."""
        if caller := received.header(_PEER_HEADER):
            self.callers.add(caller)
        if received.target == _SETTLE:
            settlement = decode(_SETTLEMENT.decode, received.body)
            self.accounts.settle(settlement.program_id, settlement.turn, settlement.tokens)
            await client.respond(200, [], b"{}")
            return
        if received.target == _STORE:
            await self.perform(decode(_RELAYED_CALL.decode, received.body), client)
            return
        if received.target == _STREAM:
            stream = decode(_STREAM_ID.decode, received.body)
            await client.respond(200, [], msgspec.json.encode(self.origins.get(stream)))
            return
        if received.target == _STREAMS:
            await self._take_streams(received.body, client)
            return
        if received.target == _PARTITION:
            await self._take_partition(received.body, client)
            return
        reply = await self._reserve(decode(_RESERVATION.decode, received.body))
        await client.respond(200, [], msgspec.json.encode(reply))

    async def perform(self, call: RelayedCall, client: ClientConnection) -> None:
        """Make a store call for another gateway, which hears meanwhile that it is worked on."""
        if call.kind is CallKind.REMEMBERED:
            reply = msgspec.json.encode(self.remembered.reply(call.name))
            await client.respond(200, [], reply)
            return
        async with AsyncExitStack() as stack:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_send_progress, client)
                if call.kind is CallKind.CHANGES:
                    await stack.enter_async_context(self.feeds)
                reply = msgspec.json.encode(
                    await perform_within_memory(self.store, call, self.transfers)
                )
                tasks.cancel_scope.cancel()
            await client.respond(200, [], reply)

    async def _take_streams(self, body: bytes, client: ClientConnection) -> None:
        """Keep the streams of a gateway that ends, unless this one has told its own already."""
        if self.origins.has_told:
            await client.send_error(
                PlatformUnavailableError("this gateway ends too"), closes_connection=True
            )
            return
        try:
            told = decode(_TOLD_STREAMS.decode, body)
        except MalformedDataError as error:
            self.origins.refuse(error.detail)
            await client.send_error(BadRequestError(error.detail), closes_connection=True)
            return
        taken = self.origins.take(told.streams)
        await client.respond(200, [], msgspec.json.encode(ToldReply(taken)))

    async def _take_partition(self, body: bytes, client: ClientConnection) -> None:
        """Go on with a partition of a gateway that ends."""
        try:
            handed = decode(_HANDED_PARTITION.decode, body)
        except MalformedDataError as error:
            await client.send_error(BadRequestError(error.detail), closes_connection=True)
            return
        reply = TakenReply(self.accounts.take(handed))
        await client.respond(200, [], msgspec.json.encode(reply))

    async def _reserve(self, reservation: Reservation) -> ReserveReply:
        deadline_at = anyio.current_time() + defaults.OWNER_WAIT_S
        try:
            await self.accounts.reserve(reservation, deadline_at)
        except TokensSpentError as error:
            return ReserveReply(Verdict.SPENT, error.detail)
        except NotOwnerError as error:
            return ReserveReply(Verdict.NOT_OWNER, error.detail)
        except AllowancePendingError as error:
            return ReserveReply(Verdict.PENDING, error.detail)
        except PlatformUnavailableError as error:
            return ReserveReply(Verdict.NO_STORE, error.detail)
        return ReserveReply(Verdict.GRANTED)


class PeerClient:
    """Call other gateways over persistent connections; each call names this one's own address."""

    def __init__(self, own_address: str = "") -> None:
        self.own_address = own_address
        self.idle: dict[str, list[HttpConnection]] = {}
        self.answered_at = 0.0
        self.silent_at = 0.0

    async def reserve(self, address: str, reservation: Reservation) -> ReserveReply:
        """Reserve tokens at an owner; raise ``PeerSilentError`` or ``PeerDownError``."""
        body = await self._call(address, _RESERVE, msgspec.json.encode(reservation))
        return _decode(address, body, _RESERVE_REPLY)

    async def settle(self, address: str, settlement: Settlement) -> None:
        """Report a turn's use to the owner; raise ``PeerSilentError`` or ``PeerDownError``."""
        await self._call(address, _SETTLE, msgspec.json.encode(settlement))

    async def store(
        self, address: str, call: RelayedCall, on_arrival: Callable[[int], None] = ignore_arrival
    ) -> RelayedReply:
        """Make a store call through a peer; raise ``PeerSilentError`` or ``PeerDownError``.

        ``on_arrival`` is called with the number of bytes of the answer whenever some arrive, and
        with 0 when the peer tells that it works.
        """
        body = await self._call(
            address,
            _STORE,
            msgspec.json.encode(call),
            timeout_s=defaults.PEER_STORE_TIMEOUT_S,
            limit_bytes=defaults.MAX_ANSWER_BYTES,
            on_arrival=on_arrival,
        )
        return _decode(address, body, _RELAYED_REPLY)

    async def stream_origin(self, address: str, stream: str) -> StreamOrigin | None:
        """Return what a peer knows of a stream; raise ``PeerSilentError`` or ``PeerDownError``."""
        body = await self._call(address, _STREAM, msgspec.json.encode(stream))
        return _decode(address, body, _STREAM_REPLY)

    async def tell_streams(self, address: str, streams: list[ToldStream]) -> None:
        """Tell a peer of streams; raise ``PeerSilentError`` or ``PeerDownError``."""
        body = await self._call(address, _STREAMS, msgspec.json.encode(ToldStreams(streams)))
        _decode(address, body, _TOLD_REPLY)

    async def hand_partition(self, address: str, handed: HandedPartition) -> bool:
        """Hand a partition to a peer; raise ``PeerSilentError`` or ``PeerDownError``."""
        body = await self._call(address, _PARTITION, msgspec.json.encode(handed))
        return _decode(address, body, _TAKEN_REPLY).is_taken

    async def _call(
        self,
        address: str,
        target: bytes,
        body: bytes,
        *,
        timeout_s: float = defaults.PEER_TIMEOUT_S,
        limit_bytes: int = _MAX_REPLY_BYTES,
        on_arrival: Callable[[int], None] = ignore_arrival,
    ) -> bytes:
        send_s = len(body) / defaults.LINK_BYTES_PER_S
        with anyio.move_on_after(send_s + timeout_s) as scope:
            timeout = TransferTimeout(scope, timeout_s, defaults.PEER_TRANSFER_TIMEOUT_S)

            arrived = 0

            def on_progress(size: int = 0) -> None:
                nonlocal arrived
                timeout.on_progress()
                on_arrival(max(size - arrived, 0))
                arrived = max(size, arrived)
                self.answered_at = anyio.current_time()

            try:
                return await self._exchange(address, target, body, on_progress, limit_bytes)
            except (ConnectionLostError, AnswerInvalidError) as error:
                raise PeerDownError(f"{address}: {error.detail}") from error
            except UpstreamLostError as error:
                self.silent_at = anyio.current_time()
                raise PeerUnreachableError(f"{address}: {error.detail}") from error
        self.silent_at = anyio.current_time()
        raise PeerSilentError(f"{address} sent nothing for {timeout_s:g} s")

    async def _exchange(
        self,
        address: str,
        target: bytes,
        body: bytes,
        on_progress: Callable[..., None],
        limit_bytes: int,
    ) -> bytes:
        connection = await self._connection(address)
        is_kept = False
        try:
            headers = [(b"host", address.encode())]
            if self.own_address:
                headers.append((_PEER_HEADER, self.own_address.encode()))
            await connection.send(b"POST", target, headers, (body,))
            head = await connection.read_head(_MAX_PROGRESS_RESPONSES, on_progress)
            data = await connection.body(limit_bytes, on_progress)
            is_kept = connection.finish(None)
            if is_kept:
                self.idle.setdefault(address, []).append(connection)
            if head.status_code != HTTPStatus.OK:
                raise AnswerInvalidError(f"status {head.status_code}: {data[:200]!r}")
            return data
        finally:
            if not is_kept:
                await connection.abort()

    async def close_idle(self) -> None:
        """Close connections past their limit; nobody may ever call these gateways again."""
        now = anyio.current_time()
        stale: list[HttpConnection] = []
        for address, connections in list(self.idle.items()):
            kept = [item for item in connections if item.is_reusable(now, defaults.PEER_IDLE_S)]
            stale.extend(item for item in connections if item not in kept)
            connections[:] = kept  # a call may be taking its connection from this list
            if not kept:
                del self.idle[address]
        for connection in stale:
            await connection.abort()

    async def _connection(self, address: str) -> HttpConnection:
        kept = self.idle.get(address, [])
        while kept:
            connection = kept.pop()
            if connection.is_reusable(anyio.current_time(), defaults.PEER_IDLE_S):
                return connection
            await connection.abort()
        return await connect(address)


async def _send_progress(client: ClientConnection) -> None:
    """Send interim responses until cancelled; the first only to a call that takes long."""
    with suppress(ClientLeftError):
        while True:
            await anyio.sleep(defaults.PEER_PROGRESS_S)
            await client.send_interim()


def _decode(address: str, body: bytes, decoder: msgspec.json.Decoder[Reply]) -> Reply:
    try:
        return decode(decoder.decode, body)
    except MalformedDataError as error:
        raise PeerDownError(f"{address}: invalid answer: {error.detail}") from error
