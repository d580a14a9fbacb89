"""Factories of policy inputs for tests."""

from skylarkferry_core.document import SiteSpec
from skylarkferry_core.ids import (
    CallId,
    CustomerId,
    Epoch,
    FailureDomain,
    Fingerprint,
    ModelName,
    PartitionNumber,
    PoolName,
    ProgramId,
    UpstreamId,
)
from skylarkferry_core.interfaces import Candidate, PlacementRequest, QueuedOrder, Speed
from skylarkferry_core.messages import Fence, LoadReport, ModelWork, Order
from skylarkferry_core.states import PoolKind, Priority, UpstreamState

DOMAIN = FailureDomain("arusha-a")
SITE = SiteSpec((DOMAIN,), latency_weight=1.0, cache_weight=0.5)
KV_TOKENS = 10_000
SLOTS = 4


def candidate(index, *, state="live", cached=0, pool="models", share=1.0, speed=1_000, **load):
    report = LoadReport(slots=SLOTS, kv_tokens=KV_TOKENS, **{"free_kv_tokens": KV_TOKENS, **load})
    return Candidate(
        upstream=UpstreamId(f"u{index}"),
        pool=PoolName(pool),
        kind=PoolKind.MODEL,
        state=UpstreamState(state),
        failure_domain=DOMAIN,
        load=report,
        cached_tokens=cached,
        share=share,
        speed=Speed(speed, 50.0),
    )


def request(program="0000-a", prompt=2_000, output=100, last="", prefix=""):
    return PlacementRequest(
        program_id=ProgramId(program),
        prompt_tokens=prompt,
        output_tokens=output,
        failure_domain=DOMAIN,
        last_upstream=UpstreamId(last),
        prefix=Fingerprint(prefix),
    )


def queued(name="0000-a", *, slack=10.0, at=0.0, priority=Priority.NORMAL, **tokens):
    order = Order(
        call_id=CallId(f"{name}/0/0.0.1"),
        program_id=ProgramId(name),
        customer=CustomerId("customer"),
        fence=Fence(PartitionNumber(0), Epoch(1)),
        priority=priority,
        repeatable=True,
        remaining_s=60.0,
        slack_s=slack,
        timeout_s=60.0,
        fingerprint=Fingerprint(""),
        work=ModelWork(ModelName("model"), (), (), 0),
        **tokens,
    )
    return QueuedOrder(order, at)
