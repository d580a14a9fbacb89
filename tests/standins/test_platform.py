import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

PUT_A = {"success": [{"request_put": {"key": "YQ==", "value": "Yg=="}}]}
READ_A = {"key": "YQ=="}


async def row_count(client):
    return (await client.post("/v3/kv/range", json=READ_A)).json().get("count", "0")


@pytest.mark.anyio
async def test_transaction_commits_before_its_answer_is_lost(platform_client):
    async with platform_client() as client:
        await client.post("/control/faults", json={"lose_answers": 1, "loss": "gateway_timeout"})
        lost = await client.post("/v3/kv/txn", json=PUT_A)
        assert_that("responses" in lost.text, Equals(False))
        assert_that(await row_count(client), Equals("1"))
        answered = await client.post("/v3/kv/txn", json=PUT_A)
        assert_that(answered.json()["succeeded"], Equals(True))


@pytest.mark.anyio
async def test_transaction_during_an_outage_changes_nothing(platform_client):
    async with platform_client() as client:
        await client.post("/control/faults", json={"outage": "refusing"})
        response = await client.post("/v3/kv/txn", json=PUT_A)
        assert_that(response.status_code, Equals(503))
        await client.post("/control/faults", json={})
        assert_that(await row_count(client), Equals("0"))


@pytest.mark.anyio
async def test_writes_above_the_rate_are_refused(platform_client):
    async with platform_client() as client:
        await client.post("/control/faults", json={"writes_per_s": 0.001})
        statuses = [(await client.post("/v3/kv/txn", json=PUT_A)).status_code for _ in range(3)]
        counters = (await client.get("/control/counters")).json()
    assert_that(statuses, Equals([200, 429, 429]))
    assert_that(counters["writes"], Equals(1))


@pytest.mark.anyio
async def test_unknown_fault_field_is_rejected(platform_client):
    async with platform_client() as client:
        response = await client.post("/control/faults", json={"outrage": True})
        assert_that(response.status_code, Equals(400))


@pytest.mark.anyio
async def test_objects_can_be_stored_read_and_deleted(platform_client):
    async with platform_client() as client:
        await client.put("/objects/journal/1", content=b"segment")
        assert_that((await client.get("/objects/journal/1")).content, Equals(b"segment"))
        await client.delete("/objects/journal/1")
        assert_that((await client.get("/objects/journal/1")).status_code, Equals(404))


@pytest.mark.anyio
async def test_host_list_is_replaced(platform_client):
    hosts = [{"targets": ["127.0.0.1:7"], "labels": {"host": "calc-1", "leaving": "true"}}]
    async with platform_client() as client:
        assert_that((await client.get("/hosts")).json(), Equals([]))
        await client.put("/control/hosts", json=hosts)
        assert_that((await client.get("/hosts")).json(), Equals(hosts))


@pytest.mark.anyio
async def test_silent_platform_sends_no_response(platform_client):
    async with platform_client() as client:
        await client.post("/control/faults", json={"outage": "silent"})
        with anyio.move_on_after(0.05) as scope:
            await client.post("/v3/kv/txn", json=PUT_A)
        assert_that(scope.cancelled_caught, Equals(True))
