"""What the drivers of one entry share."""

import random
import time
from collections.abc import Callable

import msgspec

from skylarkferry_core.admissions import Admission
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import ProgramId
from skylarkferry_core.messages import Outcome
from skylarkferry_core.records import CallIntended
from skylarkferry_core.retries import RetryBudget, RetryPolicy
from skylarkferry_daemon.call_placement import Placer
from skylarkferry_daemon.estimates import Estimates
from skylarkferry_daemon.interfaces import Documents, Journal, Sidecars
from skylarkferry_daemon.log import EventLog


class EntryContext(msgspec.Struct):
    """Parts of an entry that every driver uses; ``wall_s`` reads the wall clock in seconds."""

    journal: Journal
    sidecars: Sidecars
    documents: Documents
    placer: Placer
    estimates: Estimates
    admission: Admission
    log: EventLog
    randomness: random.Random
    wall_s: Callable[[], float] = time.time
    retry_policies: dict[str, RetryPolicy] = msgspec.field(default_factory=dict)

    def retries(self, pool: str) -> RetryPolicy:
        """Return the retry policy of a pool or model, whose calls share one retry budget."""
        found = self.retry_policies.get(pool)
        if found is None:
            found = self.retry_policies[pool] = RetryPolicy(self.randomness, RetryBudget())
        return found

    def log_retry(self, program_id: ProgramId, outcome: Outcome) -> None:
        """Log that a call is tried again."""
        code = outcome.error.value if outcome.error else ""
        self.log.emit(EventKind.CALL_RETRIED, program_id, call=outcome.call_id, error=code)

    def log_placed(self, program_id: ProgramId, intent: CallIntended) -> None:
        """Log that a call goes to an upstream."""
        self.log.emit(
            EventKind.CALL_PLACED, program_id, call=intent.call_id, upstream=intent.upstream
        )

    def log_intended(self, program_id: ProgramId, intent: CallIntended) -> None:
        """Log that a call that may not be repeated is about to be ordered."""
        self.log.emit(EventKind.CALL_INTENDED, program_id, call=intent.call_id)

    def log_sealed(self, program_id: ProgramId, outcome: Outcome) -> None:
        """Log what a seal found."""
        self.log.emit(
            EventKind.CALL_SEALED, program_id, call=outcome.call_id, word=outcome.word.value
        )

    def log_ended(self, program_id: ProgramId, name: str, outcome: Outcome) -> None:
        """Log the final word of a tool or service call."""
        self.log.emit(
            EventKind.CALL_ENDED,
            program_id,
            call=outcome.call_id,
            name=name,
            word=outcome.word.value,
        )
