"""Print the slopes from which ``docs/CAPACITY.md`` is worked out."""

import sys
from collections.abc import Callable, Iterable, Iterator

from skylarkferry_bench.adoption_times import measure_adoption
from skylarkferry_bench.cluster_costs import measure_cluster
from skylarkferry_bench.codec_costs import measure_codec
from skylarkferry_bench.document_times import measure_document
from skylarkferry_bench.node_costs import measure_nodes
from skylarkferry_bench.resources import Measurement
from skylarkferry_bench.state_costs import measure_state
from skylarkferry_bench.stream_costs import measure_streams

GROUPS: dict[str, Callable[[], Iterator[Measurement]]] = {
    "codec": measure_codec,
    "state": measure_state,
    "streams": measure_streams,
    "cluster": measure_cluster,
    "nodes": measure_nodes,
    "adoption": measure_adoption,
    "document": measure_document,
}
TABLE_HEAD = "| slope | value | unit | over |\n| --- | --- | --- | --- |\n"


def slopes(group: str = "") -> None:
    """Measure all groups of slopes, or one of them, and print a table of each."""
    for name in [group] if group else GROUPS:
        write_table(name, GROUPS[name]())


def write_table(title: str, measured: Iterable[Measurement]) -> None:
    """Print slopes as they are measured."""
    sys.stdout.write(f"### {title}\n\n{TABLE_HEAD}")
    for slope in measured:
        sys.stdout.write(line(slope))
        sys.stdout.flush()
    sys.stdout.write("\n")


def line(slope: Measurement) -> str:
    """Return a slope as one line of a table."""
    digits = 1 if slope.value < 1_000 else 0
    value = f"{slope.value:,.{digits}f}"
    return f"| {slope.name} | {value} | {slope.unit} | {slope.basis} |\n"
