import json

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from skylarkferry_standins.batch import Batch
from skylarkferry_standins.cache import PrefixCache, common_prefix_length, token_count


def completion_request(agent, turns=0, **fields):
    earlier_turns = [{"role": "assistant", "content": "so"}] * turns
    messages = [{"role": "system", "content": f"[agent:{agent}] You size gears."}, *earlier_turns]
    return {"messages": messages, "prompt_cache_key": "program"} | fields


async def complete(client, agent, turns=0, **fields):
    response = await client.post(
        "/v1/chat/completions", json=completion_request(agent, turns, **fields)
    )
    return response.json()


@pytest.mark.anyio
async def test_script_follows_the_number_of_assistant_messages(engine_client):
    async with engine_client() as client:
        names = []
        for turn in range(5):
            message = (await complete(client, "gear-sizer", turn))["choices"][0]["message"]
            names += [call["function"]["name"] for call in message.get("tool_calls", [])]
    expected = ["strength_check", "stock_lookup", "quote-agent", "order_blank_stock"]
    assert_that(names, Equals(expected))


@pytest.mark.anyio
async def test_streamed_events_join_to_the_unstreamed_answer(engine_client):
    async with engine_client() as client:
        unstreamed = await complete(client, "gear-sizer", 4)
        body = completion_request(
            "gear-sizer", 4, stream=True, stream_options={"include_usage": True}
        )
        lines = (await client.post("/v1/chat/completions", json=body)).text.split("\n\n")
    assert_that(lines[-2:], Equals(["data: [DONE]", ""]))
    chunks = [json.loads(line.removeprefix("data: ")) for line in lines[:-2]]
    deltas = [choice["delta"] for chunk in chunks for choice in chunk["choices"]]
    text = "".join(delta.get("content", "") for delta in deltas)
    assert_that(text, Equals(unstreamed["choices"][0]["message"]["content"]))
    assert_that(chunks[-1]["usage"]["completion_tokens"], Equals(token_count(text)))


@pytest.mark.anyio
async def test_longer_history_reuses_its_prefix_until_it_is_released(engine_client):
    async with engine_client() as client:
        first = await complete(client, "short-answer")
        again = await complete(client, "short-answer", 1)
        assert_that(first["usage"]["prompt_tokens_details"]["cached_tokens"], Equals(0))
        assert_that(again["usage"]["prompt_tokens_details"]["cached_tokens"], GreaterThan(0))
        await client.post("/v1/kv/release", json={"prompt_cache_key": "program"})
        assert_that((await client.get("/v1/kv")).json(), Equals({"programs": {}}))
        released = await complete(client, "short-answer", 1)
        assert_that(released["usage"]["prompt_tokens_details"]["cached_tokens"], Equals(0))


@pytest.mark.anyio
async def test_output_ends_at_max_tokens_without_the_extra_tokens_fault(engine_client):
    async with engine_client() as client:
        truncated = await complete(client, "long-report", max_tokens=7)
        assert_that(truncated["usage"]["completion_tokens"], Equals(7))
        assert_that(truncated["choices"][0]["finish_reason"], Equals("length"))
        await client.post("/control/faults", json={"extra_tokens": 5})
        exceeding = await complete(client, "long-report", max_tokens=700)
        assert_that(exceeding["usage"]["completion_tokens"], Equals(705))


@pytest.mark.anyio
@pytest.mark.parametrize(("enforced", "status"), [(True, 409), (False, 200)])
async def test_lower_epoch_is_refused_only_where_fencing_is_enforced(
    engine_client, enforced, status
):
    async with engine_client(enforce_fencing=enforced) as client:
        statuses = []
        for epoch in ("2", "1"):
            headers = {"Fencing-Partition": "3", "Fencing-Epoch": epoch}
            body = completion_request("short-answer")
            response = await client.post("/v1/chat/completions", json=body, headers=headers)
            statuses.append(response.status_code)
    assert_that(statuses, Equals([200, status]))


@pytest.mark.anyio
async def test_endless_agent_requests_a_new_call_in_every_turn(engine_client):
    async with engine_client() as client:
        seen = set()
        for turn in range(40):
            choice = (await complete(client, "endless-search", turn))["choices"][0]
            seen.add(choice["message"]["tool_calls"][0]["function"]["arguments"])
    assert_that(len(seen), Equals(40))


@pytest.mark.anyio
async def test_waiting_sequences_get_slots_by_priority():
    batch = Batch(1)
    holders = []

    async def hold_slot(name, priority):
        async with batch.slot(priority):
            holders.append(name)

    async with anyio.create_task_group() as tasks, batch.slot(0):
        for name, priority in (("batch", 2), ("urgent", 0), ("normal", 1)):
            tasks.start_soon(hold_slot, name, priority)
        await anyio.wait_all_tasks_blocked()
    assert_that(holders, Equals(["urgent", "normal", "batch"]))
    assert_that(batch.running, Equals(0))


def test_cache_evicts_the_least_recently_used_program():
    cache = PrefixCache(capacity_tokens=20)
    for key in ("first", "second", "first", "third"):
        cache.store(key, "head", key.ljust(40, "."))
    assert_that(list(cache.programs), Equals(["first", "third"]))
    assert_that(cache.used_tokens, Equals(20))
    assert_that([event.sequence for event in cache.events], Equals([1, 2, 3, 4, 5]))


def test_common_prefix_length():
    pairs = [("", "a"), ("abc", "abd"), ("abc", "abc"), ("abc", "abcdef"), ("xbc", "abc")]
    assert_that([common_prefix_length(*pair) for pair in pairs], Equals([0, 2, 3, 3, 0]))
