"""The report: one HTML file that needs nothing else, and the same as JSON. Templates by jinja2, charts by
pygal.

All text from records is escaped by the template and by the chart library; nothing of it runs.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path
from typing import Any
from xml.etree import ElementTree

import orjson
import pygal
from jinja2 import Environment, PackageLoader, StrictUndefined
from pygal.style import Style

from snowthread import __version__
from snowthread.incident.clocks import Clocks
from snowthread.incident.series import Series, build
from snowthread.incident.timeline import Timeline, build_timeline
from snowthread.records.reader import Findings, merge

POINTS_MOST = 240  # of a chart: longer stretches are averaged
TELL_EVERY = 100_000  # records between two words on the progress
NODES_MOST = 40  # with a chart of their own
COLORS = ("#2b6cb0", "#c05621", "#2f855a", "#b83280", "#6b46c1", "#b7791f")


class Report:
    """What is told, and what it was made of."""

    def __init__(self, places: Iterable[Path], progress: Callable[[int], None] = lambda count: None) -> None:
        paths = list(places)
        self.clocks, self.findings = Clocks(), Findings()
        for count, record in enumerate(merge(paths, Findings()), 1):
            self.clocks.take(record)
            if count % TELL_EVERY == 0:
                progress(count)
        self.clocks.fit()
        self.series: Series = build(merge(paths, self.findings), self.clocks)
        self.story: Timeline = build_timeline(self.series, self.clocks)

    def plain(self) -> dict[str, Any]:
        """For programs: the story with its citations, the offsets, the gaps, and each node's totals."""
        return {
            "version": __version__,
            "quiet": self.story.quiet,
            "span": list(self.series.span),
            "sentences": [
                {
                    "at": s.at,
                    "kind": s.kind,
                    "text": s.text,
                    "confidence": s.confidence,
                    "start": s.episode.start,
                    "end": s.episode.end,
                    "bound_ms": s.episode.bound,
                    "nodes": list(s.episode.nodes),
                    "cites": [list(c) for c in s.cites],
                }
                for s in self.story.sentences
            ],
            "unknown": list(self.story.unknown),
            "offsets": [
                {
                    "node": p.node,
                    "boot": p.boot,
                    "part": p.part,
                    **asdict(o),
                    "bound_ms": o.bound_ms if o.bound_ms != float("inf") else None,
                }
                for p, o in self.clocks.offsets.items()
            ],
            "findings": {
                "records": self.findings.records,
                "files": self.findings.files,
                "copies": self.findings.copies,
                "unreadable": self.findings.unreadable,
                "holes": [[h.node, h.boot, h.after, h.count] for h in self.findings.holes],
                "spoilt": [
                    [str(s.path.name), s.frame.offset, s.frame.size, s.frame.reason]
                    for s in self.findings.spoilt
                ],
            },
            "nodes": [
                {"node": node, **_totals(rows.values())} for node, rows in sorted(self.series.rows.items())
            ],
        }

    def json(self) -> bytes:
        """The same as bytes."""
        return orjson.dumps(self.plain(), option=orjson.OPT_INDENT_2)

    def html(self) -> str:
        """The whole page."""
        environment = Environment(
            loader=PackageLoader("snowthread.incident", "."),
            autoescape=True,
            undefined=StrictUndefined,
            trim_blocks=True,
            lstrip_blocks=True,
        )
        environment.filters["clock"] = _clock
        plain = self.plain()
        charts = [_fleet(self.series)] if self.series.rows else []
        charts += [_class(name, rows) for name, rows in sorted(self.series.classes.items())]
        panels = [(node, _node(node, rows)) for node, rows in sorted(self.series.rows.items())[:NODES_MOST]]
        return environment.get_template("report.html.j2").render(
            r=plain,
            story=self.story,
            charts=charts,
            panels=panels,
            clocks=self.clocks.offsets,
            left_out=max(0, len(self.series.rows) - NODES_MOST),
            date=_date(self.series.span[0] * 1000.0) if self.series.rows else "",
        )


def _totals(rows: Iterable[Any]) -> dict[str, int]:
    out = dict.fromkeys(("read", "good", "late", "refused", "leaving", "failed"), 0)
    for row in rows:
        for name in out:
            out[name] += getattr(row, name)
    return out


def _clock(ms: float) -> str:
    return datetime.fromtimestamp(ms / 1000.0, UTC).strftime("%H:%M:%S")


def _date(ms: float) -> str:
    return datetime.fromtimestamp(ms / 1000.0, UTC).strftime("%Y-%m-%d")


def _chart(title: str, first: int, last: int, lines: dict[str, dict[int, float]]) -> str:
    step = max(1, -(-(last - first + 1) // POINTS_MOST))
    starts = list(range(first, last + 1, step))
    chart = pygal.Line(
        title=title,
        height=260,
        width=900,
        js=[],
        show_dots=False,
        truncate_label=-1,
        show_minor_x_labels=False,
        x_label_rotation=0,
        legend_at_bottom=True,
        disable_xml_declaration=True,
        include_x_axis=True,
        pretty_print=False,
        style=Style(
            background="transparent",
            plot_background="transparent",
            foreground="currentColor",
            foreground_strong="currentColor",
            foreground_subtle="currentColor",
            colors=COLORS,
            font_family="sans-serif",
            guide_stroke_color="#8888",
            major_guide_stroke_color="#8888",
        ),
    )
    chart.x_labels = [_clock(s * 1000.0) for s in starts]
    chart.x_labels_major_count = 6
    for name, values in lines.items():
        points = []
        for s in starts:
            seen = [values[x] for x in range(s, min(s + step, last + 1)) if x in values]
            points.append(round(sum(seen) / len(seen), 3) if seen else None)
        chart.add(name, points)
    # The library adds a script with the chart's texts in it, and comments: neither belongs in this page.
    root = chart.render_tree()
    for parent in list(root.iter()):
        for child in list(parent):
            if not isinstance(child.tag, str) or child.tag.rpartition("}")[2] == "script":
                parent.remove(child)
    return ElementTree.tostring(root, encoding="unicode")


def _fleet(series: Series) -> str:
    first, last = series.span
    lines: dict[str, dict[int, float]] = {"read": {}, "served in aim": {}, "turned away": {}}
    for rows in series.rows.values():
        for s, row in rows.items():
            for name, value in (
                ("read", row.read),
                ("served in aim", row.good),
                ("turned away", row.refused + row.leaving + row.failed + row.late),
            ):
                lines[name][s] = lines[name].get(s, 0.0) + value
    return _chart("All nodes: requests a second", first, last, lines)


def _class(name: str, rows: dict[int, list[int]]) -> str:
    lines = {
        title: {s: float(row[n]) for s, row in rows.items()}
        for n, title in enumerate(("read", "served in aim", "turned away"))
    }
    return _chart(f"{name}: requests a second", min(rows), max(rows), lines)


def _node(node: str, rows: dict[int, Any]) -> str:
    lines = {
        "read": {s: float(r.read) for s, r in rows.items()},
        "served in aim": {s: float(r.good) for s, r in rows.items()},
        "turned away": {s: float(r.refused + r.leaving + r.failed + r.late) for s, r in rows.items()},
        "call, ms": {s: r.call_ms for s, r in rows.items() if r.calls},
    }
    return _chart(node, min(rows), max(rows), lines)
