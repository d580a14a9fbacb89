"""Customers, the keys that identify them, and their request quotas."""

import hashlib
from collections.abc import Iterable, Mapping
from typing import NewType

import msgspec

from skylarkferry_core.ids import CustomerId

KeyDigest = NewType("KeyDigest", str)
"""SHA-256 of a caller's key in hexadecimal; keys themselves are not kept."""


class Quota(msgspec.Struct, frozen=True):
    """A customer's request limit over all gateways: a token bucket, which holds ``burst``."""

    rate_per_s: float
    burst: float


class Customer(msgspec.Struct, frozen=True):
    """A customer; ``priority`` replaces that of the route, ``quota`` is ``None`` without a limit.

    Priority 0 is the highest.
    """

    name: CustomerId
    priority: int | None = None
    quota: Quota | None = None


class CustomerKeys(msgspec.Struct, frozen=True):
    """A customer, and the digests of its keys."""

    customer: Customer
    keys: tuple[KeyDigest, ...] = ()


class CustomerTable:
    """The customers of one configuration version, by name and by key.

    ``ambiguous`` holds the digests of keys that several customers list, which identify nobody;
    ``sharing`` holds those customers.
    """

    def __init__(self, customers: Iterable[CustomerKeys] = ()) -> None:
        self.by_name: dict[CustomerId, Customer] = {}
        self.ambiguous: set[KeyDigest] = set()
        self.sharing: set[CustomerId] = set()
        holders: dict[KeyDigest, Customer] = {}
        for item in customers:
            self.by_name[item.customer.name] = item.customer
            for digest in item.keys:
                known = holders.setdefault(digest, item.customer)
                if known.name != item.customer.name:
                    self.ambiguous.add(digest)
                    self.sharing |= {known.name, item.customer.name}
        self.by_key: Mapping[KeyDigest, Customer] = {
            digest: holder for digest, holder in holders.items() if digest not in self.ambiguous
        }

    def __bool__(self) -> bool:
        """Return whether the configuration has customers."""
        return bool(self.by_name)

    def holder(self, digest: KeyDigest) -> Customer | None:
        """Return the customer that a key identifies, or ``None``."""
        return self.by_key.get(digest)


NO_CUSTOMERS = CustomerTable()


def key_digest(key: bytes) -> KeyDigest:
    """Return the digest by which a key is looked up."""
    return KeyDigest(hashlib.sha256(key).hexdigest())
