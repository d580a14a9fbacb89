"""Each validation rule reports its mistake with section and key."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from edge_fakes import GEARS, SITES_TEAM, TEXTS
from skylarkferry_core.sections import parse_document
from skylarkferry_core.validation import check_texts
from skylarkferry_daemon.tokens import hash_of

CYCLE = (
    '{"sizing": {"model": "calc", "instructions": "", "agents": ["quote"]},'
    ' "quote": {"model": "calc", "instructions": "", "agents": ["sizing"]}}'
)
MISTAKES = {
    "syntax": ("models", "{", "models: expected JSON with comments"),
    "not an object": ("models", "[]", "models: expected an object"),
    "wrong type": ("models", '{"calc": {"context_tokens": "x"}}', "models.calc.context_tokens: "),
    "infinite": ("sites", '{"a": {"latency_weight": Infinity}}', "sites.a: expected finite"),
    "blank name": ("models", '{" ": {}}', "expected a name that is not blank"),
    "model": ("models", "{}", "agents.sizing.model: expected a model, found 'calc'"),
    "tool": ("tools", "{}", "agents.sizing.tools: expected a tool, found 'strength'"),
    "tool pool": ("tools", '{"strength": {"pool": "web", "path": "/"}}', "expected a tool pool"),
    "tool path": ("tools", '{"strength": {"pool": "shop", "path": "x"}}', "strength.path: "),
    "parameters": (
        "tools",
        '{"strength": {"pool": "shop", "path": "/", "parameters": "[]"}}',
        "strength.parameters: expected a JSON schema",
    ),
    "cycle": ("agents", CYCLE, "agents.quote.agents: expected no cycle"),
    "agent": ("agents", CYCLE.replace('"quote"]', '"none"]'), "expected an agent, found 'none'"),
    "pool kind": ("pools", TEXTS["pools"].replace('"tool"', '"model"'), "pools.shop.models: "),
    "unserved": ("pools", '{"shop": {"kind": "tool"}}', "expected a pool that serves 'calc'"),
    "shares": (
        "pools",
        TEXTS["pools"].replace('"services": ["catalogue"]', '"services": ["a"], "share": 0.3'),
        "expected the shares of service 'a' to add to 1, found 0.3",
    ),
    "domain": (
        "sites",
        '{"a": {"failure_domains": ["x"]}, "b": {"failure_domains": ["x"]}}',
        "sites.b.failure_domains: expected each domain once",
    ),
    "no domain": ("sites", '{"a": {"failure_domains": []}}', "expected at least one"),
    "budget": ("budgets", TEXTS["budgets"].replace("9000", "0"), "gears.program_budget: "),
    "hash": ("teams", TEXTS["teams"].replace('["', '["A', 1), "expected 64 hexadecimal digits"),
    "owner": ("teams", TEXTS["teams"].replace('"tools", ', ""), "that owns section 'tools'"),
    "section": ("teams", TEXTS["teams"].replace('"tools"', '"ovens"'), "found 'ovens'"),
}


@pytest.mark.parametrize("mistake", MISTAKES.values(), ids=MISTAKES)
def test_mistake_is_reported_with_section_and_key(mistake):
    section, text, expected = mistake
    lines = "\n".join(problem.line() for problem in check_texts(TEXTS | {section: text}))
    assert_that(lines, Contains(expected))


def test_token_hash_of_two_holders_is_reported():
    teams = TEXTS["teams"].replace(hash_of(SITES_TEAM), hash_of(GEARS))
    lines = [problem.line() for problem in check_texts(TEXTS | {"teams": teams})]
    assert_that("\n".join(lines), Contains("expected a hash that no one else has"))


def test_fixture_is_valid_and_parsed_with_its_version():
    assert_that(check_texts(TEXTS), Equals(()))
    assert_that(parse_document(TEXTS, 7).document.version, Equals(7))


def test_unknown_section_is_reported():
    lines = [problem.line() for problem in check_texts(TEXTS | {"ovens": "{}"})]
    assert_that("\n".join(lines), Contains("ovens: expected one of models"))
