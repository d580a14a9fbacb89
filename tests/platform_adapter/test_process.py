import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from boot_files import BOOT_TOML
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_platform import boot
from skylarkferry_platform.process import SettingsReloader
from skylarkferry_platform.store import PlatformStore

pytestmark = pytest.mark.anyio


async def test_changed_settings_apply_and_invalid_ones_have_no_effect(tmp_path, monkeypatch):
    path = tmp_path / "boot.toml"
    monkeypatch.setenv(boot.PATH_VARIABLE, str(path))
    path.write_text(BOOT_TOML)
    log = EventLog("node", 100)
    store = PlatformStore("10.200.1.7:8142", log, GatewayMetrics())
    reloader = SettingsReloader(boot.load(), store, log)
    await reloader.reload()
    assert_that([event.name for event in log.ring], Equals([]))
    path.write_text(BOOT_TOML.replace("10.200.1.7", "10.200.1.8"))
    await reloader.reload()
    assert_that(store.address, Equals("10.200.1.8:8142"))
    path.write_text("=")
    await reloader.reload()
    assert_that(store.address, Equals("10.200.1.8:8142"))
    applied = [event.fields["applied"] for event in log.ring]
    assert_that(applied, Equals(["True", "False"]))
