import pytest
from testtools import ExpectedException
from testtools.assertions import assert_that
from testtools.matchers import Equals, StartsWith

from boot_files import BOOT_TOML
from skylarkferry_core.errors import SettingsInvalidError
from skylarkferry_platform import boot


@pytest.fixture
def settings_path(tmp_path, monkeypatch):
    path = tmp_path / "boot.toml"
    monkeypatch.setenv(boot.PATH_VARIABLE, str(path))
    return path


def test_settings_are_decoded_and_unknown_fields_ignored(settings_path):
    settings_path.write_text(BOOT_TOML)
    settings = boot.load().gateway_settings()
    found = (settings.client_listen, settings.peer_listen, settings.grace_s)
    assert_that(found, Equals(("10.1.0.38:8149", "10.1.0.38:7380", 8.0)))
    assert_that(settings.memory_bytes, Equals(170 << 20))
    assert_that(settings.incarnation, StartsWith("front-a-1."))


@pytest.mark.parametrize(
    "text", ["", "nodeName = 3", BOOT_TOML.replace('"10.200.1.7:8142"', "7"), "="]
)
def test_invalid_settings_are_rejected(settings_path, text):
    settings_path.write_text(text)
    with ExpectedException(SettingsInvalidError):
        boot.load()


def test_missing_settings_are_rejected(settings_path):
    with ExpectedException(SettingsInvalidError):
        boot.load()
