"""Draw the charts of the report as SVG with pygal, which escapes all text."""

from __future__ import annotations

from collections.abc import Mapping
from xml.etree import ElementTree

import pygal
from pygal.style import Style

from snowthread.incident.series import ClassSecond, NodeSecond, Series
from snowthread.incident.times import format_time_of_day

MAX_POINTS_PER_LINE = 240  # most points of a line; longer series are averaged over equal intervals
WIDTH = 900
HEIGHT = 260  # width and height are in SVG units, which the page scales
TIME_LABEL_COUNT = 6  # time labels below the chart
COLORS = ("#2b6cb0", "#c05621", "#2f855a", "#b83280", "#6b46c1", "#b7791f")
READ_LEGEND = "received"
SERVED_IN_TIME_LEGEND = "served in time"
NOT_SERVED_LEGEND = "rejected, failed or served late"
CALL_DURATION_LEGEND = "call duration, ms"

SecondValues = dict[int, float]  # keys are seconds of Unix time
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
    """Return the chart of the request counts of all nodes together."""
    lines: dict[str, SecondValues] = {READ_LEGEND: {}, SERVED_IN_TIME_LEGEND: {}, NOT_SERVED_LEGEND: {}}
    for rows in series.nodes.values():
        for second, row in rows.items():
            _add(lines[READ_LEGEND], second, row.read)
            _add(lines[SERVED_IN_TIME_LEGEND], second, row.served_in_time)
            _add(lines[NOT_SERVED_LEGEND], second, row.not_served_in_time)
    first, last = series.span
    return line_chart("All nodes: requests per second", first, last, lines)


def class_chart(name: str, rows: Mapping[int, ClassSecond]) -> str:
    """Return the chart of the request counts of one class."""
    lines = {
        READ_LEGEND: {second: float(row.read) for second, row in rows.items()},
        SERVED_IN_TIME_LEGEND: {second: float(row.served_in_time) for second, row in rows.items()},
        NOT_SERVED_LEGEND: {second: float(row.not_served_in_time) for second, row in rows.items()},
    }
    return line_chart(f"{name}: requests per second", min(rows), max(rows), lines)


def node_chart(node: str, rows: Mapping[int, NodeSecond]) -> str:
    """Return the chart of the request counts and call durations of one node."""
    lines = {
        READ_LEGEND: {second: float(row.read) for second, row in rows.items()},
        SERVED_IN_TIME_LEGEND: {second: float(row.served_in_time) for second, row in rows.items()},
        NOT_SERVED_LEGEND: {second: float(row.not_served_in_time) for second, row in rows.items()},
        CALL_DURATION_LEGEND: {second: row.call_ms for second, row in rows.items() if row.calls},
    }
    return line_chart(node, min(rows), max(rows), lines)


def line_chart(title: str, first: int, last: int, lines: Mapping[str, SecondValues]) -> str:
    """Return an SVG element with a line for each name, from the first to the last second inclusive."""
    step = max(1, -(-(last - first + 1) // MAX_POINTS_PER_LINE))
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
    chart.x_labels = [format_time_of_day(start * 1000.0) for start in starts]
    chart.x_labels_major_count = TIME_LABEL_COUNT
    for name, values in lines.items():
        chart.add(name, [_average(values, start, min(start + step, last + 1)) for start in starts])
    return _without_scripts(chart.render_tree())


def _add(line: SecondValues, second: int, value: float) -> None:
    line[second] = line.get(second, 0.0) + value


def _average(values: SecondValues, begin: int, end: int) -> float | None:
    """Return the average of the values from ``begin`` to ``end``, exclusive; None if there are none."""
    present = [values[second] for second in range(begin, end) if second in values]
    return round(sum(present) / len(present), 3) if present else None


def _without_scripts(root: ElementTree.Element) -> str:
    """Return the SVG without comments and without the script, which repeats the texts of the chart."""
    for parent in list(root.iter()):
        for child in list(parent):
            if not isinstance(child.tag, str) or child.tag.rpartition("}")[2] == "script":
                parent.remove(child)
    return ElementTree.tostring(root, encoding="unicode")
