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


def test_longest_prefix_of_the_host_matches_whole_segments():
    routes = tuple(route("h", prefix) for prefix in ("/", "/a/", "/a/b/"))
    table = RoutingTable(1, routes, {}, ClientLimits())
    cases = {"/": "/", "/x": "/", "/a": "/", "/a/": "/a/", "/a/bc": "/a/", "/a/b/c/d": "/a/b/"}
    found = {path: table.match("H:80", path).prefix for path in cases}
    assert_that(found, Equals(cases))
    assert_that(table.match("other", "/a/"), Equals(None))
    assert_that(table.match("h", "no-slash"), Equals(None))


def test_host_name_leaves_out_the_port():
    names = ["Shop.example:8080", "shop.example", "shop:x"]
    assert_that([host_name(name) for name in names], Equals(["shop.example"] * 2 + ["shop:x"]))


def test_streams_repeat_only_where_they_may_be_resumed():
    streams = [route("h", "/", RequestKind.STREAMING, is_resumable=flag) for flag in (True, False)]
    assert_that([item.is_repeatable for item in streams], Equals([True, False]))
