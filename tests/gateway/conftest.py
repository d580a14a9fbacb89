"""Fixtures for the gateway tests."""

import pytest

from gateway_rig import rig as run_rig


@pytest.fixture
async def rig(anyio_backend):
    """Run a test rig with stand-ins for the store and the replicas."""
    async with run_rig() as running:
        yield running
