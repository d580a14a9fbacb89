"""Deployments of real processes for measurements."""

import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

import pyjson5

from skylarkferry_standins.deployment import FAILURE_DOMAINS, Deployment

DOCUMENT = Path(__file__).parents[4] / "samples" / "demo" / "document"
CALLER_TIMEOUT_S = 600.0
QUEUE_LIMIT = 20_000
FAST_ENGINE = {"slots": 256, "prefill_per_s": 1e6, "decode_per_s": 4_000.0}


def load_section(name: str) -> dict[str, Any]:
    """Return a section of the demo document."""
    content: dict[str, Any] = pyjson5.decode((DOCUMENT / f"{name}.jsonc").read_text())
    return content


def generous_budgets() -> dict[str, Any]:
    """Return the budgets section with limits that no measurement reaches."""
    budgets = load_section("budgets")
    for customer in budgets.values():
        customer |= {"programs_under_way": 100_000, "tokens_per_minute": 10**12}
    return budgets


@contextmanager
def testbed(
    *,
    entries: int = 1,
    engines: int = 1,
    engine: dict[str, Any] | None = None,
    sidecar: dict[str, Any] | None = None,
    document: dict[str, Any] | None = None,
) -> Iterator[Deployment]:
    """Start entries, engines and a tool service with their sidecars; yield once they are ready."""
    with ExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        deployment = Deployment(directory, DOCUMENT, stack)
        deployment.start_platform()
        log_settings = {"log_level": "WARNING"}
        overrides = log_settings | {"queue_limit": QUEUE_LIMIT} | (sidecar or {})
        for number in range(engines):
            deployment.add_upstream(
                f"calc-models-{number + 1}",
                "model",
                "calc-models",
                FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                sidecar=overrides,
                **(engine or FAST_ENGINE),
            )
        deployment.add_upstream(
            "shop-tools-1", "tool", "shop-tools", FAILURE_DOMAINS[0], sidecar=overrides
        )
        for number in range(entries):
            deployment.add_entry(
                f"entry-{number + 1}",
                FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                **log_settings,
            )
        deployment.publish_hosts()
        deployment.wait_ready()
        deployment.write_document(**({"budgets": generous_budgets()} | (document or {})))
        deployment.wait_for_upstreams()
        yield deployment
