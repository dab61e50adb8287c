"""Charts of the report as SVG, by pygal. All text is escaped by the library."""

from __future__ import annotations

from collections.abc import Mapping
from xml.etree import ElementTree

import pygal
from pygal.style import Style

from snowthread.incident.series import ClassSecond, NodeSecond, Series
from snowthread.incident.times import format_clock

POINTS_MAX = 240  # of one line: longer stretches are averaged
WIDTH = 900
HEIGHT = 260  # in the chart's own units; the page scales them
LABELS = 6  # times below the chart
COLORS = ("#2b6cb0", "#c05621", "#2f855a", "#b83280", "#6b46c1", "#b7791f")
READ = "read"  # legends of the lines
SERVED_IN_TIME = "served in time"
NOT_SERVED = "rejected, failed or late"
CALL_MS = "call, ms"

Line = dict[int, float]  # value by second
_STYLE = Style(
    background="transparent",
    plot_background="transparent",
    foreground="currentColor",
    foreground_strong="currentColor",
    foreground_subtle="currentColor",
    colors=COLORS,
    font_family="sans-serif",
    guide_stroke_color="#8888",
    major_guide_stroke_color="#8888",
)


def fleet_chart(series: Series) -> str:
    """Return the chart of all nodes together."""
    lines: dict[str, Line] = {READ: {}, SERVED_IN_TIME: {}, NOT_SERVED: {}}
    for rows in series.nodes.values():
        for second, row in rows.items():
            _add(lines[READ], second, row.read)
            _add(lines[SERVED_IN_TIME], second, row.served_in_time)
            _add(lines[NOT_SERVED], second, row.not_served_in_time)
    first, last = series.span
    return line_chart("All nodes: requests a second", first, last, lines)


def class_chart(name: str, rows: Mapping[int, ClassSecond]) -> str:
    """Return the chart of one class of requests."""
    lines = {
        READ: {second: float(row.read) for second, row in rows.items()},
        SERVED_IN_TIME: {second: float(row.served_in_time) for second, row in rows.items()},
        NOT_SERVED: {second: float(row.not_served_in_time) for second, row in rows.items()},
    }
    return line_chart(f"{name}: requests a second", min(rows), max(rows), lines)


def node_chart(node: str, rows: Mapping[int, NodeSecond]) -> str:
    """Return the chart of one node."""
    lines = {
        READ: {second: float(row.read) for second, row in rows.items()},
        SERVED_IN_TIME: {second: float(row.served_in_time) for second, row in rows.items()},
        NOT_SERVED: {second: float(row.not_served_in_time) for second, row in rows.items()},
        CALL_MS: {second: row.call_ms for second, row in rows.items() if row.calls},
    }
    return line_chart(node, min(rows), max(rows), lines)


def line_chart(title: str, first: int, last: int, lines: Mapping[str, Line]) -> str:
    """Return an SVG element with one line for each name, from the first to the last second."""
    step = max(1, -(-(last - first + 1) // POINTS_MAX))
    starts = range(first, last + 1, step)
    chart = pygal.Line(
        title=title,
        height=HEIGHT,
        width=WIDTH,
        js=[],
        show_dots=False,
        truncate_label=-1,
        show_minor_x_labels=False,
        x_label_rotation=0,
        legend_at_bottom=True,
        disable_xml_declaration=True,
        include_x_axis=True,
        pretty_print=False,
        style=_STYLE,
    )
    chart.x_labels = [format_clock(start * 1000.0) for start in starts]
    chart.x_labels_major_count = LABELS
    for name, values in lines.items():
        chart.add(name, [_average(values, start, min(start + step, last + 1)) for start in starts])
    return _without_scripts(chart.render_tree())


def _add(line: Line, second: int, value: float) -> None:
    line[second] = line.get(second, 0.0) + value


def _average(values: Line, begin: int, end: int) -> float | None:
    """Return the average from ``begin`` until before ``end``; None where there is no value."""
    present = [values[second] for second in range(begin, end) if second in values]
    return round(sum(present) / len(present), 3) if present else None


def _without_scripts(root: ElementTree.Element) -> str:
    """Return the SVG without the script, which repeats the chart's texts, and the comments."""
    for parent in list(root.iter()):
        for child in list(parent):
            if not isinstance(child.tag, str) or child.tag.rpartition("}")[2] == "script":
                parent.remove(child)
    return ElementTree.tostring(root, encoding="unicode")
