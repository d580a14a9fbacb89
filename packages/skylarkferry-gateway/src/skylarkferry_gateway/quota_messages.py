"""Messages between gateways and the owners of quotas, one in each datagram."""

import math
from typing import Annotated

import msgspec

from skylarkferry_admission.begun_programs import MAX_TOLD
from skylarkferry_admission.quota_buckets import Demand, Grant
from skylarkferry_admission.quota_pools import Deposit

QUOTA_SHARDS = 2
"""Parts into which customers are divided, each with an owner of its own.

Each gateway exchanges with each owner, so that the datagrams grow with the shards; with one, all
customers would feel the loss of its host.
"""
MAX_DEMANDS = 80
"""Customers in one question: some 5 KB, and as much in its answer."""


Programs = Annotated[tuple[int, ...], msgspec.Meta(max_length=MAX_TOLD)]
"""Numbers of programs that have begun."""


class QuotaAsk(msgspec.Struct, frozen=True, array_like=True, tag="quota_ask"):
    """Deposit accrual and ask for tokens, for customers of a shard.

    ``version`` is that of the configuration that the quotas are from.  ``started`` names programs
    that began at the asking gateway, which knows those of others up to ``position``.  A question
    without deposit only finds out whether the owner answers.
    """

    number: int
    shard: Annotated[int, msgspec.Meta(ge=0, lt=QUOTA_SHARDS)]
    version: int
    started: Programs = ()
    position: int = 0
    deposit: Deposit | None = None
    demands: Annotated[tuple[Demand, ...], msgspec.Meta(max_length=MAX_DEMANDS)] = ()


class QuotaAnswer(msgspec.Struct, frozen=True, array_like=True, tag="quota_answer"):
    """What the owner grants.

    ``echo`` is the owner's time, which the next question names; ``heard`` the share of all gateways
    that ask this owner, ``is_whole`` whether these are exactly those of one list; ``is_active``
    whether deposits are needed often.  ``started`` names programs that began at other gateways, up
    to ``position``.
    """

    number: int
    echo: tuple[int, float] = (0, -math.inf)
    heard: float = 0.0
    is_whole: bool = False
    is_active: bool = False
    grants: tuple[Grant, ...] = ()
    started: Programs = ()
    position: int = 0
