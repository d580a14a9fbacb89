"""Print the slopes from which ``docs/CAPACITY.md`` is worked out."""

import sys
from collections.abc import Callable, Iterator

from skylarkferry_bench.codec_slopes import codec_slopes
from skylarkferry_bench.resources import Slope
from skylarkferry_bench.state_slopes import state_slopes
from skylarkferry_bench.stream_slopes import stream_slopes

GROUPS: dict[str, Callable[[], Iterator[Slope]]] = {
    "codec": codec_slopes,
    "state": state_slopes,
    "streams": stream_slopes,
}


def slopes(group: str = "") -> None:
    """Measure all groups of slopes, or one of them, and print a table of each."""
    for name in [group] if group else GROUPS:
        sys.stdout.write(
            f"### {name}\n\n| slope | value | unit | over |\n| --- | --- | --- | --- |\n"
        )
        for slope in GROUPS[name]():
            sys.stdout.write(line(slope))
            sys.stdout.flush()
        sys.stdout.write("\n")


def line(slope: Slope) -> str:
    """Return a slope as one line of a table."""
    digits = 1 if slope.value < 1_000 else 0
    value = f"{slope.value:,.{digits}f}"
    return f"| {slope.name} | {value} | {slope.unit} | {slope.basis} |\n"
