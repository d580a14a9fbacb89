"""Fixtures that start real processes and kill each by its id."""

from contextlib import ExitStack
from pathlib import Path

import pytest

from skylarkferry_standins.deployment import FAILURE_DOMAINS, Deployment

DOCUMENT = Path(__file__).parents[2] / "samples" / "demo" / "document"


@pytest.fixture
def bare_deployment(tmp_path):
    """A deployment without processes."""
    with ExitStack() as stack:
        yield Deployment(tmp_path, DOCUMENT, stack)


@pytest.fixture
def arusha(bare_deployment):
    """A deployment with two entries, three engines, a tool service and a plain service."""
    deployment = bare_deployment
    deployment.start_platform()
    for number, domain in enumerate(FAILURE_DOMAINS, start=1):
        deployment.add_upstream(f"calc-models-{number}", "model", "calc-models", domain)
    deployment.add_upstream("shop-tools-1", "tool", "shop-tools", FAILURE_DOMAINS[0])
    deployment.add_upstream("shop-apps-1", "service", "shop-apps", FAILURE_DOMAINS[1])
    for number, domain in enumerate(FAILURE_DOMAINS[:2], start=1):
        deployment.add_entry(f"entry-{number}", domain)
    deployment.publish_hosts()
    deployment.wait_ready()
    deployment.write_document()
    deployment.wait_for_upstreams()
    return deployment
