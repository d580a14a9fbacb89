"""Settings files: the samples are valid, and an error is reported in one line."""

from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from skylarkferry_client.files import check_path
from skylarkferry_daemon import main as daemon
from skylarkferry_daemon.settings import EntrySettings, SidecarSettings, load

SAMPLES = Path(__file__).parents[2] / "samples"
ENTRY = (SAMPLES / "arusha" / "entry-1.jsonc").read_text()
SIDECAR = (SAMPLES / "arusha" / "sidecar-calc-models-1.jsonc").read_text()
POOL_SIZES = {
    "arusha": {"calc-models": 6, "shop-apps": 5},
    "lisboa": {"modelos": 5, "armazem-app": 3},
}
INVALID_SETTINGS = {
    "port": (ENTRY, '"10.20.1.11:7100"', '"10.20.1.11:70000"', "http_listen: expected an IP"),
    "host name": (ENTRY, '"10.20.1.11:7100"', '"entry-1:7100"', "http_listen: expected an IP"),
    "unknown key": (ENTRY, '"node":', '"nod":', "unknown field `nod`"),
    "nested": (ENTRY, '"lease_s": 3.0', '"lease_s": "long"', "lease.lease_s: Expected `float`"),
    "renewal": (ENTRY, '"lease_s": 3.0', '"lease_s": 0.5', "lease: renew_s: expected less"),
    "url": (ENTRY, "http://10.20.0.10:2379", "10.20.0.10", "platform: table_url: expected a URL"),
    "missing key": (ENTRY, '"site": "arusha",', "", "missing required field `site`"),
    "role": (ENTRY, '"role": "entry"', '"role": "king"', "role: expected 'entry' or 'sidecar'"),
    "syntax": (ENTRY, '"role"', "role:", "not JSON with comments"),
    "level": (ENTRY, '"log_level": "INFO"', '"log_level": "LOUD"', "expected one of DEBUG"),
    "infinite": (ENTRY, '"lease_s": 3.0', '"lease_s": Infinity', "lease.lease_s: Expected"),
    "kind": (SIDECAR, '"kind": "model"', '"kind": "oven"', "kind: expected 'model'"),
    "slots": (SIDECAR, '"slots": 16', '"slots": 0', "slots: Expected `int` >= 1"),
}


@pytest.mark.parametrize("case", INVALID_SETTINGS.values(), ids=INVALID_SETTINGS)
def test_invalid_settings_give_one_line_with_file_key_and_expected_value(case, tmp_path, capsys):
    text, old, new, expected = case
    assert_that(text, Contains(old))
    file = tmp_path / "entry.jsonc"
    file.write_text(text.replace(old, new))
    with pytest.raises(SystemExit) as ended:
        daemon.check(str(file))
    message = capsys.readouterr().err
    assert_that(ended.value.code, Equals(2))
    assert_that(message.splitlines(), HasLength(1))
    assert_that(message, Contains(str(file)))
    assert_that(message, Contains(expected))


def test_missing_file_gives_one_line(capsys):
    with pytest.raises(SystemExit) as ended:
        daemon.check("nowhere.jsonc")
    assert_that(ended.value.code, Equals(2))
    expected = "skylarkferryd: nowhere.jsonc: No such file or directory\n"
    assert_that(capsys.readouterr().err, Equals(expected))


@pytest.mark.parametrize("site", POOL_SIZES)
def test_samples_have_the_pool_sizes_of_the_deployments(site):
    settings = [load(str(path)) for path in sorted((SAMPLES / site).glob("*.jsonc"))]
    sidecars = [each for each in settings if isinstance(each, SidecarSettings)]
    entries = [each for each in settings if isinstance(each, EntrySettings)]
    domains = {each.failure_domain for each in sidecars}
    pools = {pool: [each for each in sidecars if each.pool == pool] for pool in POOL_SIZES[site]}
    assert_that(domains, Equals({f"{site}-{letter}" for letter in "abc"}))
    assert_that({name: len(pool) for name, pool in pools.items()}, Equals(POOL_SIZES[site]))
    assert_that({each.site for each in entries}, Equals({site}))
    addresses = [each.rpc_listen for each in settings]
    assert_that(set(addresses), HasLength(len(addresses)))


@pytest.mark.parametrize("directory", [*POOL_SIZES, "demo"])
def test_sample_documents_are_valid(directory):
    assert_that(check_path(str(SAMPLES / directory / "document")), Equals([]))
