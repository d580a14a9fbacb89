"""Benchmark commands, such as ``python -m skylarkferry_bench run``."""

import sys
from pathlib import Path

import fire

from skylarkferry_bench import reports
from skylarkferry_bench.drains import drain
from skylarkferry_bench.faults import FAULTS, NO_FAULT
from skylarkferry_bench.overhead import overhead
from skylarkferry_bench.plans import (
    LOADS,
    Cell,
    ablation_settings,
    fault_settings,
    load_settings,
    measure,
)
from skylarkferry_bench.policies import FULL
from skylarkferry_bench.slopes import slopes
from skylarkferry_bench.takeover_times import takeovers
from skylarkferry_bench.workloads import WORKLOADS

_SEEDS = 10


def run(workload: str = "", seeds: int = _SEEDS, plots: str = "docs/plots") -> None:
    """Simulate one workload, or all if none is given; print tables and write plots."""
    for name in [workload] if workload else WORKLOADS:
        _run_workload(name, seeds, Path(plots))


def _run_workload(name: str, seeds: int, plots: Path) -> None:
    loads = measure(load_settings(name), seeds)
    for load in LOADS:
        cells = [cell for cell in loads if cell.load == load]
        _print_section(f"{name}, load {load:g}, {seeds} seeds", reports.table(cells))
        _print_section(f"{name}, load {load:g}, by class", reports.kind_table(cells))
    _print_section(f"{name}, ratios to the best baseline", reports.target_table(loads))
    _print_section(
        f"{name}, one decision replaced, load 1",
        reports.table(_measure_ablations(name, loads, seeds)),
    )
    names = [fault for fault in FAULTS if fault != NO_FAULT.name]
    faults = measure(fault_settings(name, names), seeds)
    _print_section(f"{name}, faults", reports.fault_table(faults))
    reports.plot(loads, plots / f"{name}.png")


def _measure_ablations(name: str, loads: list[Cell], seeds: int) -> list[Cell]:
    full = [cell for cell in loads if cell.load == 1.0 and cell.policy == FULL.name]
    return [*full, *measure(ablation_settings(name), seeds)]


def _print_section(title: str, text: str) -> None:
    sys.stdout.write(f"### {title}\n\n{text}\n")


COMMANDS = {
    "run": run,
    "slopes": slopes,
    "overhead": overhead,
    "drain": drain,
    "takeovers": takeovers,
}

if __name__ == "__main__":
    fire.Fire(COMMANDS)
