"""Fixtures and Hypothesis profiles shared by all tests."""

import gc
import os

import pytest
from hypothesis import HealthCheck, settings

CI_EXAMPLES = 200
SOAK_EXAMPLES = 10_000

settings.register_profile(
    "ci",
    max_examples=CI_EXAMPLES,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile("soak", settings.get_profile("ci"), max_examples=SOAK_EXAMPLES)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def pytest_collection_finish() -> None:
    """Exclude the modules and test items from garbage collections.

    On a busy machine, a collection of all of them stops an event loop for longer than the timeouts
    of the gateways under test.
    """
    gc.collect()
    gc.freeze()


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on asyncio, which gRPC needs."""
    return "asyncio"
