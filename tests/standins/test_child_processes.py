from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_standins import child_processes


def test_free_addresses_are_not_repeated(monkeypatch):
    monkeypatch.setattr(child_processes, "PORTS", range(24_000, 24_040))
    monkeypatch.setattr(child_processes, "_used_ports", set())
    addresses = [child_processes.free_address() for _ in range(20)]
    assert_that(len(set(addresses)), Equals(20))
