"""Tokens of a customer's quota that one request holds."""

from typing import Protocol

from skylarkferry_core.errors import CustomerLimitError
from skylarkferry_core.ids import CustomerId


class TokenSource(Protocol):
    """Where tokens of quotas come from."""

    async def charge(
        self, customer: CustomerId, deadline: float, *, is_begun: bool
    ) -> CustomerLimitError | None:
        """Take a token; return the error to respond with if there is none."""

    def give_back(self, customer: CustomerId, tokens: int) -> None:
        """Take back tokens of requests that have certainly not run."""


class QuotaCharge:
    """Tokens of one request: one for each attempt that an upstream may have run."""

    def __init__(self, source: TokenSource, customer: CustomerId) -> None:
        self.source = source
        self.customer = customer
        self.unused = 1
        self.is_sent = False

    async def prepare(self, deadline: float) -> CustomerLimitError | None:
        """Get a token for the next attempt, unless there is one; return an error without one."""
        self.is_sent = False
        if self.unused:
            return None
        refusal = await self.source.charge(self.customer, deadline, is_begun=True)
        if refusal is None:
            self.unused = 1
        return refusal

    def on_sent(self) -> None:
        """Use a token for an attempt that is sent."""
        self.is_sent = True
        self.unused -= 1

    def on_not_run(self) -> None:
        """Take back the token of an attempt that has certainly not run."""
        self.unused += self.is_sent
        self.is_sent = False

    def settle(self) -> None:
        """Give back what was not used when the request ends."""
        self.source.give_back(self.customer, self.unused)
        self.unused = 0
