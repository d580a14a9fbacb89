"""Requests that were running when an upstream crashed.

After one crash, such a request runs only without other calls; after repeated crashes, it is
refused.
"""

from collections.abc import Iterable
from enum import Enum

from skylarkferry_core.errors import QuarantinedError, SkylarkferryError
from skylarkferry_core.ids import CrashId, Fingerprint

CRASHES_TO_QUARANTINE = 2


class Suspicion(Enum):
    """Status of a request that ran when an upstream crashed."""

    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class CrashRegistry:
    """Crashes by request fingerprint; ``shared`` holds those that other processes quarantined."""

    def __init__(self, crashes_to_quarantine: int = CRASHES_TO_QUARANTINE) -> None:
        self.crashes_to_quarantine = crashes_to_quarantine
        self.crashes: dict[Fingerprint, set[CrashId]] = {}
        self.shared: frozenset[Fingerprint] = frozenset()

    def on_crash(self, fingerprint: Fingerprint, crash: CrashId) -> Suspicion:
        """Record that a request was running at a crash; a crash reported repeatedly counts once."""
        self.crashes.setdefault(fingerprint, set()).add(crash)
        if self.is_quarantined(fingerprint):
            return Suspicion.QUARANTINED
        return Suspicion.SUSPECT

    def on_done(self, fingerprint: Fingerprint) -> bool:
        """Record that a request completed; return whether that cleared a suspect."""
        if fingerprint not in self.crashes or self.is_quarantined(fingerprint):
            return False
        del self.crashes[fingerprint]
        return True

    def forget(self, fingerprint: Fingerprint, crash: CrashId) -> None:
        """Remove a crash from the record of a request."""
        crashes = self.crashes.get(fingerprint, set())
        crashes.discard(crash)
        if not crashes:
            self.crashes.pop(fingerprint, None)

    def share(self, fingerprints: Iterable[Fingerprint]) -> None:
        """Replace the set of requests that other processes quarantined."""
        self.shared = frozenset(fingerprints)

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request may no longer run."""
        crashes = self.crashes.get(fingerprint, ())
        return fingerprint in self.shared or len(crashes) >= self.crashes_to_quarantine

    def suspects(self) -> set[Fingerprint]:
        """Return the requests that may only run alone."""
        return {key for key in self.crashes if not self.is_quarantined(key)}

    def quarantined(self) -> set[Fingerprint]:
        """Return the requests that may no longer run."""
        own = {key for key in self.crashes if self.is_quarantined(key)}
        return own | self.shared

    def refusal(self, fingerprint: Fingerprint) -> SkylarkferryError | None:
        """Return the error for a quarantined request, or ``None`` if it may run."""
        if not self.is_quarantined(fingerprint):
            return None
        return QuarantinedError("the request crashed upstreams before")
