import threading

import pytest
from testtools import ExpectedException
from testtools.assertions import assert_that
from testtools.matchers import Equals, StartsWith

from boot_files import BOOT_TOML
from skylarkferry_core.errors import SettingsInvalidError
from skylarkferry_gateway.settings import QuotaBounds, RevocationBounds
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
    "text",
    [
        "",
        "nodeName = 3",
        BOOT_TOML.replace('"10.200.1.7:8142"', "7"),
        BOOT_TOML.replace("10.200.1.7:8142", "10.200.1.7"),
        BOOT_TOML.replace("10.1.0.38:8149", "10.1.0.38:x"),
        BOOT_TOML.replace("10.1.0.38:8141", "10.1.0.38:99999"),
        BOOT_TOML.replace("7380", "99999"),
        BOOT_TOML.replace("graceS = 8", "graceS = nan"),
        BOOT_TOML.replace("memoryMb = 170", "memoryMb = nan"),
        BOOT_TOML.replace("memoryMb = 170", "memoryMb = inf"),
        BOOT_TOML.replace("cpuShare = 0.7", "cpuShare = -1"),
        "=",
        "later = " + "[" * 100_000,
    ],
)
def test_invalid_settings_are_rejected(settings_path, text):
    settings_path.write_text(text)
    with ExpectedException(SettingsInvalidError):
        boot.load()


def test_bounds_of_quotas_and_keys_are_decoded(settings_path):
    bounds = "quotaWindowS = 5\nquotaOver = 0.1\nquotaSlack = 20\nstrictRevoke = false\n"
    text = BOOT_TOML.replace("graceS = 8", f"graceS = 8\n{bounds}revokeMs = 5000")
    settings_path.write_text(text.replace("cpuShare = 0.7", "cpuShare = 0.7\nlinkMbps = 15.0"))
    settings = boot.load().gateway_settings()
    assert_that(settings.quota_bounds, Equals(QuotaBounds(5.0, 0.1, 20.0)))
    assert_that(settings.revocation, Equals(RevocationBounds(False, 5.0)))
    assert_that(settings.link_bytes_per_s, Equals(1_875_000.0))


# Guards against gateways that serve no key at all where the platform names no time.
def test_strict_use_of_keys_has_the_usual_limit_if_none_is_named(settings_path):
    settings_path.write_text(BOOT_TOML.replace("graceS = 8", "graceS = 8\nstrictRevoke = true"))
    settings = boot.load().gateway_settings()
    assert_that(settings.revocation, Equals(RevocationBounds(True, 5.0)))


def test_a_platform_without_quotas_and_keys_names_no_bounds(settings_path):
    settings_path.write_text(BOOT_TOML)
    settings = boot.load().gateway_settings()
    assert_that((settings.quota_bounds, settings.revocation), Equals((None, None)))


def test_missing_settings_are_rejected(settings_path):
    with ExpectedException(SettingsInvalidError):
        boot.load()


def test_memory_limit_may_have_a_fraction(settings_path):
    settings_path.write_text(BOOT_TOML.replace("memoryMb = 170", "memoryMb = 170.5"))
    assert_that(boot.load().gateway_settings().memory_bytes, Equals(341 << 19))


@pytest.mark.parametrize("before", [None, "", BOOT_TOML[: len(BOOT_TOML) // 2]])
def test_start_waits_for_a_settings_file_that_is_being_written(settings_path, before):
    if before is not None:
        settings_path.write_text(before)
    reasons = []

    def write_rest(error):
        reasons.append(error.detail)
        threading.Timer(0.25, settings_path.write_text, [BOOT_TOML]).start()

    assert_that(boot.wait_until_valid(write_rest).node_name, Equals("front-a-1"))
    assert_that(len(reasons), Equals(1))


def test_start_ends_if_the_settings_stay_invalid(settings_path, monkeypatch):
    monkeypatch.setattr(boot, "_SETTINGS_WAIT_S", 0.2)
    settings_path.write_text("=")
    with ExpectedException(SettingsInvalidError):
        boot.wait_until_valid(lambda error: None)


def test_start_ends_at_once_if_no_settings_file_is_named(monkeypatch):
    monkeypatch.delenv(boot.PATH_VARIABLE, raising=False)
    reasons = []
    with ExpectedException(SettingsInvalidError):
        boot.wait_until_valid(reasons.append)
    assert_that(reasons, Equals([]))
