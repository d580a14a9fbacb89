import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from gateway_rig import headers, send, wait_until
from skylarkferry_core.events import EventKind

pytestmark = pytest.mark.anyio

WORK = {
    "Upstream list": ("upstream_watcher.directory", "upstreams"),
    "Configuration": ("config.directory", "routing"),
    "Gateway list": ("gateways.store", "scan"),
    "Crash reports": ("crashes.reports.store", "changes"),
    "Datagrams": ("placement_calls", "_receive"),
    "Probe of the store": ("store.direct", "unavailable_s"),
    "Expired attempts": ("coordinator", "forget_expired"),
}
"""What background work calls, as an attribute path from the role and a method."""


class UnexpectedError(Exception):
    """An error that no part of the gateway knows."""


def break_once(monkeypatch, gateway, path, method, failed):
    """Make the next call of a method raise, and set the event ``failed`` then."""
    component = gateway
    for name in path.split("."):
        component = getattr(component, name)
    original = getattr(component, method)

    def failing(*args, **kwargs):
        if failed.is_set():
            return original(*args, **kwargs)
        failed.set()
        raise UnexpectedError(method)

    monkeypatch.setattr(component, method, failing)


@pytest.mark.parametrize("work", WORK)
async def test_unexpected_error_in_background_work_does_not_end_the_gateway(rig, monkeypatch, work):
    path, method = WORK[work]
    await rig.add_replica("r1")
    rig.expects_task_failures = True
    failed = anyio.Event()
    gateway = await rig.add_gateway(
        prepare=lambda gateway: break_once(monkeypatch, gateway, path, method, failed)
    )
    await failed.wait()
    await anyio.sleep(0.05)  # by then, an error that is not contained has ended the gateway
    assert_that(gateway.ended.is_set(), Equals(False))
    await wait_until(lambda: gateway.upstreams.read_at is not None)
    answer = await send(rig, "/order/1", headers("id-1"))
    assert_that(answer.status_code, Equals(200))
    failures = [event for event in gateway.log.ring if event.number == EventKind.TASK_FAILED.number]
    assert_that(failures[0].fields["detail"], Contains("UnexpectedError"))


@pytest.mark.parametrize(
    ("path", "method"), [("handover.origins", "resumable"), ("accounts", "release_all")]
)
async def test_unexpected_error_in_a_planned_stop_does_not_cut_requests(
    rig, monkeypatch, path, method
):
    replica = await rig.add_replica("r1")
    replica.work_s = 0.5
    rig.expects_task_failures = True
    gateway = await rig.add_gateway()
    failed = anyio.Event()
    break_once(monkeypatch, gateway, path, method, failed)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_soon, gateway)
        answer = await send(rig, "/order/1", headers("id-1"))
    assert_that(answer.status_code, Equals(200))
    await gateway.ended.wait()
    assert_that((failed.is_set(), rig.errors), Equals((True, [])))


async def _stop_soon(gateway):
    await anyio.sleep(0.2)
    gateway.stop.set()
