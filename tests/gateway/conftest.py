"""Fixtures of the gateway's tests."""

import pytest

from gateway_rig import rig as running_rig


@pytest.fixture
async def rig(anyio_backend):
    """Run stand-ins of store and replicas."""
    async with running_rig() as found:
        yield found
