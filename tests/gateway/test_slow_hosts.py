"""Load patterns in which hosts are of uneven speed, with and without reported slowdowns."""

from skylarkferry_core.routes import EngineSpec
from slow_hosts import engines, jittered, none, plain_services

ENGINE = EngineSpec(slots=16, kv_tokens=355_988, tokens_per_event=25)
SEEDS = range(4)


def percentile_95(runs):
    latencies = sorted(latency for run in runs for latency in run.latencies)
    return latencies[int(len(latencies) * 0.95)]


def late_share(runs):
    """Run all and return the share of late answers."""
    for run in runs:
        run.run()
    return sum(run.late for run in runs) / sum(run.asked for run in runs)


def before_and_after(pattern, **fields):
    """Return the late answers and the 95th percentile of the time, without and with reports."""
    results = []
    for reports in (none, jittered):
        runs = [pattern(seed, reports=reports, **fields) for seed in SEEDS]
        results.append((late_share(runs), percentile_95(runs)))
    return results


def test_plain_services_that_are_slow_for_a_moment_get_less():
    """29 gateways, each by its own view; 500 calls a second, 0.62 of what the slots can do."""
    before, after = before_and_after(plain_services, rate=500, length_s=8.0)
    assert after[0] < 0.8 * before[0]
    assert after[1] < 0.95 * before[1]


def test_plain_services_that_are_slow_get_less_by_a_coordinator():
    """One observer of all calls at 0.87 of what the slots can do."""
    before, after = before_and_after(plain_services, rate=700, gateways=1, length_s=8.0)
    assert after[0] <= before[0]
    assert after[1] < 0.97 * before[1]


def test_slow_engines_get_less_from_the_first_request():
    """An engine whose speed was not measured yet counts by what it reports."""
    before, after = before_and_after(engines, engine=ENGINE, rate=150, length_s=4.0)
    assert after[0] < 0.5 * before[0]


def test_full_engines_are_not_placed_worse_by_reports_that_jitter():
    before, after = before_and_after(engines, engine=ENGINE, rate=400, length_s=6.0)
    assert after[0] < 1.05 * before[0]
