"""Prints the unit costs (slopes) from which ``docs/CAPACITY.md`` is calculated."""

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
    """Measure the unit costs of one group, or of all groups by default; print a table for each."""
    for name in [group] if group else GROUPS:
        write_table(name, GROUPS[name]())


def write_table(title: str, measurements: Iterable[Measurement]) -> None:
    """Print a table row by row as its values are measured."""
    sys.stdout.write(f"### {title}\n\n{TABLE_HEAD}")
    for measurement in measurements:
        sys.stdout.write(format_row(measurement))
        sys.stdout.flush()
    sys.stdout.write("\n")


def format_row(measurement: Measurement) -> str:
    """Return a measurement as a row of a Markdown table."""
    digits = 1 if measurement.value < 1_000 else 0
    value = f"{measurement.value:,.{digits}f}"
    return f"| {measurement.name} | {value} | {measurement.unit} | {measurement.basis} |\n"
