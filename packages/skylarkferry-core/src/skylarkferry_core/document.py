"""The configuration document: typed sections, each owned by one team."""

from typing import Annotated

import msgspec
from msgspec import Meta

from skylarkferry_core.entry_messages import Budget
from skylarkferry_core.ids import (
    AgentName,
    CustomerId,
    FailureDomain,
    ModelName,
    PoolName,
    ServiceName,
    SiteName,
    TeamName,
    ToolName,
)
from skylarkferry_core.states import PoolKind, Priority

PositiveInt = Annotated[int, Meta(gt=0)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
PositiveFloat = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]


class ModelSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model; prices are in millionths of a unit per 1,000 tokens."""

    context_tokens: PositiveInt
    prompt_price_micros: NonNegativeInt = 0
    output_price_micros: NonNegativeInt = 0


class ToolSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tool; set ``repeatable`` only if running it twice is harmless."""

    pool: PoolName
    path: str
    description: str = ""
    parameters: str = '{"type": "object"}'
    repeatable: bool = False
    timeout_s: PositiveFloat = 30.0
    expected_s: PositiveFloat = 0.5
    cost_micros: NonNegativeInt = 0


class AgentSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An agent: a model, its instructions, and the tools and sub-agents that it may call."""

    model: ModelName
    instructions: str
    description: str = ""
    tools: tuple[ToolName, ...] = ()
    agents: tuple[AgentName, ...] = ()
    max_turns: PositiveInt = 32
    max_output_tokens: PositiveInt = 512
    expected_s: PositiveFloat = 5.0
    priority: Priority = Priority.NORMAL


class CustomerSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer's token hashes (SHA-256, hexadecimal), default budget and limits."""

    token_hashes: tuple[str, ...]
    program_budget: Budget
    tokens_per_minute: PositiveInt = 1_000_000
    programs_under_way: PositiveInt = 1_000


class SiteSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A site's failure domains and the weights of its placement criteria.

    ``crossing_s`` is the placement cost of a call into another failure domain, in seconds.
    """

    failure_domains: tuple[FailureDomain, ...]
    latency_weight: PositiveFloat = 1.0
    cache_weight: PositiveFloat = 1.0
    crossing_s: Annotated[float, Meta(ge=0)] = 0.0


class PoolSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Upstreams of one provider; the shares of all pools that serve a model add up to 1."""

    kind: PoolKind
    models: tuple[ModelName, ...] = ()
    services: tuple[ServiceName, ...] = ()
    share: Share = 1.0
    enforces_fencing: bool = False


class TeamSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team of operators: token hashes and the sections that it may edit."""

    token_hashes: tuple[str, ...]
    sections: tuple[str, ...] = ()


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole document; ``version`` is incremented with each accepted edit of any section."""

    version: int = 0
    models: dict[ModelName, ModelSpec] = {}
    tools: dict[ToolName, ToolSpec] = {}
    agents: dict[AgentName, AgentSpec] = {}
    budgets: dict[CustomerId, CustomerSpec] = {}
    sites: dict[SiteName, SiteSpec] = {}
    pools: dict[PoolName, PoolSpec] = {}
    teams: dict[TeamName, TeamSpec] = {}


SECTIONS = ("models", "tools", "agents", "budgets", "sites", "pools", "teams")
