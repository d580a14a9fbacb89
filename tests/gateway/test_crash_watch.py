import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from crashing_requests import (
    CRASHES,
    SERVICES,
    add_crashing_replicas,
    assert_not_sent_any_more,
    client_request,
    record_crashes,
    send_crashing,
)
from gateway_rig import (
    CRASH_MARKER,
    AfterCrash,
    disconnecting_client,
    headers,
    send,
    turn_headers,
    wait_until,
)
from skylarkferry_core.events import EventKind
from skylarkferry_gateway.crash_watch import fingerprints_of
from skylarkferry_standins.replica import Behaviour

pytestmark = pytest.mark.anyio


def crash_checks(gateway, **fields):
    """Return the number of a gateway's checks for a crash with these results."""
    number = EventKind.GATEWAY_CRASH_CHECKED.number
    events = [event for event in gateway.log.ring if event.number == number]
    return sum(fields.items() <= event.fields.items() for event in events)


@pytest.mark.parametrize("path", list(SERVICES))
@pytest.mark.parametrize(
    "ending", [Behaviour.LOSE_ANSWER, Behaviour.CLOSE, Behaviour.CLOSE_IN_RESPONSE]
)
async def test_crash_counts_however_the_connection_ends(rig, path, ending):
    await add_crashing_replicas(rig, path, ending)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    for number in range(CRASHES):
        await send_crashing(rig, path, f"id-{number}", first)
    await assert_not_sent_any_more(rig, path, second)


@pytest.mark.parametrize("path", list(SERVICES))
async def test_crash_without_a_reset_counts_after_the_response_timed_out(rig, path):
    await add_crashing_replicas(rig, path, Behaviour.SILENT, AfterCrash.SILENT)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    for number in range(CRASHES):
        await send_crashing(rig, path, f"id-{number}", first)
    await assert_not_sent_any_more(rig, path, second)


async def test_crash_without_a_reset_counts_after_the_client_left(rig):
    path = "/turn/1"
    await add_crashing_replicas(rig, path, Behaviour.SILENT, AfterCrash.SILENT)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    for number in range(CRASHES):
        async with disconnecting_client(rig, path, turn_headers(f"id-{number}"), CRASH_MARKER):
            await wait_until(lambda number=number: rig.arrivals() == number + 1)
            await anyio.sleep(0.2)
        upstreams = list(first.upstreams.upstreams.values())
        views = [upstream.local for upstream in upstreams]
        await wait_until(lambda views=views: not any(view.in_flight for view in views))
    await assert_not_sent_any_more(rig, path, second)


@pytest.mark.parametrize("path", list(SERVICES))
async def test_crash_counts_if_the_upstream_is_back_before_anyone_looks(rig, path):
    await add_crashing_replicas(rig, path, Behaviour.CLOSE, AfterCrash.RESTARTED)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    for number in range(CRASHES):
        await send_crashing(rig, path, f"id-{number}", first)
    await assert_not_sent_any_more(rig, path, second)


async def test_crashes_of_a_restarted_upstream_count_while_its_entry_is_stale(rig):
    path = "/once/1"
    replica = await rig.add_crashing_replica("r1", "tools", Behaviour.LOSE_ANSWER)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    for number in range(CRASHES):
        await send_crashing(rig, path, f"id-{number}", first)
        await wait_until(lambda number=number: crash_checks(first, state="ended") == number + 1)
        replica.listener = await rig.listen(rig.addresses["r1"], rig.servers["r1"])
    await assert_not_sent_any_more(rig, path, second)


async def test_retry_is_not_sent_if_the_request_was_quarantined_meanwhile(rig):
    for name in ("r1", "r2"):
        replica = await rig.add_replica(name)
        replica.behaviour = lambda request: Behaviour.LOSE_ANSWER
        replica.work_s = 0.5
    gateway = await rig.add_gateway("g1")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send, rig, "/get/1", headers("id-slow"), CRASH_MARKER)
        await wait_until(lambda: rig.arrivals() == 1)
        record_crashes(gateway, client_request(b"/get/1"))
    assert_that(rig.arrivals(), Equals(1))


async def test_anonymous_request_without_a_body_is_recognized(rig):
    for number in range(CRASHES + 1):
        await rig.add_crashing_replica(f"r{number}", "tools", Behaviour.LOSE_ANSWER)
    gateway = await rig.add_gateway("g1")
    for number in range(CRASHES):
        await send(rig, "/once/crash", headers(f"id-{number}"), method="GET")
    await wait_until(gateway.crashes.registry.quarantined)
    response = await send(rig, "/once/crash", headers("id-last"), method="GET")
    assert_that((response.status_code, rig.arrivals()), Equals((503, CRASHES)))


async def test_crashing_turn_of_a_retained_chain_is_contained_at_every_gateway(rig):
    for number in range(CRASHES + 1):
        await rig.add_crashing_replica(f"r{number}", "engine", Behaviour.LOSE_ANSWER)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    await send(rig, "/kept/1", turn_headers("start"), b"start", gateway=first)
    for number in range(CRASHES):
        fields = turn_headers(f"id-{number}", Previous_Turn="start")
        await send(rig, "/kept/1", fields, CRASH_MARKER, gateway=first)
    await wait_until(second.crashes.registry.quarantined)
    fields = turn_headers("id-last", Previous_Turn="start")
    response = await send(rig, "/kept/1", fields, CRASH_MARKER, gateway=second)
    assert_that((response.status_code, rig.arrivals()), Equals((503, CRASHES + 1)))


async def test_request_is_recognized_if_its_next_query_differs(rig):
    for number in range(CRASHES + 1):
        await rig.add_crashing_replica(f"r{number}", "tools", Behaviour.LOSE_ANSWER)
    gateway = await rig.add_gateway("g1")
    for number in range(CRASHES):
        await send(rig, f"/once/crash?page={number}", headers(f"id-{number}"), method="GET")
    await wait_until(gateway.crashes.registry.quarantined)
    response = await send(rig, "/once/crash?page=9", headers("id-last"), method="GET")
    assert_that((response.status_code, rig.arrivals()), Equals((503, CRASHES)))


async def test_request_without_a_body_is_recognized_if_another_program_sends_it_next(rig):
    for number in range(CRASHES + 1):
        await rig.add_crashing_replica(f"r{number}", "tools", Behaviour.LOSE_ANSWER)
    gateway = await rig.add_gateway("g1")
    for number in range(CRASHES):
        fields = headers(f"id-{number}", Program_Id=f"program-{number}")
        await send(rig, "/once/crash", fields, method="GET")
    await wait_until(gateway.crashes.registry.quarantined)
    fields = headers("id-last", Program_Id="program-last")
    response = await send(rig, "/once/crash", fields, method="GET")
    assert_that((response.status_code, rig.arrivals()), Equals((503, CRASHES)))


async def test_request_is_recognized_if_its_next_sender_is_another_program(rig):
    path = "/turn/1"
    await add_crashing_replicas(rig, path, Behaviour.LOSE_ANSWER)
    gateway = await rig.add_gateway("g1")
    for number in range(CRASHES):
        fields = turn_headers(f"id-{number}", program=f"program-{number}")
        await send(rig, path, fields, CRASH_MARKER)
    await assert_not_sent_any_more(rig, path, gateway)


async def test_upstreams_that_only_lose_responses_are_not_taken_for_crashed(rig):
    for name in ("r1", "r2"):
        (await rig.add_replica(name)).behaviour = lambda request: Behaviour.LOSE_ANSWER
    gateway = await rig.add_gateway()
    for number in range(CRASHES + 1):
        response = await send(rig, "/once/1", headers(f"id-{number}"), CRASH_MARKER)
        assert_that(response.status_code, Equals(502))
    assert_that(rig.arrivals(), Equals(CRASHES + 1))
    assert_that(gateway.crashes.registry.crashes, Equals({}))


@pytest.mark.parametrize("completed_at", ["g1", "g2"])
async def test_request_in_use_by_many_is_served_after_upstreams_crashed_together(rig, completed_at):
    path = "/once/1"
    await rig.add_replica("healthy")
    gateways = {name: await rig.add_gateway(name) for name in ("g1", "g2")}
    await send_crashing(rig, path, "id-first", gateways[completed_at])
    for number in range(CRASHES):
        await rig.add_crashing_replica(f"r{number}", "tools", Behaviour.LOSE_ANSWER)
    first = gateways["g1"]
    await wait_until(lambda: len(first.upstreams.upstreams) == CRASHES + 1)
    async with anyio.create_task_group() as tasks:
        for number in range(4 * CRASHES):
            tasks.start_soon(send_crashing, rig, path, f"id-{number}", first)
    await wait_until(lambda: crash_checks(first, state="ended") >= CRASHES)
    await wait_until(lambda: not first.crashes.registry.crashes)
    assert_that(await send_crashing(rig, path, "id-last", first), Equals(200))


async def test_gateway_that_reaches_no_upstream_takes_none_for_crashed(rig):
    for name in ("r1", "r2", "r3", "r4"):
        (await rig.add_replica(name)).behaviour = lambda request: Behaviour.SILENT
    gateway = await rig.add_gateway()
    async with anyio.create_task_group() as tasks:
        for number in range(CRASHES):
            fields = headers(f"id-{number}", deadline_ms=500)
            tasks.start_soon(send, rig, "/once/1", fields, CRASH_MARKER)
        await wait_until(lambda: rig.arrivals() == CRASHES)
        for name, replica in rig.replicas.items():
            await replica.listener.aclose()
            rig.silence(rig.addresses[name])
    await wait_until(lambda: crash_checks(gateway, state="unknown") == CRASHES)
    assert_that(gateway.crashes.registry.crashes, Equals({}))


def crash_counts(gateways, request):
    """Return the numbers of crashes that the gateways count for a request."""
    return {
        len(gateway.crashes.registry.crashes.get(fingerprint, ()))
        for gateway in gateways
        for fingerprint in fingerprints_of(request)
    }


async def crash_under_equal_requests(rig, replica, gateways):
    """Crash a replica under equal requests of several gateways; it is back at once."""
    replica.behaviour, replica.work_s = lambda request: Behaviour.LOSE_ANSWER, 0.5
    arrivals = rig.arrivals()
    checks = {gateway: crash_checks(gateway, state="ended") for gateway in gateways}
    async with anyio.create_task_group() as tasks:
        for number in range(CRASHES):
            gateway = gateways[number % len(gateways)]
            tasks.start_soon(send_crashing, rig, "/once/1", f"id-{arrivals + number}", gateway)
        await wait_until(lambda: rig.arrivals() == arrivals + CRASHES)
        await replica.listener.aclose()
    await wait_until(
        lambda: sum(crash_checks(gateway, state="ended") for gateway in gateways)
        == sum(checks.values()) + CRASHES
    )
    replica.listener = await rig.listen(rig.addresses["r1"], rig.servers["r1"])
    replica.behaviour, replica.work_s = lambda request: Behaviour.SERVE, 0.0


# Guards against content that is refused everywhere after one crash of one upstream.
@pytest.mark.parametrize("names", [("g1",), ("g1", "g2"), ("g1", "g2", "g3")])
async def test_equal_requests_that_met_one_crash_are_served_again(rig, names):
    replica = await rig.add_replica("r1")
    gateways = [await rig.add_gateway(name) for name in names]
    await crash_under_equal_requests(rig, replica, gateways)
    await wait_until(lambda: not any(gateway.crashes.reports.unsent for gateway in gateways))
    await wait_until(lambda: 0 not in crash_counts(gateways, client_request(b"/once/1")))
    found = [await send_crashing(rig, "/once/1", f"id-{name}", gateways[-1]) for name in names]
    assert_that(found, Equals([200] * len(names)))


# Guards against one crash that counts as several, though the upstream list is old.
async def test_crashes_under_equal_requests_count_once_each_while_the_entry_is_stale(rig):
    replica = await rig.add_replica("r1")
    gateways = [await rig.add_gateway(name) for name in ("g1", "g2", "g3")]
    request = client_request(b"/once/1")
    for crash in range(CRASHES):
        await crash_under_equal_requests(rig, replica, gateways)
        await wait_until(lambda crash=crash: crash_counts(gateways, request) == {crash + 1})
    for gateway in gateways:
        await assert_not_sent_any_more(rig, "/once/1", gateway, CRASHES * CRASHES)


async def test_crashes_found_by_different_gateways_count_while_the_entry_is_stale(rig):
    path, request = "/once/1", client_request(b"/once/1")
    replica = await rig.add_crashing_replica("r1", "tools", Behaviour.LOSE_ANSWER)
    gateways = [await rig.add_gateway(name) for name in ("g1", "g2", "g3")]
    for number, gateway in enumerate(gateways):
        await send_crashing(rig, path, f"id-{number}", gateway)
        counts = {number + 1}
        await wait_until(lambda counts=counts: crash_counts(gateways, request) == counts)
        replica.listener = await rig.listen(rig.addresses["r1"], rig.servers["r1"])
    for gateway in gateways:
        await assert_not_sent_any_more(rig, path, gateway)


# Guards against crashes of several upstreams that count as one.
async def test_crashes_that_equal_requests_met_at_different_upstreams_count(rig):
    for number in range(CRASHES):
        await rig.add_crashing_replica(f"r{number}", "tools", Behaviour.LOSE_ANSWER)
        rig.replicas[f"r{number}"].work_s = 0.5
    gateway = await rig.add_gateway()
    async with anyio.create_task_group() as tasks:
        for number in range(CRASHES):
            tasks.start_soon(send_crashing, rig, "/once/1", f"id-{number}", gateway)
    await wait_until(lambda: crash_checks(gateway, state="ended") == CRASHES)
    ends = {
        upstream
        for crashes in gateway.crashes.registry.crashes.values()
        for upstream in (crash.partition(".")[0] for crash in crashes)
    }
    arrivals = {name for name, replica in rig.replicas.items() if replica.received_ids}
    assert_that(ends, Equals(arrivals))


def test_turns_with_the_same_input_in_other_chains_share_no_fingerprint():
    first = client_request(b"/kept/1", b"continue", program_id="p1", previous_turn="t1")
    second = client_request(b"/kept/1", b"continue", program_id="p2", previous_turn="t2")
    assert_that(set(fingerprints_of(first)) & set(fingerprints_of(second)), Equals(set()))


async def test_only_the_caller_whose_requests_crash_is_rejected_if_others_complete_them(rig):
    crashes = (await rig.add_gateway()).crashes
    crashing = client_request(b"/get/1", b"", program_id="p1")
    completed = client_request(b"/get/1", b"", program_id="p2")
    record_crashes(rig.gateways[0], crashing)
    crashes.on_completed(completed)
    assert_that(crashes.refusal(crashing), Not(Is(None)))
    assert_that(crashes.refusal(completed), Is(None))


def test_fingerprint_is_that_of_the_same_request_with_another_query():
    first = client_request(b"/get/1?page=1", b"", program_id="p1")
    second = client_request(b"/get/1?page=2", b"", program_id="p1")
    assert_that(fingerprints_of(first), Equals(fingerprints_of(second)))


def test_fingerprint_is_that_of_the_same_request_in_another_session():
    first = client_request(b"/get/1", b"", program_id="p1", run_id="s1")
    second = client_request(b"/get/1", b"", program_id="p1", run_id="s2")
    assert_that(fingerprints_of(first), Equals(fingerprints_of(second)))
