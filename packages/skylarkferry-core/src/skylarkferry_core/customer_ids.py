"""Ids that callers send, qualified by their customer so that two customers never share one."""

import hashlib
from typing import TypeVar

from skylarkferry_core.ids import CustomerId

Id = TypeVar("Id", bound=str)

SEPARATOR = "\u2044"
"""Separates a customer's name from an id.

No id that arrives in a header has it, since headers are decoded as Latin-1.  So no two pairs of a
customer and an id give the same text, and no unqualified id equals a qualified one.
"""
_DIGEST_PREFIX = "c."
"""Begins the row key of a qualified id; keys of other ids have no dot."""
_SCOPE_DIGITS = 32


def within_customer(customer: CustomerId, text: Id) -> Id:
    """Return a caller's id qualified by its customer; an absent id stays empty."""
    return type(text)(f"{customer}{SEPARATOR}{text}") if text else text


def id_as_sent(text: str) -> str:
    """Return an id as the caller sent it."""
    return text.rpartition(SEPARATOR)[2]


def is_qualified(text: str) -> bool:
    """Return whether an id is qualified by a customer."""
    return SEPARATOR in text


def qualified_key_part(text: str) -> str:
    """Return a qualified id as part of a row key.

    The digest is cryptographic, since customers choose their ids and may look for collisions.
    """
    return _DIGEST_PREFIX + hashlib.sha256(text.encode()).hexdigest()


def customer_scope(customer: CustomerId) -> str:
    """Return the digits that begin the fingerprints of a customer's requests."""
    return hashlib.sha256(customer.encode()).hexdigest()[:_SCOPE_DIGITS]
