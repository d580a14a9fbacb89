"""Print the slopes from which ``docs/CAPACITY.md`` is worked out."""

import sys
from collections.abc import Callable, Iterable, Iterator

from skylarkferry_bench.adoption_slopes import adoption_slopes
from skylarkferry_bench.cluster_slopes import cluster_slopes
from skylarkferry_bench.codec_slopes import codec_slopes
from skylarkferry_bench.document_slopes import document_slopes
from skylarkferry_bench.node_slopes import node_slopes
from skylarkferry_bench.resources import Slope
from skylarkferry_bench.state_slopes import state_slopes
from skylarkferry_bench.stream_slopes import stream_slopes

GROUPS: dict[str, Callable[[], Iterator[Slope]]] = {
    "codec": codec_slopes,
    "state": state_slopes,
    "streams": stream_slopes,
    "cluster": cluster_slopes,
    "nodes": node_slopes,
    "adoption": adoption_slopes,
    "document": document_slopes,
}
TABLE_HEAD = "| slope | value | unit | over |\n| --- | --- | --- | --- |\n"


def slopes(group: str = "") -> None:
    """Measure all groups of slopes, or one of them, and print a table of each."""
    for name in [group] if group else GROUPS:
        write_table(name, GROUPS[name]())


def write_table(title: str, measured: Iterable[Slope]) -> None:
    """Print slopes as they are measured."""
    sys.stdout.write(f"### {title}\n\n{TABLE_HEAD}")
    for slope in measured:
        sys.stdout.write(line(slope))
        sys.stdout.flush()
    sys.stdout.write("\n")


def line(slope: Slope) -> str:
    """Return a slope as one line of a table."""
    digits = 1 if slope.value < 1_000 else 0
    value = f"{slope.value:,.{digits}f}"
    return f"| {slope.name} | {value} | {slope.unit} | {slope.basis} |\n"
