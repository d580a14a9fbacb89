"""Clients of stand-in applications that run in the test process."""

from contextlib import asynccontextmanager

import httpx
import pytest

from skylarkferry_standins.engine import Engine, EngineSettings, engine_app
from skylarkferry_standins.fencing import Fencing
from skylarkferry_standins.platform import Platform, platform_app
from skylarkferry_standins.script import load_script
from skylarkferry_standins.service import Service, service_app

BASE_URL = "http://standin"


@asynccontextmanager
async def _client(app):
    transport = httpx.ASGITransport(app)
    async with httpx.AsyncClient(transport=transport, base_url=BASE_URL) as client:
        yield client


@pytest.fixture
def platform_client():
    return lambda: _client(platform_app(Platform([], 0.0)))


@pytest.fixture
def engine_client():
    def open_client(**settings):
        fast = {"prefill_per_s": 1e9, "decode_per_s": 1e9} | settings
        return _client(engine_app(Engine(load_script("arusha"), EngineSettings(**fast))))

    return open_client


@pytest.fixture
def service_client():
    def open_client(honour_keys=False, enforce_fencing=False):
        service = Service(load_script("arusha"), honour_keys, Fencing(enforce_fencing))
        return _client(service_app(service))

    return open_client
