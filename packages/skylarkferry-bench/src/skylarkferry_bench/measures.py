"""Measures of a run; ``docs/MEASUREMENTS.md`` defines them."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from skylarkferry_bench.caches import CacheKey
from skylarkferry_bench.engines import EngineCall
from skylarkferry_bench.workloads import ProgramSpec


class ProgramResult(msgspec.Struct):
    """How one program went; ``latency_s`` is ``None`` for one that was refused or failed."""

    kind: str
    customer: str
    deadline_s: float
    latency_s: float | None = None
    refused: bool = False
    refused_after_s: float = 0.0
    abandoned: bool = False
    failed: bool = False


class Measures(msgspec.Struct):
    """Figures of one run: seconds, tokens, token-seconds and fractions."""

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
    """Collect what happens in a run; programs that arrive before ``warmup_s`` do not count."""

    def __init__(self, warmup_s: float) -> None:
        self.warmup_s = warmup_s
        self.results: dict[str, ProgramResult] = {}
        self.known: dict[CacheKey, int] = {}
        self.prompt_tokens = 0
        self.recomputed_tokens = 0
        self.held_token_s = 0.0

    def arrived(self, spec: ProgramSpec) -> None:
        """Note a program that asks to start."""
        if spec.arrives_at >= self.warmup_s:
            result = ProgramResult(spec.kind, spec.customer, spec.deadline_s)
            self.results[spec.program_id] = result

    def ended(self, spec: ProgramSpec, now: float) -> None:
        """Note a program's answer."""
        result = self.results.get(spec.program_id)
        if result:
            result.latency_s = now - spec.arrives_at

    def refused(self, spec: ProgramSpec, now: float) -> None:
        """Note a refusal."""
        result = self.results.get(spec.program_id)
        if result:
            result.refused = True
            result.refused_after_s = now - spec.arrives_at

    def failed(self, spec: ProgramSpec) -> None:
        """Note a program that failed after it was accepted."""
        result = self.results.get(spec.program_id)
        if result:
            result.failed = True

    def reopened(self, spec: ProgramSpec) -> None:
        """Note that a caller comes back with a program that was refused or failed."""
        result = self.results.get(spec.program_id)
        if result:
            result.refused = False
            result.failed = False

    def abandoned(self, spec: ProgramSpec) -> None:
        """Note a program whose caller never came back; it counts for memory only."""
        result = self.results.get(spec.program_id)
        if result:
            result.abandoned = True

    def held(self, token_s: float) -> None:
        """Add token-seconds of memory held for programs that had ended."""
        self.held_token_s += token_s

    def computed(self, call: EngineCall) -> None:
        """Count the prompt tokens of a call that some engine had computed before."""
        known = self.known.get(call.run, 0)
        if call.prefix:
            known = max(known, self.known.get(call.prefix, 0))
            self.known[call.prefix] = call.prefix_tokens
        known = min(known, call.prompt_tokens - 1)
        self.recomputed_tokens += max(known - call.cached_tokens, 0)
        self.prompt_tokens += call.prompt_tokens
        self.known[call.run] = call.prompt_tokens + call.output_tokens

    def measures(self, duration_s: float) -> Measures:
        """Return the figures of a run whose programs arrived over ``duration_s`` seconds."""
        counted = [result for result in self.results.values() if not result.abandoned]
        latencies = sorted(_latency_s(result) for result in counted if not result.refused)
        good = [result for result in counted if _in_time(result)]
        refused = [result for result in counted if result.refused]
        total = max(len(counted), 1)
        missed = len(counted) - len(good) - len(refused)
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
            goodput_per_s=len(good) / (duration_s - self.warmup_s),
            fairness=_fairness(counted),
            programs=len(counted),
        )


_NEVER_S = 1_000.0


def _latency_s(result: ProgramResult) -> float:
    """Return the latency; a program without an answer counts as one that took very long."""
    return _NEVER_S if result.latency_s is None else result.latency_s


def _in_time(result: ProgramResult) -> bool:
    return result.latency_s is not None and result.latency_s <= result.deadline_s


def _p95_by_kind(results: Iterable[ProgramResult]) -> dict[str, float]:
    latencies: dict[str, list[float]] = defaultdict(list)
    for result in results:
        if not result.refused:
            latencies[result.kind].append(_latency_s(result))
    return {kind: percentile(sorted(values), 0.95) for kind, values in sorted(latencies.items())}


def _fairness(results: Iterable[ProgramResult]) -> float:
    """Return Jain's index over customers of the part of their programs that ended in time."""
    good: dict[str, int] = defaultdict(int)
    total: dict[str, int] = defaultdict(int)
    for result in results:
        total[result.customer] += 1
        good[result.customer] += _in_time(result)
    parts = [good[customer] / total[customer] for customer in total]
    squares = sum(part * part for part in parts)
    return sum(parts) ** 2 / (len(parts) * squares) if squares else 1.0


def percentile(ordered: list[float], fraction: float) -> float:
    """Return a percentile of sorted values by the nearest rank; 0 of none."""
    if not ordered:
        return 0.0
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]
