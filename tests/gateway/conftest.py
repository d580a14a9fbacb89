"""Fixtures for the gateway tests."""

import pytest

from gateway_rig import rig as run_rig
from skylarkferry_gateway import defaults


@pytest.fixture
async def rig(anyio_backend):
    """Run a test rig with stand-ins for the store and the replicas."""
    async with run_rig() as running:
        yield running


@pytest.fixture
def frequent_reads(monkeypatch):
    """Let gateways read the lists of budget owners and of gateways often."""
    monkeypatch.setattr(defaults, "OWNERS_POLL_S", 0.2)
    monkeypatch.setattr(defaults, "GATEWAY_HEARTBEAT_S", 0.2)
