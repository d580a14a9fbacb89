from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.ids import ServiceName
from skylarkferry_core.routes import (
    ClientLimits,
    RequestKind,
    Route,
    RoutingTable,
    ServiceShare,
    host_name,
)


def route(host, prefix, kind=RequestKind.IDEMPOTENT, **fields):
    shares = (ServiceShare(ServiceName("s")),)
    return Route(prefix, host, prefix, kind, shares, 1.0, 0.1, **fields)


def test_longest_prefix_of_whole_path_segments_matches():
    routes = tuple(route("h", prefix) for prefix in ("/", "/a/", "/a/b/"))
    table = RoutingTable(1, routes, {}, ClientLimits())
    cases = {"/": "/", "/x": "/", "/a": "/", "/a/": "/a/", "/a/bc": "/a/", "/a/b/c/d": "/a/b/"}
    found = {path: table.match("H:80", path).prefix for path in cases}
    assert_that(found, Equals(cases))
    assert_that(table.match("other", "/a/"), Equals(None))
    assert_that(table.match("h", "no-slash"), Equals(None))


def test_host_name_drops_the_port_and_is_lower_case():
    names = ["Shop.example:8080", "shop.example", "shop:x"]
    assert_that([host_name(name) for name in names], Equals(["shop.example"] * 2 + ["shop:x"]))


def test_streams_are_repeatable_only_if_resumable():
    streams = [route("h", "/", RequestKind.STREAMING, is_resumable=flag) for flag in (True, False)]
    assert_that([item.is_repeatable for item in streams], Equals([True, False]))
