"""Accounts of one budget partition: of its open programs, and the rows of earlier owners."""

from collections.abc import Sequence

import anyio
import msgspec

from skylarkferry_core.accounts import Account, AccountRow
from skylarkferry_core.errors import MalformedDataError, SkylarkferryError
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import ProgramId
from skylarkferry_core.interfaces import Condition, Row, Write
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.decoding import decode
from skylarkferry_gateway.messages import HandedPartition, HandedProgram, Reservation
from skylarkferry_gateway.ownership import OwnedPartition, account_key
from skylarkferry_gateway.ownership_proofs import proof_time

_MAX_PROOF_AGE_S = 1e9
"""Age of a proof that was never made, as a number that every encoding holds."""
_ACCOUNT = msgspec.msgpack.Decoder(AccountRow)


class Growth:
    """A write that raises an allowance; it outlasts the requests that wait for it."""

    def __init__(self) -> None:
        self.ended = anyio.Event()
        self.error: SkylarkferryError | None = None


class ProgramAccount:
    """One program's account, the key of its row, and the growth of its allowance under way."""

    def __init__(self, account: Account, key: str, now: float) -> None:
        self.account = account
        self.key = key
        self.growth: Growth | None = None
        self.used_at = now


class PartitionAccounts:
    """Accounts of one owned partition, and the rows that earlier owners wrote."""

    def __init__(self, partition: OwnedPartition, rows: Sequence[Row], log: EventLog) -> None:
        self.partition = partition
        self.log = log
        self.rows = {row.key: row for row in rows}
        self.owned_since = anyio.current_time()
        self.programs: dict[ProgramId, ProgramAccount] = {}

    def account(self, reservation: Reservation, now: float) -> ProgramAccount:
        """Return the account of the reservation's program, opening it on the first turn."""
        entry = self.programs.get(reservation.program_id)
        if entry is None:
            key = account_key(self.partition.number, reservation.program_id)
            row = self.rows.pop(key, None)
            losses = self.partition.ownership.losses
            version = row.version if row else 0
            written = self._decode(row, reservation.limit) if row else None
            account = Account(reservation.limit, losses, written, version)
            entry = self.programs[reservation.program_id] = ProgramAccount(account, key, now)
        entry.used_at = now
        return entry

    def _decode(self, row: Row, limit: int) -> AccountRow:
        """Decode a program's row; a malformed one counts as the whole budget."""
        try:
            return decode(_ACCOUNT.decode, row.value)
        except MalformedDataError as error:
            self.log.emit(EventKind.GATEWAY_ROW_REFUSED, key=row.key, detail=str(error))
            return AccountRow(limit)

    @classmethod
    def taken(cls, handed: HandedPartition, log: EventLog) -> "PartitionAccounts":
        """Return the accounts that the partition's owner has handed over."""
        proven_at = proof_time() - handed.proof_age_s
        partition = OwnedPartition(handed.number, handed.ownership, handed.version, proven_at)
        accounts = cls(partition, handed.rows, log)
        for program in handed.programs:
            account = Account.resumed(program.state)
            accounts.programs[program.program_id] = ProgramAccount(
                account, program.key, accounts.owned_since
            )
        return accounts

    def handed(self) -> HandedPartition:
        """Return what another gateway needs to go on with the partition."""
        programs = [
            HandedProgram(program_id, program.key, program.account.state())
            for program_id, program in self.programs.items()
        ]
        owned = self.partition
        rows = list(self.rows.values())
        age_s = min(proof_time() - owned.proven_at, _MAX_PROOF_AGE_S)
        return HandedPartition(owned.number, owned.ownership, owned.version, programs, rows, age_s)

    def has_unrecorded_grants(self) -> bool:
        """Return whether an account without a row counts lost owners.

        This includes a program that was refused so far: once the losses are forgotten, it may still
        be granted tokens without a row, and the next owner would not count those of lost owners.
        """
        accounts = [program.account for program in self.programs.values()]
        return any(account.lost_owners and account.may_be_unknown() for account in accounts)

    def remove_idle(self, now: float) -> list[Condition]:
        """Remove accounts unused for ``ACCOUNT_IDLE_S``; return the keys and versions of rows."""
        rows: list[Condition] = []
        for program_id, program in list(self.programs.items()):
            is_idle = now - program.used_at > defaults.ACCOUNT_IDLE_S
            if is_idle and not program.account.reserved:
                del self.programs[program_id]
                rows.append(Condition(program.key, program.account.version))
        if now - self.owned_since > defaults.ACCOUNT_IDLE_S:
            rows.extend(Condition(row.key, row.version) for row in self.rows.values())
            self.rows = {}
        return [row for row in rows if row.version]

    def handover_writes(self) -> list[Write]:
        """Return the rows to write at a handover, with the exact number of tokens used per program.

        Before the handover, a program has no row, or its row covers the whole allowance.
        """
        return [
            Write(program.key, msgspec.msgpack.encode(program.account.final_row()))
            for program in self.programs.values()
        ]
