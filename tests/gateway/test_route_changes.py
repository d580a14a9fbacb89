import itertools

from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.ids import ServiceName
from skylarkferry_core.routes import ClientLimits, RequestKind, Route, RoutingTable, ServiceShare
from skylarkferry_gateway.route_changes import RouteChanges

KEEP_S = 60.0
PATH = "/shop/cart/1"


def table(is_resumable=True, **services):
    """Return a routing table: services by prefix, whose underscores stand for slashes."""
    routes = []
    for name, shares in services.items():
        weights = shares if isinstance(shares, dict) else {shares: 1.0}
        routes.append(
            Route(
                name=name,
                host="shop.example",
                prefix=name.replace("_", "/"),
                kind=RequestKind.STREAMING,
                shares=tuple(ServiceShare(ServiceName(key), n) for key, n in weights.items()),
                timeout_s=1.0,
                target_latency_s=0.1,
                is_resumable=is_resumable,
            )
        )
    return RoutingTable(1, tuple(routes), {}, ClientLimits())


def has_changed(*tables, at=0.0, host="Shop.example:80"):
    """Apply tables one after the other; return whether the path has changed by then."""
    changes = RouteChanges(KEEP_S)
    for before, after in itertools.pairwise(tables):
        changes.update(before, after, 0.0)
    return changes.has_changed(host, PATH, tables[-1], at)


OLD = table(_shop_="a")


def test_path_whose_route_leads_to_another_service_has_changed():
    assert_that(has_changed(OLD, table(_shop_="b")), Equals(True))
    assert_that(has_changed(OLD, table(_shop_={"a": 1.0, "b": 1.0})), Equals(True))
    assert_that(has_changed(OLD, table(_shop_="a", _shop_cart_="b")), Equals(True))
    assert_that(has_changed(table(_shop_="a", _shop_cart_="b"), OLD), Equals(True))
    assert_that(has_changed(OLD, table(), OLD), Equals(True))
    assert_that(has_changed(OLD, table(_shop_="b"), OLD), Equals(True))


def test_path_whose_services_stay_has_not_changed():
    assert_that(has_changed(OLD, OLD), Equals(False))
    assert_that(has_changed(OLD, table(_shop_="a", _shop_other_="b")), Equals(False))
    assert_that(has_changed(OLD, table(_shop_="a", _shop_cart_="a")), Equals(False))
    assert_that(has_changed(table(_shop_="a", _shop_cart_="a"), OLD), Equals(False))
    assert_that(has_changed(OLD, table(_shop_cart_="a")), Equals(False))
    assert_that(has_changed(table(_="a", _shop_="a"), table(_="b", _shop_="a")), Equals(False))
    assert_that(has_changed(OLD, table(_shop_="b"), host="other.example"), Equals(False))


def test_change_is_forgotten_after_its_time():
    after = table(_shop_="b")
    assert_that(has_changed(OLD, after, at=KEEP_S), Equals(True))
    assert_that(has_changed(OLD, after, at=KEEP_S + 1), Equals(False))
    changes = RouteChanges(KEEP_S)
    changes.update(OLD, after, 0.0)
    changes.update(after, after, KEEP_S + 1)
    assert_that(changes.changed_at, Equals({}))


def left(before, after):
    """Return the services whose resumable streams a change moves elsewhere."""
    return set(RouteChanges(KEEP_S).update(before, after, 0.0))


def test_services_that_resumable_streams_leave_are_told():
    assert_that(left(OLD, table(_shop_="b")), Equals({"a"}))
    assert_that(left(OLD, table(_shop_="a", _shop_cart_="b")), Equals({"a"}))
    assert_that(left(table(_shop_="a", _shop_cart_="b"), OLD), Equals({"b"}))
    assert_that(left(table(_shop_={"a": 1.0, "b": 1.0}), OLD), Equals({"a", "b"}))
    assert_that(left(OLD, table()), Equals({"a"}))
    assert_that(left(OLD, table(_shop_="a", _cart_="b")), Equals(set()))
    assert_that(left(table(is_resumable=False, _shop_="a"), table(_shop_="b")), Equals(set()))


def test_changes_cover_all_streams_once_they_were_followed_for_as_long():
    changes = RouteChanges(KEEP_S)
    assert_that(changes.covers_all_streams(1_000.0), Equals(False))
    changes.begin(10.0)
    assert_that(changes.covers_all_streams(10.0 + KEEP_S - 1), Equals(False))
    assert_that(changes.covers_all_streams(10.0 + KEEP_S), Equals(True))
