"""Access of callers to routes: who sends a request, by the key that it carries."""

import math
from enum import Enum

import msgspec

from skylarkferry_admission.decisions import Reject, RejectReason
from skylarkferry_core.customers import Customer, CustomerTable, KeyDigest
from skylarkferry_core.ids import CustomerId
from skylarkferry_core.routes import Route, RoutingTable

CONFIRMED_WITHIN_S = 2.0
"""Age of the last confirmation of the configuration up to which an unknown key is rejected.

A version is in force everywhere 3 s after its acknowledgement; a poll of the change feed takes 1 s.
"""
UNCERTAIN_RETRY_AFTER_S = 0.2
"""Retry-After where this gateway may have missed a version; another gateway can serve at once."""
UNSENDABLE_RETRY_AFTER_S = 5.0
"""Retry-After while a customer's name cannot be sent: beyond any deadline, as retries cannot help
before the configuration is corrected."""
MAX_NAME_CHARS = 100
"""Longest customer name; it is part of the ids in each datagram between gateways."""


class RefusalCause(Enum):
    """Why a request is refused, as named in logs and metrics."""

    NO_KEY = "no_key"
    """It has no key, several different ones, or one in another scheme."""
    UNKNOWN_KEY = "unknown_key"
    SHARED_KEY = "shared_key"
    """Several customers list its key."""
    UNCONFIRMED = "unconfirmed"
    """The gateway may have missed the version that allows it."""
    REVOCATION = "revocation"
    """The gateway has been without contact for longer than a key may be used."""
    UNSENDABLE_NAME = "unsendable_name"
    """The name of the key's holder cannot be sent to an upstream."""


class Granted(msgspec.Struct, frozen=True):
    """Serve the request, for a customer or for nobody in particular."""

    customer: Customer | None = None


class Refused(msgspec.Struct, frozen=True):
    """Refuse the request."""

    cause: RefusalCause
    reject: Reject


Access = Granted | Refused

_NOBODY = Granted()


def decide_access(
    key: KeyDigest | None,
    route: Route,
    table: RoutingTable,
    age_s: float,
    key_limit_s: float = math.inf,
) -> Access:
    """Decide whether a request with this key may use a route, and for whom.

    ``age_s`` is the time since the configuration was confirmed to be current, ``key_limit_s`` the
    age up to which keys may be used.
    """
    customers = table.customers
    if not customers:
        return _NOBODY
    holder = customers.holder(key) if key is not None else None
    if holder is None:
        return _NOBODY if route.is_public else _refuse_unknown(key, customers, age_s)
    if age_s > key_limit_s:
        return _uncertain(RefusalCause.REVOCATION)
    if not is_sendable(holder.name):
        return _uncertain(RefusalCause.UNSENDABLE_NAME, UNSENDABLE_RETRY_AFTER_S)
    return Granted(holder)


def may_have_missed_a_version(age_s: float) -> bool:
    """Return whether a newer configuration may allow what this one does not."""
    return age_s > CONFIRMED_WITHIN_S


def is_sendable(name: CustomerId) -> bool:
    """Return whether every upstream reads this name in a header as it is configured.

    Upstreams differ in how they decode other characters, and spaces at the ends are removed.
    """
    is_plain = name.isascii() and name.isprintable() and name == name.strip()
    return is_plain and 0 < len(name) <= MAX_NAME_CHARS


def _refuse_unknown(key: KeyDigest | None, customers: CustomerTable, age_s: float) -> Refused:
    if may_have_missed_a_version(age_s):
        return _uncertain(RefusalCause.UNCONFIRMED)
    if key is None:
        cause = RefusalCause.NO_KEY
    elif key in customers.ambiguous:
        cause = RefusalCause.SHARED_KEY
    else:
        cause = RefusalCause.UNKNOWN_KEY
    return Refused(cause, Reject(RejectReason.UNAUTHENTICATED, math.inf))


def _uncertain(cause: RefusalCause, retry_after_s: float = UNCERTAIN_RETRY_AFTER_S) -> Refused:
    return Refused(cause, Reject(RejectReason.UNCERTAIN, retry_after_s))
