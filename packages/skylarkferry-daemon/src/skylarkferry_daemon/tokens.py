"""Bearer tokens: authentication of callers and operators, and their permissions."""

import hmac
from enum import Enum

import msgspec

from skylarkferry_core.customers import key_digest
from skylarkferry_core.document import Document
from skylarkferry_core.errors import (
    ForbiddenError,
    PlatformUnavailableError,
    UnauthenticatedError,
)
from skylarkferry_core.ids import CustomerId, TeamName

_SCHEME = "bearer "
_BUCKET_DIGITS = 16
RETRY_AFTER_S = 2.0


class Standing(Enum):
    """Kind of the holder of a token."""

    CUSTOMER = "customer"
    TEAM = "team"
    BOOTSTRAP = "bootstrap"


class Principal(msgspec.Struct, frozen=True):
    """Holder of a token; ``name`` is the name of the customer or team."""

    standing: Standing
    name: str = ""

    @property
    def team(self) -> TeamName:
        """Return the team, empty for the bootstrap token."""
        return TeamName(self.name if self.standing is Standing.TEAM else "")

    @property
    def customer_scope(self) -> CustomerId:
        """Return the customer whose programs are visible; empty for operators, who see all."""
        if self.standing is Standing.CUSTOMER:
            return CustomerId(self.name)
        self.require_team()
        return CustomerId("")

    def require_team(self) -> None:
        """Raise ``ForbiddenError`` unless the holder is an operators' team."""
        if self.standing is not Standing.TEAM:
            raise ForbiddenError("expected a token of an operators' team")

    def require_operator(self) -> None:
        """Raise ``ForbiddenError`` for a customer's token."""
        if self.standing is Standing.CUSTOMER:
            raise ForbiddenError("expected an operators' token")

    def resolve_customer(self, requested: CustomerId) -> CustomerId:
        """Return the customer to act for; raise ``ForbiddenError`` if it is not the token's."""
        if self.standing is Standing.CUSTOMER:
            own = CustomerId(self.name)
            if requested not in ("", own):
                raise ForbiddenError(f"the token belongs to customer '{own}'")
            return own
        self.require_team()
        return requested


def hash_of(token: str) -> str:
    """Return a token's SHA-256 in hexadecimal, as the document stores it."""
    return key_digest(token.encode())


class TokenIndex:
    """Finds the holder of a token in the current document.

    Hashes are grouped by their first digits and compared in constant time within a group, so a
    request costs the same with 10 customers as with 10,000.
    """

    def __init__(self, bootstrap_hash: str = "") -> None:
        self.bootstrap_hash = bootstrap_hash
        self.version = -1
        self.buckets: dict[str, list[tuple[str, Principal]]] = {}

    def authenticate(self, authorization: str, document: Document, loaded: bool) -> Principal:
        """Return the holder of the token in an ``Authorization`` header; raise a typed refusal."""
        self._index(document)
        digest = hash_of(_token_of(authorization))
        found = None
        for value, principal in self.buckets.get(digest[:_BUCKET_DIGITS], ()):
            if hmac.compare_digest(value, digest):
                found = principal
        if found is not None:
            return found
        if not loaded:
            detail = "the configuration document is not loaded yet"
            raise PlatformUnavailableError(detail, retry_after_s=RETRY_AFTER_S)
        raise UnauthenticatedError("the bearer token is not valid")

    def _index(self, document: Document) -> None:
        """Rebuild the index if the document has changed."""
        if document.version == self.version:
            return
        self.version = document.version
        self.buckets = {}
        for customer, spec in document.budgets.items():
            self._add(spec.token_hashes, Principal(Standing.CUSTOMER, customer))
        for team, owner in document.teams.items():
            self._add(owner.token_hashes, Principal(Standing.TEAM, team))
        if document.version == 0 and self.bootstrap_hash:
            self._add((self.bootstrap_hash,), Principal(Standing.BOOTSTRAP))

    def _add(self, hashes: tuple[str, ...], principal: Principal) -> None:
        for value in hashes:
            self.buckets.setdefault(value[:_BUCKET_DIGITS], []).append((value, principal))


def _token_of(authorization: str) -> str:
    if not authorization.lower().startswith(_SCHEME):
        raise UnauthenticatedError("expected the header 'Authorization: Bearer TOKEN'")
    return authorization[len(_SCHEME) :].strip()
