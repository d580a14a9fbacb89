from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_standins import running


def test_no_address_is_given_out_twice(monkeypatch):
    monkeypatch.setattr(running, "PORTS", range(24_000, 24_040))
    monkeypatch.setattr(running, "_given", set())
    addresses = [running.free_address() for _ in range(20)]
    assert_that(len(set(addresses)), Equals(20))
