from functools import partial

import anyio
import anyio.lowlevel
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

KEY = {"Idempotency-Key": "call-1"}


async def executed_keys(client):
    ledger = (await client.get("/control/ledger")).json()
    return [effect["idempotency_key"] for effect in ledger["effects"]]


@pytest.mark.anyio
@pytest.mark.parametrize(("honoured", "executed"), [(True, 1), (False, 2)])
async def test_repeated_request_is_executed_again_only_if_keys_are_ignored(
    service_client, honoured, executed
):
    async with service_client(honour_keys=honoured) as client:
        responses = [
            (await client.post("/order_blank_stock", json={}, headers=KEY)).json() for _ in range(2)
        ]
        assert_that(responses[0], Equals(responses[1]))
        assert_that(await executed_keys(client), Equals(["call-1"] * executed))


@pytest.mark.anyio
async def test_failed_request_has_no_effect(service_client):
    async with service_client() as client:
        await client.post("/control/faults", json={"fail": 1})
        failed = await client.post("/send_quote", json={}, headers=KEY)
        assert_that(failed.status_code, Equals(500))
        assert_that(await executed_keys(client), Equals([]))


@pytest.mark.anyio
async def test_unscripted_path_echoes_its_request(service_client):
    async with service_client() as client:
        response = await client.put("/stock/blanks", content=b"110 mm")
        assert_that(response.json(), Equals({"path": "/stock/blanks", "body": "110 mm"}))


@pytest.mark.anyio
async def test_lower_epoch_is_refused_and_has_no_effect(service_client):
    async with service_client(enforce_fencing=True) as client:
        for epoch in ("2", "1"):
            headers = KEY | {"Fencing-Partition": "3", "Fencing-Epoch": epoch}
            response = await client.post("/send_quote", json={}, headers=headers)
        assert_that(response.status_code, Equals(409))
        assert_that(await executed_keys(client), Equals(["call-1"]))


@pytest.mark.anyio
async def test_request_beyond_the_allowed_keys_waits_until_the_faults_are_replaced(service_client):
    async with service_client() as client, anyio.create_task_group() as tasks:
        await client.post("/control/faults", json={"max_keys": 1})
        await client.post("/send_quote", json={}, headers=KEY)
        other = KEY | {"Idempotency-Key": "call-2"}
        tasks.start_soon(partial(client.post, "/send_quote", json={}, headers=other))
        for _ in range(2):
            await client.post("/send_quote", json={}, headers=KEY)
        assert_that(await executed_keys(client), Equals(["call-1"] * 3))
        await client.post("/control/faults", json={})
        while len(await executed_keys(client)) < 4:
            await anyio.lowlevel.checkpoint()
        assert_that((await executed_keys(client))[-1], Equals("call-2"))
