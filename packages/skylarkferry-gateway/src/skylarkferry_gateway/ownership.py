"""Ownership of the budget partitions: the owner list, claims and releases."""

import math
from collections.abc import Sequence

import anyio
import msgspec

from skylarkferry_core.accounts import NO_OWNER, Ownership
from skylarkferry_core.errors import (
    MalformedDataError,
    PlatformUnavailableError,
    WriteConflictError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import Incarnation, PartitionNumber, ProgramId
from skylarkferry_core.interfaces import Condition, Row, Write
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.decoding import decode
from skylarkferry_gateway.interfaces import Store
from skylarkferry_gateway.ownership_proofs import proof_time
from skylarkferry_gateway.store_calls import key_part, retry_until, row_key

ACCOUNTS = "accounts"
_OWNERSHIP = msgspec.msgpack.Decoder(Ownership)
_LIST = "account-owners"
OWNER_LIST = row_key(_LIST, "", "")
"""Prefix of the owner list's rows."""
_OWNER = "owner"
_PROGRAM = "program."
"""Row names: a partition's own row, and the prefix of program ids in its program rows."""
_LISTED_PER_CALL = 100
"""Rows of the list written per call; the store accepts 100 entries per call."""


class OwnedPartition:
    """A partition that this process owns; the version of its row fences all other rows.

    ``proven_at`` is when the last call began that proved the ownership, in ``proof_time``.
    """

    def __init__(
        self,
        number: PartitionNumber,
        ownership: Ownership,
        version: int,
        proven_at: float = -math.inf,
    ) -> None:
        self.number = number
        self.ownership = ownership
        self.version = version
        self.proven_at = proven_at
        self.claimed_at = proof_time()

    def fence(self) -> Condition:
        """Return the condition under which this process still owns the partition."""
        return Condition(owner_key(self.number), self.version)


class OwnerTable:
    """Owners of all partitions as last read from the store; claims and releases partitions.

    A partition's own row decides who owns it.  The owner list only tells other processes whom to
    ask first; it is one part of the store, so it is written apart from claims, many rows per call.
    """

    def __init__(self, store: Store, incarnation: Incarnation, address: str, log: EventLog) -> None:
        self.store = store
        self.incarnation = incarnation
        self.address = address
        self.log = log
        self.owners: dict[PartitionNumber, Ownership] = {}
        self.unlisted: set[PartitionNumber] = set()
        self.added = anyio.Event()
        self.read_at: float | None = None
        self.lock = anyio.Lock()
        self.list_lock = anyio.Lock()

    async def refresh(self, asked_at: float, deadline_at: float) -> None:
        """Read the list of owners, unless it has been read since ``asked_at`` (monotonic time)."""
        async with self.lock:
            if self.read_at is not None and self.read_at >= asked_at:
                return
            began = anyio.current_time()
            rows = await retry_until(lambda: self.store.scan(OWNER_LIST), deadline_at)
            for row in rows:
                try:
                    number = PartitionNumber(int(row.key.rpartition("/")[2]))
                    listed = decode(_OWNERSHIP.decode, row.value)
                except (MalformedDataError, ValueError) as error:
                    # The list is a hint: its other rows are still of use.
                    self.log.emit(EventKind.GATEWAY_ROW_REFUSED, key=row.key, detail=str(error))
                else:
                    self._add_listed(number, listed)
            self.read_at = began

    def _add_listed(self, number: PartitionNumber, listed: Ownership) -> None:
        """Use a row of the list unless this process knows a newer owner."""
        known = self.owners.get(number)
        if known is None or listed.follows(known):
            self.owners[number] = listed
        elif known.owner == self.incarnation:
            self._add_unlisted(number)  # a late write of an earlier owner replaced the row

    def _add_unlisted(self, number: PartitionNumber) -> None:
        self.unlisted.add(number)
        self.added.set()

    async def write_list(self) -> None:
        """Write new owners to the list until cancelled; claims during a write share the next."""
        delay_s = defaults.STORE_RETRY_S
        while True:
            if not self.unlisted:
                self.added = anyio.Event()
                await self.added.wait()
            if await self.write_unlisted():
                delay_s = defaults.STORE_RETRY_S
                continue
            await anyio.sleep(delay_s)
            delay_s = min(delay_s * 2, defaults.STORE_RETRY_MAX_S)

    async def write_unlisted(self) -> bool:
        """Write what this process claimed or released to the list; return whether it succeeded.

        A call that is under way ends first, so that no older row follows a newer one.
        """
        async with self.list_lock:
            return await self._write_unlisted()

    async def _write_unlisted(self) -> bool:
        numbers = sorted(self.unlisted)
        self.unlisted.difference_update(numbers)
        rows = {list_key(number): self.owners[number] for number in numbers}
        writes = [Write(key, msgspec.msgpack.encode(row)) for key, row in rows.items()]
        try:
            for first in range(0, len(writes), _LISTED_PER_CALL):
                await self.store.transact([], writes[first : first + _LISTED_PER_CALL])
        except PlatformUnavailableError as error:
            self.unlisted.update(numbers)
            self.log.emit(EventKind.GATEWAY_STORE_RETRY, call=_LIST, detail=error.detail)
            return False
        return True

    def peers(self) -> set[str]:
        """Return the addresses of the other owners."""
        return {ownership.address for ownership in self.owners.values()} - {"", self.address}

    def on_taken_over(self, number: PartitionNumber, address: str) -> None:
        """Ask the gateway at this address for a partition whose owner has handed it over."""
        ownership = self.owners[number]
        self.owners[number] = msgspec.structs.replace(ownership, address=address)

    def owner(self, number: PartitionNumber) -> Incarnation:
        """Return the newest owner that this process knows, or ``NO_OWNER``."""
        return self.owners.get(number, Ownership()).owner

    def generation(self, number: PartitionNumber) -> int:
        """Return the generation of the newest owner that this process knows."""
        return self.owners.get(number, Ownership()).generation

    async def claim(
        self, number: PartitionNumber, generation: int, deadline_at: float
    ) -> tuple[OwnedPartition, Sequence[Row]] | None:
        """Claim a partition and return it with the rows of its programs.

        Return ``None`` if another process has owned it since ``generation``, the newest one that
        was found to need a claim; raise ``PlatformUnavailableError``.
        """
        row = await retry_until(lambda: self.store.read(owner_key(number)), deadline_at)
        current = _decode(row)
        self.owners[number] = current
        if current.generation > generation and current.owner not in (
            NO_OWNER,
            self.incarnation,
        ):
            return None
        claimed = current.claimed(self.incarnation, self.address)
        proven_at = proof_time()
        version = await self._write_claim(row, number, claimed, deadline_at)
        if version is None:
            return None
        self.owners[number] = claimed
        self._add_unlisted(number)
        rows: Sequence[Row] = []
        if current.generation:
            rows = await retry_until(
                lambda: self.store.scan(row_key(ACCOUNTS, str(number), "")), deadline_at
            )
        programs = [item for item in rows if item.key != owner_key(number)]
        self.log.emit(
            EventKind.BUDGET_PARTITION_CLAIMED,
            partition=number,
            generation=claimed.generation,
            losses=claimed.losses,
            before=current.owner or "nobody",
            programs=len(programs),
        )
        return OwnedPartition(number, claimed, version, proven_at), programs

    async def _write_claim(
        self, row: Row, number: PartitionNumber, claimed: Ownership, deadline_at: float
    ) -> int | None:
        """Write a claim and return its version, or ``None`` if another claim came first."""
        writes = [Write(row.key, msgspec.msgpack.encode(claimed))]
        try:
            with anyio.fail_after(max(deadline_at - anyio.current_time(), 0)):
                return await self.store.transact([Condition(row.key, row.version)], writes)
        except WriteConflictError:
            return None
        except TimeoutError as error:
            raise PlatformUnavailableError("the store did not answer in time") from error

    async def renew(self, partition: OwnedPartition) -> bool:
        """Read whether this process still owns a partition; raise ``PlatformUnavailableError``."""
        proven_at = proof_time()
        row = await self.store.read(owner_key(partition.number))
        if row.version != partition.version and not self.adopt(partition, row):
            return False
        partition.proven_at = proven_at
        return True

    async def confirm(self, partition: OwnedPartition) -> None:
        """Name this process as the owner of a partition that the former owner has handed over.

        Raise ``WriteConflictError`` if another process claimed it, ``PlatformUnavailableError``.
        """
        taken = self._taken_over(partition)
        write = Write(owner_key(partition.number), msgspec.msgpack.encode(taken))
        proven_at = proof_time()
        try:
            version = await self.store.transact([partition.fence()], [write])
        except WriteConflictError:
            if not self.adopt(partition, await self.store.read(write.key)):
                raise
            return
        self._on_confirmed(partition, taken, version)
        partition.proven_at = proven_at

    def adopt(self, partition: OwnedPartition, row: Row) -> bool:
        """Return whether a partition's row is this process's own, of an unanswered write."""
        expected = self._taken_over(partition)
        if partition.ownership.owner == self.incarnation:
            expected = partition.ownership.without_losses()
        try:
            current = _decode(row)
        except MalformedDataError as error:
            self.log.emit(EventKind.GATEWAY_ROW_REFUSED, key=row.key, detail=error.detail)
            return False
        if current != expected:
            return False
        self._on_confirmed(partition, current, row.version)
        return True

    async def forget_losses(self, partition: OwnedPartition) -> None:
        """Write that a partition lost no owner whose grants still count.

        Raise ``WriteConflictError`` if another process claimed it, ``PlatformUnavailableError``.
        """
        row = partition.ownership.without_losses()
        write = Write(owner_key(partition.number), msgspec.msgpack.encode(row))
        proven_at = proof_time()
        version = await self.store.transact([partition.fence()], [write])
        self._on_confirmed(partition, row, version)
        partition.proven_at = proven_at
        self.log.emit(
            EventKind.BUDGET_LOSSES_FORGOTTEN,
            partition=partition.number,
            generation=row.generation,
        )

    def _taken_over(self, partition: OwnedPartition) -> Ownership:
        return partition.ownership.taken_over(self.incarnation, self.address)

    def _on_confirmed(self, partition: OwnedPartition, taken: Ownership, version: int) -> None:
        partition.version = version
        partition.ownership = self.owners[partition.number] = taken
        self._add_unlisted(partition.number)

    async def release(self, partition: OwnedPartition, rows: Sequence[Write]) -> None:
        """Write the final rows of a partition's programs and release its ownership.

        Raise ``WriteConflictError`` if another process claimed it, ``PlatformUnavailableError``.
        """
        released = partition.ownership.released()
        write = Write(owner_key(partition.number), msgspec.msgpack.encode(released))
        await self.store.transact([partition.fence()], [*rows, write])
        self.owners[partition.number] = released
        self._add_unlisted(partition.number)


def owner_key(number: PartitionNumber) -> str:
    """Return the key of a partition's own row, which lies beside its program rows."""
    return row_key(ACCOUNTS, str(number), _OWNER)


def account_key(number: PartitionNumber, program_id: ProgramId) -> str:
    """Return the key of a program's row."""
    return row_key(ACCOUNTS, str(number), _PROGRAM + key_part(program_id))


def list_key(number: PartitionNumber) -> str:
    """Return the key of a partition's row in the owner list that all processes read."""
    return row_key(_LIST, "", f"{number:04d}")


def _decode(row: Row) -> Ownership:
    if row.version == 0:
        return Ownership()
    return decode(_OWNERSHIP.decode, row.value)
