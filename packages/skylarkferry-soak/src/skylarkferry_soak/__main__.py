"""Run the soak test: ``python -m skylarkferry_soak --seeds=50``."""

import sys
import time

import anyio
import fire

from skylarkferry_soak.soak import RunSize, run_seed


def soak(
    first: int = 0, seeds: int = 1, length_s: float = 20.0, gateways: int = 3, callers: int = 12
) -> None:
    """Run seeds from ``first`` (0: time-based), print the findings of each, exit 1 if any."""
    start = first or time.time_ns() % 1_000_000_000
    size = RunSize(length_s, gateways, callers)
    failed: list[int] = []
    for seed in range(start, start + seeds):
        report = anyio.run(run_seed, seed, size)
        kinds = ",".join(fault.kind.value for fault in report.faults)
        _print(
            f"seed {seed}: {len(report.findings)} findings, {report.attempts} requests,"
            f" {report.served} served, {report.runs} runs; {kinds}"
        )
        if report.findings:
            failed.append(seed)
            for finding in report.findings[:10]:
                _print(f"  {finding.check}: {finding.detail}")
            _print(f"  logs: {report.directory}")
    _print(f"{seeds - len(failed)} passed, {len(failed)} failed")
    if failed:
        sys.exit(1)


def _print(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    fire.Fire(soak)
