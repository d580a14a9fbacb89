import hashlib
import random

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.ids import ProgramId
from skylarkferry_core.prefix_homes import PrefixHomes
from skylarkferry_core.routes import EngineSpec
from skylarkferry_gateway.messages import PromptPart, ReportedLoad
from skylarkferry_gateway.placement import Placer
from skylarkferry_gateway.placement_messages import Ended, SpeedSample, encode
from skylarkferry_gateway.upstream_views import AttemptOutcome
from slow_hosts import query_for, upstreams_of

ENGINE = EngineSpec(slots=16, kv_tokens=355_988, tokens_per_event=25)


def query(number, *, is_sticky=False):
    """Return the question of one of many programs that share three prompts."""
    parts = (PromptPart(f"shared{number % 3}", 12_600), PromptPart(f"own{number % 40}", 840))
    return query_for(
        parts,
        250,
        program_id=ProgramId(f"p{number % 40}"),
        affinity_key=f"key{number % 7}" if is_sticky else "",
        is_sticky=is_sticky,
    )


def choices(view_name, engine, *, is_sticky=False, homes=None):
    """Return a digest of the choices among upstreams that report no slowdown."""
    rng = random.Random(7)
    members = upstreams_of(12, 6)
    placer = Placer(lambda upstream: getattr(upstream, view_name), rng, 8, homes)
    chosen = []
    for number in range(400):
        now = number * 0.03
        upstream = placer.place(
            query(number, is_sticky=is_sticky), members, members, engine, now
        ).upstream
        chosen.append(upstream.entry.upstream)
        view = placer.view_of(upstream)
        view.in_flight = max(view.in_flight + rng.choice((1, 1, -1)), 0)
        load = ReportedLoad(rng.randrange(7), rng.randrange(3), 6)
        view.update_load(load, view.in_flight, now)
        if engine is not None:
            view.record_prompt(query(number).prompt_parts, engine.kv_tokens)
            placer.speeds.observe(upstream.entry.upstream, 900, rng.random() / 9, 250, 0.4)
    return hashlib.sha256(" ".join(chosen).encode()).hexdigest()[:16]


@pytest.mark.parametrize(
    ("view_name", "engine", "is_sticky", "has_homes", "digest"),
    [
        ("shared", ENGINE, False, False, "b0281cc80ad0a5d7"),
        ("local", ENGINE, False, True, "b0281cc80ad0a5d7"),
        ("local", None, False, False, "281696e06a9c134c"),
        ("local", None, True, False, "798132cecde8dc57"),
    ],
)
def test_choices_without_a_reported_slowdown_are_those_of_earlier_versions(
    view_name, engine, is_sticky, has_homes, digest
):
    """The digests were made with the code before slowdowns were used."""
    homes = PrefixHomes() if has_homes else None
    made = choices(view_name, engine, is_sticky=is_sticky, homes=homes)
    assert_that(made, Equals(digest))


def test_message_about_an_attempt_is_unchanged_without_a_reported_slowdown():
    """Guards against bytes between gateways that deployments without reports do not need."""
    sent = msgspec.msgpack.decode(encode(Ended(1, AttemptOutcome.SERVED, ReportedLoad(1, 2, 3))))
    assert_that(sent[3], Equals({"running": 1, "queued": 2, "slots": 3}))


@pytest.mark.parametrize("engine", [ENGINE, None])
@pytest.mark.parametrize("view_name", ["local", "shared"])
def test_host_that_reports_to_be_slow_gets_less(view_name, engine):
    members = upstreams_of(6, 6)
    placer = Placer(lambda upstream: getattr(upstream, view_name), random.Random(1), 8)
    for number, upstream in enumerate(members):
        slowdown = 2.5 if number == 0 else 1.0
        placer.view_of(upstream).update_load(ReportedLoad(0, 0, 6, slowdown), 0, 0.0)
    counts = dict.fromkeys((item.entry.upstream for item in members), 0)
    for number in range(60):
        asked = query_for((PromptPart(f"own{number}", 500),), 250)
        chosen = placer.place(asked, members, members, engine, 0.0).upstream
        placer.view_of(chosen).in_flight += 1
        counts[chosen.entry.upstream] += 1
    slow, *others = counts.values()
    assert slow < 0.7 * min(others)


def test_coordinator_and_relay_measure_speeds_without_the_slowdown_of_the_moment():
    """Guards against a slowdown that counts twice: in the speed measured and as reported."""
    members = upstreams_of(2, 6)
    placer = Placer(lambda upstream: upstream.shared, random.Random(1), 8)
    for upstream, slowdown in zip(members, (2.0, 1.0), strict=True):
        upstream.shared.update_load(ReportedLoad(0, 0, 6, slowdown), 0, 0.0)
        for _ in range(40):
            sample = SpeedSample(1_000, 0.01 * slowdown, 100, 0.2 * slowdown)
            placer.observe_speed(upstream, sample, 0.0)
    first, second = (placer.speeds.speed(item.entry.upstream) for item in members)
    assert abs(first.decode_tokens_per_s / second.decode_tokens_per_s - 1) < 0.01
    assert abs(first.prefill_tokens_per_s / second.prefill_tokens_per_s - 1) < 0.01
