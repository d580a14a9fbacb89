"""Validation rules that span sections of the configuration document."""

import json
import re
from collections import Counter
from collections.abc import Iterator, Mapping

from skylarkferry_core.document import SECTIONS, AgentSpec, Document, PoolSpec, ToolSpec
from skylarkferry_core.ids import AgentName, ModelName, PoolName
from skylarkferry_core.sections import Problem, parse_document
from skylarkferry_core.states import PoolKind

SHARE_TOLERANCE = 1e-6
TOKEN_HASH = re.compile(r"[0-9a-f]{64}")


def check_texts(texts: Mapping[str, str]) -> tuple[Problem, ...]:
    """Return the parse problems of a document's texts or, if all parse, its validation problems."""
    parsed = parse_document(texts, version=0)
    return parsed.problems or validate(parsed.document)


def validate(document: Document) -> tuple[Problem, ...]:
    """Return the problems that a parsed document has under the validation rules."""
    problems: list[Problem] = []
    for rule in RULES:
        problems.extend(rule(document))
    return tuple(problems)


def tool_rules(document: Document) -> Iterator[Problem]:
    """Require each tool to have a tool pool, a path and a JSON schema of its parameters."""
    for name, tool in document.tools.items():
        pool = document.pools.get(tool.pool)
        if pool is None or pool.kind is not PoolKind.TOOL:
            yield Problem("tools", f"{name}.pool", f"expected a tool pool, found '{tool.pool}'")
        if not tool.path.startswith("/"):
            yield Problem("tools", f"{name}.path", "expected a path that starts with '/'")
        if not _is_json_object(tool):
            yield Problem("tools", f"{name}.parameters", "expected a JSON schema object as text")


def agent_rules(document: Document) -> Iterator[Problem]:
    """Require each agent to use a served model and only existing tools and agents."""
    for name, agent in document.agents.items():
        yield from _agent_model(document, name, agent)
        for tool in agent.tools:
            if tool not in document.tools:
                yield Problem("agents", f"{name}.tools", f"expected a tool, found '{tool}'")
        for sub_agent in agent.agents:
            if sub_agent not in document.agents:
                yield Problem("agents", f"{name}.agents", f"expected an agent, found '{sub_agent}'")
        for shared in sorted(set(agent.tools) & set(map(str, agent.agents))):
            yield Problem("agents", f"{name}.agents", f"expected no tool of the name '{shared}'")


def cycle_rules(document: Document) -> Iterator[Problem]:
    """Reject agents that can call themselves through their sub-agents."""
    for name in document.agents:
        if name in _reachable(document, name):
            yield Problem("agents", f"{name}.agents", "expected no cycle of sub-agents")


def pool_rules(document: Document) -> Iterator[Problem]:
    """Require each pool to list models or services that match its kind, and nothing else."""
    for name, pool in document.pools.items():
        yield from _pool_content(document, name, pool)


def share_rules(document: Document) -> Iterator[Problem]:
    """Require the shares of all pools that serve a model or service to add up to 1."""
    sums: dict[tuple[str, str], float] = {}
    for pool in document.pools.values():
        served = [("model", str(model)) for model in pool.models]
        served += [("service", str(service)) for service in pool.services]
        for key in served:
            sums[key] = sums.get(key, 0.0) + pool.share
    for (kind, name), total in sums.items():
        if abs(total - 1.0) > SHARE_TOLERANCE:
            expected = f"expected the shares of {kind} '{name}' to add to 1, found {total:g}"
            yield Problem("pools", "share", expected)


def site_rules(document: Document) -> Iterator[Problem]:
    """Require each site to have failure domains, and each domain to be in only one site."""
    owners: dict[str, str] = {}
    for name, site in document.sites.items():
        if not site.failure_domains:
            yield Problem("sites", f"{name}.failure_domains", "expected at least one")
        for domain in site.failure_domains:
            if domain in owners:
                expected = f"expected each domain once, found '{domain}' again"
                yield Problem("sites", f"{name}.failure_domains", expected)
            owners[domain] = name


def budget_rules(document: Document) -> Iterator[Problem]:
    """Require positive tokens and turns and no negative cost in each program budget."""
    for name, customer in document.budgets.items():
        budget = customer.program_budget
        if min(budget.tokens, budget.turns) < 1 or budget.cost_micros < 0:
            expected = "expected tokens and turns of at least 1 and no negative cost"
            yield Problem("budgets", f"{name}.program_budget", expected)


def token_rules(document: Document) -> Iterator[Problem]:
    """Require token hashes to be SHA-256 and each to belong to one customer or team only."""
    holders = [("budgets", str(name), item.token_hashes) for name, item in document.budgets.items()]
    holders += [("teams", str(name), item.token_hashes) for name, item in document.teams.items()]
    seen: set[str] = set()
    for section, name, hashes in holders:
        for value in hashes:
            key = f"{name}.token_hashes"
            if not TOKEN_HASH.fullmatch(value):
                yield Problem(section, key, "expected 64 hexadecimal digits in lower case")
            if value in seen:
                yield Problem(section, key, "expected a hash that no one else has")
            seen.add(value)


def team_rules(document: Document) -> Iterator[Problem]:
    """Require that each section has a team to edit it, and that teams list only known sections."""
    owned: set[str] = set()
    for name, team in document.teams.items():
        for section in team.sections:
            if section not in SECTIONS:
                expected = f"expected one of {', '.join(SECTIONS)}, found '{section}'"
                yield Problem("teams", f"{name}.sections", expected)
        if team.token_hashes:
            owned.update(team.sections)
    for section in SECTIONS:
        if section not in owned:
            expected = f"expected a team with a token that owns section '{section}'"
            yield Problem("teams", "sections", expected)


RULES = (
    tool_rules,
    agent_rules,
    cycle_rules,
    pool_rules,
    share_rules,
    site_rules,
    budget_rules,
    token_rules,
    team_rules,
)


def _agent_model(document: Document, name: AgentName, agent: AgentSpec) -> Iterator[Problem]:
    key = f"{name}.model"
    if agent.model not in document.models:
        yield Problem("agents", key, f"expected a model, found '{agent.model}'")
    elif not any(agent.model in pool.models for pool in document.pools.values()):
        yield Problem("agents", key, f"expected a pool that serves '{agent.model}'")


def _pool_content(document: Document, name: PoolName, pool: PoolSpec) -> Iterator[Problem]:
    if bool(pool.models) != (pool.kind is PoolKind.MODEL):
        yield Problem("pools", f"{name}.models", "expected models in a model pool and only there")
    if bool(pool.services) != (pool.kind is PoolKind.SERVICE):
        expected = "expected services in a service pool and only there"
        yield Problem("pools", f"{name}.services", expected)
    for model, times in Counter(pool.models).items():
        yield from _pool_model(document, name, model, times)


def _pool_model(
    document: Document, name: PoolName, model: ModelName, times: int
) -> Iterator[Problem]:
    if model not in document.models:
        yield Problem("pools", f"{name}.models", f"expected a model, found '{model}'")
    if times > 1:
        yield Problem("pools", f"{name}.models", f"expected '{model}' once")


def _reachable(document: Document, start: AgentName) -> set[AgentName]:
    """Return the agents that ``start`` can call directly or indirectly."""
    found: set[AgentName] = set()
    pending = [start]
    while pending:
        agent = document.agents.get(pending.pop())
        new_agents = set(agent.agents) - found if agent else set()
        found |= new_agents
        pending.extend(new_agents)
    return found


def _is_json_object(tool: ToolSpec) -> bool:
    try:
        return isinstance(json.loads(tool.parameters), dict)
    except ValueError:
        return False
