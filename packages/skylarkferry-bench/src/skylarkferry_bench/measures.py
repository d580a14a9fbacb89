"""Measures of a simulated run; ``docs/MEASUREMENTS.md`` defines them."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from skylarkferry_bench.caches import CacheKey
from skylarkferry_bench.engines import EngineCall
from skylarkferry_bench.workloads import ProgramSpec


class ProgramResult(msgspec.Struct):
    """Result of one program; ``latency_s`` is ``None`` if it was refused or failed."""

    kind: str
    customer: str
    deadline_s: float
    latency_s: float | None = None
    refused: bool = False
    refused_after_s: float = 0.0
    abandoned: bool = False
    failed: bool = False


class Measures(msgspec.Struct):
    """Measures of one run, in seconds, tokens, token-seconds and fractions."""

    p50_s: float
    p95_s: float
    p99_s: float
    kind_p95_s: dict[str, float]
    recomputed_tokens: float
    recomputed_part: float
    held_token_s: float
    missed: float
    refused: float
    failed: float
    late_refusals: int
    goodput_per_s: float
    fairness: float
    programs: int


class Recorder:
    """Collects the events of a run; programs that arrive before ``warmup_s`` are not counted."""

    def __init__(self, warmup_s: float) -> None:
        self.warmup_s = warmup_s
        self.results: dict[str, ProgramResult] = {}
        self.computed: dict[CacheKey, int] = {}
        self.prompt_tokens = 0
        self.recomputed_tokens = 0
        self.held_token_s = 0.0

    def record_arrival(self, spec: ProgramSpec) -> None:
        """Record a program that a caller submits."""
        if spec.arrives_at >= self.warmup_s:
            result = ProgramResult(spec.kind, spec.customer, spec.deadline_s)
            self.results[spec.program_id] = result

    def record_completion(self, spec: ProgramSpec, now: float) -> None:
        """Record that a program was answered."""
        result = self.results.get(spec.program_id)
        if result:
            result.latency_s = now - spec.arrives_at

    def record_refusal(self, spec: ProgramSpec, now: float) -> None:
        """Record that a program was refused."""
        result = self.results.get(spec.program_id)
        if result:
            result.refused = True
            result.refused_after_s = now - spec.arrives_at

    def record_failure(self, spec: ProgramSpec) -> None:
        """Record that a program failed after it was accepted."""
        result = self.results.get(spec.program_id)
        if result:
            result.failed = True

    def record_retry(self, spec: ProgramSpec) -> None:
        """Record that a caller retries a program that was refused or failed."""
        result = self.results.get(spec.program_id)
        if result:
            result.refused = False
            result.failed = False

    def record_abandonment(self, spec: ProgramSpec) -> None:
        """Record that a caller abandoned a program, which then counts only in memory measures."""
        result = self.results.get(spec.program_id)
        if result:
            result.abandoned = True

    def record_held(self, token_s: float) -> None:
        """Add token-seconds of memory held for ended programs."""
        self.held_token_s += token_s

    def record_call(self, call: EngineCall) -> None:
        """Add a call's prompt tokens; count those that were computed before but not cached."""
        computed = self.computed.get(call.run, 0)
        if call.prefix:
            computed = max(computed, self.computed.get(call.prefix, 0))
            self.computed[call.prefix] = call.prefix_tokens
        computed = min(computed, call.prompt_tokens - 1)
        self.recomputed_tokens += max(computed - call.cached_tokens, 0)
        self.prompt_tokens += call.prompt_tokens
        self.computed[call.run] = call.prompt_tokens + call.output_tokens

    def summarize(self, duration_s: float) -> Measures:
        """Return the measures of a run whose programs arrived within ``duration_s`` seconds."""
        counted = [result for result in self.results.values() if not result.abandoned]
        latencies = sorted(_latency_s(result) for result in counted if not result.refused)
        in_time = [result for result in counted if _met_deadline(result)]
        refused = [result for result in counted if result.refused]
        total = max(len(counted), 1)
        missed = len(counted) - len(in_time) - len(refused)
        return Measures(
            p50_s=percentile(latencies, 0.50),
            p95_s=percentile(latencies, 0.95),
            p99_s=percentile(latencies, 0.99),
            kind_p95_s=_p95_by_kind(counted),
            recomputed_tokens=self.recomputed_tokens,
            recomputed_part=self.recomputed_tokens / max(self.prompt_tokens, 1),
            held_token_s=self.held_token_s,
            missed=missed / total,
            refused=len(refused) / total,
            failed=sum(result.failed for result in counted) / total,
            late_refusals=sum(result.refused_after_s > 0 for result in refused),
            goodput_per_s=len(in_time) / (duration_s - self.warmup_s),
            fairness=_fairness(counted),
            programs=len(counted),
        )


_UNANSWERED_LATENCY_S = 1_000.0


def _latency_s(result: ProgramResult) -> float:
    """Return the latency; a program without an answer gets a very long latency."""
    return _UNANSWERED_LATENCY_S if result.latency_s is None else result.latency_s


def _met_deadline(result: ProgramResult) -> bool:
    return result.latency_s is not None and result.latency_s <= result.deadline_s


def _p95_by_kind(results: Iterable[ProgramResult]) -> dict[str, float]:
    latencies: dict[str, list[float]] = defaultdict(list)
    for result in results:
        if not result.refused:
            latencies[result.kind].append(_latency_s(result))
    return {kind: percentile(sorted(values), 0.95) for kind, values in sorted(latencies.items())}


def _fairness(results: Iterable[ProgramResult]) -> float:
    """Return Jain's index over customers of the fraction of programs that met the deadline."""
    in_time: dict[str, int] = defaultdict(int)
    total: dict[str, int] = defaultdict(int)
    for result in results:
        total[result.customer] += 1
        in_time[result.customer] += _met_deadline(result)
    fractions = [in_time[customer] / total[customer] for customer in total]
    squares = sum(fraction * fraction for fraction in fractions)
    return sum(fractions) ** 2 / (len(fractions) * squares) if squares else 1.0


def percentile(ordered: list[float], fraction: float) -> float:
    """Return a percentile of sorted values by nearest rank, or 0 without values."""
    if not ordered:
        return 0.0
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]
